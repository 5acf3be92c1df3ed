"""Streams whose run sends nothing for a while, beside what becomes of a second run."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from raw_caller import Caller, request_bytes, stream_head, until
from silent_heads import (
    CLOSED_WITHIN_S,
    SILENT_AFTER,
    WHOLE,
    SilentRuns,
    hanging,
    refuse,
    seen,
    send_rest,
    told,
)
from stopping_node import StoppingSite

from fordhatch_standins import http_answer

SILENCE_S = 1.0
"""Longer than a node waits before it begins a second run, shorter than callers wait."""


async def refuses(request, writer) -> None:
    refuse(request, writer)


async def fails(request, writer) -> None:
    writer.write(http_answer(request, b"", status=500))


async def ends_before_its_head(request, writer) -> None:
    writer.transport.abort()


async def ends_before_an_event(request, writer) -> None:
    writer.write(stream_head(request))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def ends_within_an_event(request, writer) -> None:
    writer.write(stream_head(request) + b"5\r\nid: 6\r\n")
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def sends_a_head_only(request, writer) -> None:
    writer.write(stream_head(request))
    await writer.drain()
    await asyncio.sleep(60)


# Guards against a stream that is cut because a second run, begun while its sound run
# sends nothing, is refused or fails.
@pytest.mark.parametrize(
    "take_over",
    [
        refuses,
        fails,
        ends_before_its_head,
        ends_before_an_event,
        ends_within_an_event,
        sends_a_head_only,
    ],
    ids=lambda script: script.__name__,
)
async def test_a_second_run_that_fails_leaves_the_first_one(
    tmp_path, take_over
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site, take_over)
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        await runs.go_on_after(SILENCE_S)
        answer = await caller.answer()
        lines = await told(runs.node, request_id)
    assert seen(answer) == WHOLE, lines
    assert runs.has_run(runs.other, request_id), lines


# Guards against a stream that is cut because the only other head can't be reached.
@pytest.mark.parametrize("kind", ["refused", "hanging"])
async def test_connections_that_fail_leave_the_first_run(tmp_path, kind) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site)
        await runs.earn_retries()
        port = site.ports[runs.other.runner_id]
        caller, request_id = await runs.begin()
        async with contextlib.AsyncExitStack() as stack:
            if kind == "hanging":
                await stack.enter_async_context(hanging(runs.other, port))
            else:
                await runs.other.close()
            await runs.go_on_after(SILENCE_S)
            answer = await caller.answer()
        lines = await told(runs.node, request_id)
    assert seen(answer) == WHOLE, lines


# Guards against a silent run that keeps its caller waiting, or its engine at work, once
# another one has taken over, and against events that the caller gets twice.
async def test_a_second_run_takes_over_from_one_that_stays_silent(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site)
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        await until(lambda: runs.has_run(runs.other, request_id))
        async with asyncio.timeout(CLOSED_WITHIN_S):
            await until(lambda: request_id in runs.silent.left)
        answer = await caller.answer()
    assert seen(answer) == WHOLE, await told(runs.node, request_id)


# Guards against a run that goes on for a caller that has left.
async def test_both_runs_end_when_the_caller_leaves(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site, sends_a_head_only)
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        await until(lambda: runs.has_run(runs.other, request_id))
        await asyncio.sleep(0.1)
        were_open = request_id not in runs.silent.left + runs.other.left
        caller.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSED_WITHIN_S):
                await until(
                    lambda: (
                        request_id in runs.silent.left and request_id in runs.other.left
                    )
                )
        left = [request_id in head.left for head in (runs.silent, runs.other)]
    assert (were_open, left) == (True, [True, True]), await told(runs.node, request_id)


# Guards against a sound run that is ended although it is the first to send an event
# again, and against a second run that goes on beside it.
async def test_the_first_run_goes_on_if_it_is_the_first_with_an_event(
    tmp_path,
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site, sends_a_head_only)
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        await until(lambda: runs.has_run(runs.other, request_id))
        runs.goes_on.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSED_WITHIN_S):
                await until(lambda: request_id in runs.other.left)
        is_closed = request_id in runs.other.left
        # A second run that is not ended would go on for ever.
        caller_gets = asyncio.ensure_future(caller.answer())
        done, _ = await asyncio.wait([caller_gets], timeout=5.0)
        caller_gets.cancel()
    assert done, "the first run's events don't reach the caller"
    assert seen(caller_gets.result()) == WHOLE, await told(runs.node, request_id)
    assert is_closed


# Guards against events that the caller gets twice or out of order if both runs send
# the next one at the same moment.
async def test_two_runs_that_send_at_once_give_each_event_once(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        both = asyncio.Event()

        async def sends_at_once(request, writer) -> None:
            await both.wait()
            await send_rest(request, writer)

        runs = await SilentRuns.start(site, sends_at_once)
        runs.goes_on = both
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        await until(lambda: runs.has_run(runs.other, request_id))
        was_open = request_id not in runs.silent.left
        both.set()
        answer = await caller.answer()
    assert seen(answer) == WHOLE, await told(runs.node, request_id)
    assert was_open


STREAMS, EARNING_REQUESTS = 32, 30
"""Each earns at most a fifth of a retry, and half of the streams fall silent: there are
some retries, and fewer than silent streams."""


# Guards against streams that are cut because others have used the last retry.
async def test_streams_are_whole_when_the_budget_of_retries_is_spent(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site, has_retry_slack=False)
        await runs.earn_retries(requests=EARNING_REQUESTS)
        callers = {f"s{n}": await Caller.connect(runs.node) for n in range(STREAMS)}
        for name, caller in callers.items():
            await caller.send(request_bytes("/stream/1", name))
        for caller in callers.values():
            await caller.begun(b"id: %d\n" % SILENT_AFTER)
        await runs.go_on_after(SILENCE_S)
        answers = {name: await caller.answer() for name, caller in callers.items()}
        begun = {name for name in callers if runs.has_run(runs.silent, name)}
        taken_over = {name for name in begun if runs.has_run(runs.other, name)}
        broken = [name for name, answer in answers.items() if seen(answer) != WHOLE]
        lines = await told(runs.node, *broken)
    assert not broken, lines
    assert taken_over < begun
