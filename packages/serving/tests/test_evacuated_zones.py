"""No request reaches a backend server of an evacuated zone, on any path."""

from __future__ import annotations

import json

import pytest
from test_stream_calls import ALL, breaks_within_an_event, chunk, head, streams

from fordhatch.core import ResultCode
from fordhatch.serving.limits._permits import Permits
from fordhatch.serving.streams._stream_call import StreamCalls
from fordhatch_standins import entry_fields, http_answer


async def answers(request, writer) -> None:
    writer.write(http_answer(request, b"fine"))


def forbid_waits(patch: pytest.MonkeyPatch) -> None:
    """Fail a request that waits for a group or a backend server."""

    async def wait(*args: object) -> None:
        raise AssertionError("the request waits")

    patch.setattr(StreamCalls, "_wait_for_change", wait)
    patch.setattr(Permits, "acquire", wait)


def code(got) -> int:
    return json.loads(got.body)["error"]["code"]


@pytest.mark.parametrize("path", ["/get/1", "/once/1", "/stream/1"])
async def test_requests_leave_a_zone_and_return_to_it(site, path: str) -> None:
    script, groups = (streams, True) if path == "/stream/1" else (answers, False)
    servers = {
        zone: await site.add_backend(
            script, group=f"small.{zone}" if groups else "", zone=zone
        )
        for zone in ("z1", "z2")
    }
    for evacuated, used in (("z1", "z2"), ("z2", "z1")):
        await site.evacuate(evacuated)
        before = {zone: len(server.seen) for zone, server in servers.items()}
        for _ in range(5):
            assert (await site.ask(path)).status == 200
        assert len(servers[evacuated].seen) == before[evacuated]
        assert len(servers[used].seen) == before[used] + 5


@pytest.mark.parametrize("path", ["/get/1", "/once/1", "/stream/1"])
async def test_with_all_zones_evacuated_a_request_is_refused_at_once(
    site, path: str
) -> None:
    group = "small.1" if path == "/stream/1" else ""
    server = await site.add_backend(streams, group=group, zone="z1")
    await site.evacuate("z1", "z2", "z3")
    with pytest.MonkeyPatch.context() as patch:
        forbid_waits(patch)
        got = await site.ask(path)
    assert (got.status, code(got)) == (503, ResultCode.ZONE_EVACUATED)
    # A caller honours a third of the 2 s that the route leaves it.
    assert 0.0 < float(got.headers["Retry-After"]) <= 2.0 / 3.0
    assert not server.seen


@pytest.mark.parametrize("path", ["/get/1", "/once/1", "/stream/1"])
async def test_a_connection_that_opens_after_the_evacuation_carries_nothing(
    site, path: str
) -> None:
    """The row takes effect between the choice of a server and the open connection."""
    group = "small.1" if path == "/stream/1" else ""
    server = await site.add_backend(streams, group=group, zone="z1")
    connector = site.exchange._session.connector
    connect = type(connector).connect
    opened = []

    async def connect_during_evacuation(self, *args, **kwargs):
        if self is connector:
            opened.append(True)
            await site.evacuate("z1")
        return await connect(self, *args, **kwargs)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(connector), "connect", connect_during_evacuation)
        got = await site.ask(path)
    assert opened
    assert (got.status, code(got)) == (503, ResultCode.ZONE_EVACUATED)
    assert not server.seen


async def test_a_stream_in_progress_runs_to_completion(site) -> None:
    async def streams_after_evacuation(request, writer) -> None:
        writer.write(head(request))
        await writer.drain()
        await site.evacuate("z1")
        writer.write(chunk(ALL) + b"0\r\n\r\n")

    await site.add_backend(streams_after_evacuation, group="small.1", zone="z1")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)


async def test_a_stream_resumes_outside_the_evacuated_zone(site) -> None:
    others = {}

    async def breaks_after_evacuation(request, writer) -> None:
        for zone in ("z1", "z2"):
            group = f"small.{zone}"
            others[zone] = await site.add_backend(streams, group=group, zone=zone)
        await site.evacuate("z1")
        await breaks_within_an_event(request, writer)

    await site.add_backend(breaks_after_evacuation, group="small.1", zone="z1")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)
    assert (len(others["z1"].seen), len(others["z2"].seen)) == (0, 1)


async def test_a_group_that_forms_in_the_zone_is_not_waited_for(site) -> None:
    """Its head would not be offered, so the wait would only delay the refusal."""
    address = await site.start_listener()
    for rank in (0, 1):
        place = {"name": "small.1", "epoch": 1, "rank": rank, "state": "joining"}
        entry = entry_fields("llm", address, zone="z2", group=place)
        await site.register(f"m-{rank}", entry)
    await site.evacuate("z2")
    with pytest.MonkeyPatch.context() as patch:
        forbid_waits(patch)
        got = await site.ask("/stream/1")
    assert (got.status, code(got)) == (503, ResultCode.ZONE_EVACUATED)
