"""Streams whose runs have failed at every open head, with attempts left."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import pytest_asyncio
from serving_site import configuration, route
from test_hedged_streams import PAUSE_S
from test_stream_calls import ALL, chunk, events, first_due, head, streams

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE

ATTEMPTS = 3


@pytest_asyncio.fixture
async def three(site):
    """A site whose route allows three runs of a stream."""
    stream = route("/stream/", "streaming", "llm", resumable=True, attempts=ATTEMPTS)
    stream["timeout-ms"] = 8000
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(2, routes=[stream]))
    current = site.view.configuration
    await site.until(lambda: current.current.version == 2)
    return site


async def breaks_once(request, writer) -> None:
    """Break off in the middle, as a link does that is reset; go on the next time."""
    if first_due(request) > 1:
        await streams(request, writer)
        return
    writer.write(head(request) + chunk(events(1, 2)))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def falls_silent_once(request, writer) -> None:
    if first_due(request) > 1:
        await streams(request, writer)
        return
    writer.write(head(request) + chunk(events(1, 2)))
    await writer.drain()
    await asyncio.sleep(60)


def breaks_after_an_event(times: int):
    """Return a script that breaks off some times, each after one new event."""
    runs = []

    async def script(request, writer) -> None:
        runs.append(request)
        if len(runs) > times:
            await streams(request, writer)
            return
        due = first_due(request)
        writer.write(head(request) + chunk(events(due, due)))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    return script


async def ask(site):
    return await site.ask("/stream/1", **{"X-Deadline-Ms": "7000"})


# Guards against a stream that is cut although a sound head and attempts are left.
async def test_a_head_that_broke_off_is_asked_again_without_another(three) -> None:
    only = await three.add_backend(breaks_once, group="small.1")
    got = await ask(three)
    assert (got.status, got.body) == (200, ALL)
    assert len(only.seen) == 2


async def test_a_stream_goes_on_after_a_second_run_that_breaks(three) -> None:
    await three.add_backend(falls_silent_once, group="small.1", zone="z1")
    await three.add_backend(breaks_after_an_event(1), group="small.2", zone="z2")
    got = await ask(three)
    assert (got.status, got.body) == (200, ALL)


# Guards against more runs than the route allows.
@pytest.mark.parametrize("heads", [1, 2])
async def test_runs_at_the_same_head_count_each(three, heads) -> None:
    added = [
        await three.add_backend(breaks_after_an_event(9), group=f"small.{n}")
        for n in range(heads)
    ]
    with pytest.raises(aiohttp.ClientPayloadError):
        await ask(three)
    assert sum(len(h.seen) for h in added) == ATTEMPTS


async def test_a_stream_goes_on_at_a_third_head(three) -> None:
    await three.add_backend(falls_silent_once, group="small.1", zone="z1")
    await three.add_backend(breaks_after_an_event(1), group="small.2", zone="z2")
    asked = asyncio.ensure_future(ask(three))
    await asyncio.sleep(PAUSE_S / 2 + 0.3)
    await three.add_backend(streams, group="small.3", zone="z2")
    got = await asked
    assert (got.status, got.body) == (200, ALL)


# Guards against two runs of a stream that are mixed: without ids of its events, another
# run begins with what the caller has already.
async def test_a_stream_without_ids_is_not_begun_again(site) -> None:
    async def breaks(request, writer) -> None:
        writer.write(head(request) + chunk(b"data: a\n\n"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async def whole(request, writer) -> None:
        writer.write(head(request) + chunk(b"data: a\n\ndata: b\n\n") + b"0\r\n\r\n")

    await site.add_backend(breaks, group="small.1", zone="z1")
    other = await site.add_backend(whole, group="small.2", zone="z2")
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask("/stream/1")
    assert not other.seen


async def test_a_stream_of_which_only_a_comment_came_is_begun_again(site) -> None:
    async def breaks(request, writer) -> None:
        writer.write(head(request) + chunk(b": waits\n\n"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    await site.add_backend(breaks, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2")
    assert (await site.ask("/stream/1")).body == b": waits\n\n" + ALL
