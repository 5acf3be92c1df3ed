"""Streams whose silent run ends badly while another one is in progress."""

from __future__ import annotations

import asyncio

import pytest
from raw_caller import Caller, event_chunk, request_bytes, stream_head, until
from silent_heads import (
    CLOSED_WITHIN_S,
    EVENTS,
    SILENT_AFTER,
    WHOLE,
    SilentRuns,
    earn_retries,
    is_short,
    refuse,
    seen,
    send_end,
    send_events,
    send_one_event,
    send_rest,
    told,
)
from stopping_node import StoppingSite

from fordhatch_standins import http_answer


async def breaks(request, writer) -> None:
    writer.transport.abort()


async def ends_within_an_event(request, writer) -> None:
    writer.write(b"5\r\nid: 6\r\n")
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def ends_early(request, writer) -> None:
    writer.write(b"5\r\nid: 6\r\n")
    await send_end(writer)


async def skips_an_event(request, writer) -> None:
    writer.write(event_chunk(SILENT_AFTER + 2))
    await writer.drain()
    await asyncio.sleep(60)


async def sends_part_of_an_event(request, writer) -> None:
    writer.write(b"5\r\nid: 6\r\n")
    await writer.drain()
    await asyncio.sleep(60)


async def sends_a_comment(request, writer) -> None:
    writer.write(b"4\r\n: \n\n\r\n")
    await writer.drain()
    await asyncio.sleep(60)


# Guards against a second run that ends because the silent one has broken, or has sent
# something that is no new event: the stream has none left, or waits for the silent one.
@pytest.mark.parametrize(
    "goes_on",
    [
        breaks,
        ends_within_an_event,
        ends_early,
        skips_an_event,
        sends_part_of_an_event,
        sends_a_comment,
    ],
    ids=lambda script: script.__name__,
)
async def test_the_second_run_goes_on_when_the_silent_one_breaks(
    tmp_path, goes_on
) -> None:
    silent_goes_on, second_goes_on = asyncio.Event(), asyncio.Event()

    async def falls_silent(request, writer) -> None:
        if is_short(request):
            await send_one_event(request, writer)
            return
        writer.write(stream_head(request))
        await send_events(writer, 1, SILENT_AFTER)
        await silent_goes_on.wait()
        await goes_on(request, writer)

    async def takes_over(request, writer) -> None:
        await second_goes_on.wait()
        await send_rest(request, writer)

    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site, takes_over)
        runs.silent.script = falls_silent
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        await until(lambda: runs.has_run(runs.other, request_id))
        silent_goes_on.set()
        await asyncio.sleep(2 * CLOSED_WITHIN_S)
        second_goes_on.set()
        answering = asyncio.ensure_future(caller.answer())
        await asyncio.wait([answering], timeout=5.0)
        lines = await told(runs.node, request_id)
        assert answering.done(), lines
        left = request_id in runs.other.left
    assert seen(answering.result()) == WHOLE, lines
    assert not left


async def refuses(request, writer) -> None:
    refuse(request, writer)


async def fails(request, writer) -> None:
    writer.write(http_answer(request, b"", status=500))


# Guards against the same before the first event: the first run is refused or fails
# late, when a second one is already in progress.
@pytest.mark.parametrize(
    "ends", [refuses, fails, breaks], ids=lambda script: script.__name__
)
async def test_the_second_run_goes_on_when_the_first_one_never_begins(
    tmp_path, ends
) -> None:
    first_ends, second_goes_on = asyncio.Event(), asyncio.Event()
    seen_by: list[object] = []

    async def serves(request, writer) -> None:
        if is_short(request):
            await send_one_event(request, writer)
            return
        seen_by.append(request)
        if len(seen_by) == 1:
            await first_ends.wait()
            await ends(request, writer)
        else:
            await second_goes_on.wait()
            await send_rest(request, writer)

    async with StoppingSite.start(tmp_path) as site:
        for group in ("small.1", "small.2"):
            await site.add_backend(serves, group)
        node = await site.add_node()
        await earn_retries(node, "/single/1")
        caller = await Caller.connect(node)
        await caller.send(request_bytes("/stream/1", "asked"))
        await until(lambda: len(seen_by) == 2)
        first_ends.set()
        await asyncio.sleep(CLOSED_WITHIN_S)
        second_goes_on.set()
        answer = await caller.answer()
        lines = await told(node, "asked")
    assert seen(answer) == (200, "whole", list(range(1, EVENTS + 1))), lines
