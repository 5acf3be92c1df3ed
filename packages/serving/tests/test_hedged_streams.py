"""Streams whose run is silent for a while: a second run begins, and the first stays."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from test_stream_calls import (
    ALL,
    UNUSED_ADDRESS,
    chunk,
    events,
    fails,
    falls_silent,
    first_due,
    head,
    never_begins,
    refuses,
    skips_an_event,
    streams,
)

PAUSE_S = 0.9
"""Longer than any silence after which a second run begins."""


async def pauses(request, writer) -> None:
    writer.write(head(request) + chunk(events(1, 2)))
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    writer.write(chunk(events(3, 6)) + b"0\r\n\r\n")


async def begins_late(request, writer) -> None:
    await asyncio.sleep(1.2)
    await streams(request, writer)


async def breaks_before_an_event(request, writer) -> None:
    writer.write(head(request))
    await writer.drain()
    writer.transport.abort()


async def repeats_only(request, writer) -> None:
    writer.write(head(request) + chunk(events(1, 2)))
    await writer.drain()
    writer.transport.abort()


# Guards against a run that is given up for silence before another can go on.
@pytest.mark.parametrize(
    "other",
    [
        refuses,
        fails,
        never_begins,
        breaks_before_an_event,
        repeats_only,
        skips_an_event,
    ],
)
async def test_a_silent_run_goes_on_if_no_other_run_can(site, other) -> None:
    first = await site.add_backend(pauses, group="small.1", zone="z1")
    second = await site.add_backend(other, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)
    assert (len(first.seen), len(second.seen)) == (1, 1)


async def test_a_silent_run_goes_on_if_no_connection_opens(site) -> None:
    first = await site.add_backend(pauses, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2", address=UNUSED_ADDRESS)
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)
    assert len(first.seen) == 1


async def test_a_request_whose_answer_is_late_keeps_its_run(site) -> None:
    first = await site.add_backend(begins_late, group="small.1", zone="z1")
    await site.add_backend(refuses, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)
    assert len(first.seen) == 1


async def test_a_run_that_stays_silent_ends_when_another_has_gone_on(site) -> None:
    first = await site.add_backend(falls_silent, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert got.body == ALL
    await site.until(lambda: first.left)


# Guards against an attempt beside the first one that counts as the first one's.
async def test_an_attempt_beside_the_first_one_uses_a_retry(site) -> None:
    first = await site.add_backend(begins_late, group="small.1", zone="z1")
    second = await site.add_backend(never_begins, group="small.2", zone="z2")
    budget = site.callers.dispatch.budget
    before = budget.state("llm").left
    assert (await site.ask("/stream/1")).body == ALL
    assert (len(first.seen), len(second.seen)) == (1, 1)
    assert before - budget.state("llm").left == 1


# Guards against more runs than the route allows.
async def test_an_attempt_that_was_dropped_counts_as_run(site) -> None:
    async def breaks_after_a_pause(request, writer) -> None:
        writer.write(head(request) + chunk(events(1, 2)))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.write(chunk(events(3, 3)))
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.transport.abort()

    await site.add_backend(breaks_after_a_pause, group="small.1", zone="z1")
    others = [
        await site.add_backend(never_begins, group=f"small.{n}", zone="z2")
        for n in (2, 3)
    ]
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask("/stream/1")
    assert sum(len(other.seen) for other in others) == 1


# Guards against events of two runs that are mixed, or come twice.
async def test_a_run_that_speaks_again_first_goes_on_alone(site) -> None:
    async def is_slower(request, writer) -> None:
        assert first_due(request) == 3
        await asyncio.sleep(60)

    first = await site.add_backend(pauses, group="small.1", zone="z1")
    second = await site.add_backend(is_slower, group="small.2", zone="z2")
    got = await site.ask("/stream/1")
    assert got.body == ALL
    await site.until(lambda: second.left)
    assert not first.left


async def test_a_caller_that_leaves_ends_both_runs(site) -> None:
    first = await site.add_backend(falls_silent, group="small.1", zone="z1")
    second = await site.add_backend(never_begins, group="small.2", zone="z2")
    asked = asyncio.ensure_future(site.ask("/stream/1"))
    await site.until(lambda: second.seen)
    asked.cancel()
    await site.until(lambda: first.left and second.left)


async def test_a_silent_run_goes_on_if_its_node_stops(site) -> None:
    first = await site.add_backend(pauses, group="small.1", zone="z1")
    second = await site.add_backend(streams, group="small.2", zone="z2")
    asked = asyncio.ensure_future(site.ask("/stream/1"))
    await site.until(lambda: first.seen)
    # A new attempt has no time to end.
    site.state.leave(site.state.timer.now_s() - 6.0)
    got = await asked
    assert (got.status, got.body) == (200, ALL)
    assert not second.seen
