"""A crash of a backend server is distinguished from a broken connection."""

from __future__ import annotations

import asyncio

import attrs
import eliot
import pytest
from multidict import CIMultiDict
from serving_site import CALL_HEADERS
from test_stream_calls import chunk, events, head, streams

from fordhatch.adapter import caller_fields
from fordhatch.registry import SECRET_KEY, SHARED_TABLE
from fordhatch.serving import ServedRequest
from fordhatch.serving.crashes._request_digest import part_digest, request_digest


@pytest.fixture
def logged():
    seen = []
    eliot.add_destinations(seen.append)
    # The first destination of a process also receives messages of earlier tests.
    seen.clear()
    yield lambda event: [m for m in seen if m.get("message_type") == event]
    eliot.remove_destination(seen.append)


def breaks_off(site, *, after_events: int, stops_listening: bool = True):
    """Return a script that aborts its connection, and may stop its whole server."""

    async def script(request, writer) -> None:
        writer.write(head(request))
        if after_events:
            writer.write(chunk(events(1, after_events)))
        await writer.drain()
        await asyncio.sleep(0.02)
        if stops_listening:
            await site.scripted[0].close()
        writer.transport.abort()

    return script


@pytest.mark.parametrize(("after_events", "stage"), [(0, "begun"), (2, "flowing")])
async def test_the_running_requests_are_logged(
    site, logged, after_events, stage
) -> None:
    site.model.put(SHARED_TABLE, SECRET_KEY, b"k" * 32)
    await site.until(lambda: site.view.shared.secret)
    await site.add_backend(breaks_off(site, after_events=after_events), group="small.1")
    await site.add_backend(streams, group="small.2", zone="z2")
    parts = {"X-Prompt-Prefix": "a1:90,b2:40,c3:7"}
    await site.ask("/stream/1", body=b"a prompt", **parts)
    await site.until(lambda: logged("backend_ended"))
    (ended,) = logged("backend_ended")
    assert (ended["backend"], ended["runs"]) == ("i-1", 1)
    name, _, seen_stage = ended["named"].partition(":")
    assert seen_stage == stage
    assert len(name) == 32
    assert "prompt" not in ended["named"]
    shared = [part_digest(part, b"k" * 32) for part in ("a1", "b2")]
    assert ended["parts"] == ",".join(f"{part}:{stage}" for part in shared)


async def test_a_broken_connection_is_not_a_crash(site, logged) -> None:
    script = breaks_off(site, after_events=1, stops_listening=False)
    await site.add_backend(script, group="small.1")
    good = await site.add_backend(streams, group="small.2", zone="z2")
    await site.ask("/stream/1")
    assert len(good.seen) == 1
    await asyncio.sleep(0.3)
    assert logged("backend_ended") == []


async def test_an_unanswered_probe_is_not_a_crash(site, logged) -> None:
    """A cut network resets the connection, and probes get no answer."""
    script = breaks_off(site, after_events=1, stops_listening=False)
    bad = await site.add_backend(script, group="small.1")
    bad.report = None
    good = await site.add_backend(streams, group="small.2", zone="z2")
    await site.ask("/stream/1")
    assert len(good.seen) == 1
    await asyncio.sleep(0.5)
    assert logged("backend_ended") == []


def served(site, target: str, body: bytes, **changes: object) -> ServedRequest:
    """Return a request as admitted by the node."""
    headers = {**CALL_HEADERS, "X-Attempt-Id": "r1"}
    admitted = site.callers.admission.admit(
        site.callers.admission.find_route("app.example", target).unwrap(),
        attrs.evolve(caller_fields(CIMultiDict(headers)), **changes),
        method="POST",
        target=target,
        headers=[],
        body=body,
        arrived_s=0.0,
    )
    return admitted.unwrap()


async def test_a_digest_covers_path_caller_and_body_but_not_the_attempt(site) -> None:
    key = b"k" * 32
    first = served(site, "/stream/a", b"x")
    again = served(site, "/stream/a", b"x", request_id="r2", last_event_id="7")
    assert request_digest(first, key) == request_digest(again, key)
    others = [
        served(site, "/stream/b", b"x"),
        served(site, "/stream/a", b"y"),
        served(site, "/stream/ax", b""),
        served(site, "/open/a", b"x", api_keys=()),
    ]
    digests = {request_digest(r, key) for r in [first, *others]}
    assert len(digests) == 5
    assert request_digest(first, b"l" * 32) not in digests
