"""Waits for what shows that an answer without a length is complete."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from test_answers_without_length import PLAIN_BODY, plain_head
from test_ends_of_answers import (
    BORN_MS,
    HUNG_S,
    LASTS_S,
    NAMELESS,
    OWN,
    OWN_REPORT,
    STILL_S,
)
from test_stream_calls import ALL, head, streams

from fordhatch.registry import BackendProber
from fordhatch_standins import http_answer

LATE_S = 0.25
"""Time for which the node stands still, above the time-out of a probe."""
AT_ONCE_S = 1.0
"""Longer than what needs no wait takes, and shorter than the wait."""


def unanswering_listener(address: str) -> socket.socket:
    """Return a full listener: connections to it are not answered, as on a cut link."""
    host, port = address.rsplit(":", 1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    return listener


async def cut_link(server, address: str) -> list[socket.socket]:
    """Let an address answer no new connection; returns what has to be closed."""
    await server.close()
    listener = unanswering_listener(address)
    first = socket.socket()
    first.connect(listener.getsockname())
    return [listener, first]


# Guards against half of an answer that passes as a whole one: a link breaks, and ends
# the answer's connection some milliseconds before others; then it comes back.
@pytest.mark.parametrize("is_refused", [False, True], ids=["silent", "refused"])
@pytest.mark.parametrize("says", [NAMELESS, OWN_REPORT], ids=["nameless", "named"])
async def test_a_link_that_comes_back_confirms_no_end(
    site, monkeypatch, says, is_refused
) -> None:
    reach, failed, cut = BackendProber.reach, [], []

    async def script(request, writer) -> None:
        writer.write(plain_head(request) + PLAIN_BODY)
        await writer.drain()
        await asyncio.sleep(LASTS_S)
        says.apply(server)
        if is_refused:
            await server.close()
        else:
            cut.extend(await cut_link(server, address))

    async def comes_back_after_it(prober, backend):
        found = await reach(prober, backend)
        if found.is_err() and not failed:
            failed.append(found)
            for part in cut:
                part.close()
            await server.start_again(address)
        return found

    monkeypatch.setattr(BackendProber, "reach", comes_back_after_it)
    server = await site.add_backend(script, backend_id=OWN)
    address = site.view.directory.backends[OWN].address
    got = await site.ask("/once/1")
    assert failed
    assert got.status == 502


# Guards against callers that wait for what is known already.
async def test_a_refusal_after_an_answer_needs_no_wait(site) -> None:
    async def script(request, writer) -> None:
        writer.write(plain_head(request) + PLAIN_BODY)
        await writer.drain()
        await asyncio.sleep(LASTS_S)
        server.late_s = HUNG_S
        await server.close()

    server = await site.add_backend(script)
    began_s = time.monotonic()
    assert (await site.ask("/long/1")).status == 502
    assert time.monotonic() - began_s < AT_ONCE_S


# Guards against a caller that waits for the end of a failure which it won't get.
async def test_a_stream_goes_on_elsewhere_while_the_end_of_a_failure_is_checked(
    site,
) -> None:
    async def fails_and_hangs(request, writer) -> None:
        failure = head(request, chunked=False).replace(b"200 OK", b"500 X", 1)
        writer.write(failure + b"failed")
        await writer.drain()
        server.late_s = HUNG_S

    server = await site.add_backend(fails_and_hangs, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)


async def test_a_stream_goes_on_elsewhere_while_a_failure_does_not_end(site) -> None:
    async def fails_half(request, writer) -> None:
        writer.write(http_answer(request, b"failed", status=500)[:-1])
        await asyncio.sleep(HUNG_S)

    await site.add_backend(fails_half, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)


# Guards against tasks and connections that outlive a check that nobody waits for.
@pytest.mark.parametrize("path", ["/long/1", "/stream/1"])
async def test_a_caller_that_leaves_ends_the_check(site, path) -> None:
    async def script(request, writer) -> None:
        server.late_s = HUNG_S
        body = PLAIN_BODY if path == "/long/1" else ALL
        writer.write(head(request, chunked=False) + body)
        await writer.drain()
        await asyncio.sleep(LASTS_S)

    group = "" if path == "/long/1" else "small.1"
    server = await site.add_backend(script, group=group)
    before = len(asyncio.all_tasks())
    asked = asyncio.ensure_future(site.ask(path))
    await site.until(lambda: server.reports >= 3)
    asked.cancel()
    await asyncio.sleep(AT_ONCE_S)
    kept = [t for t in asyncio.all_tasks() if "_answer_end" in repr(t)]
    kept += [t for t in asyncio.all_tasks() if "_backend_prober" in repr(t)]
    kept += [t for t in asyncio.all_tasks() if "_held_query" in repr(t)]
    assert (kept, before) == ([], before)
    assert not site.backends._session.connector._acquired


# Guards against a whole answer that is lost because the node itself is late: it then
# doesn't see in time that the connection of its question has opened.
async def test_a_node_that_is_late_to_connect_loses_no_answer(
    site, monkeypatch
) -> None:
    hold = BackendProber.hold

    def hold_late(prober, backend):
        query = hold(prober, backend)
        # The connection is being opened when the node stands still.
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, time.sleep, LATE_S)
        return query

    monkeypatch.setattr(BackendProber, "hold", hold_late)

    async def script(request, writer) -> None:
        writer.write(plain_head(request) + PLAIN_BODY)
        await writer.drain()
        server.late_s = STILL_S
        OWN_REPORT.apply(server)

    server = await site.add_backend(script, backend_id=OWN, born=BORN_MS)
    got = await site.ask("/once/1")
    assert (got.status, got.body) == (200, PLAIN_BODY)
