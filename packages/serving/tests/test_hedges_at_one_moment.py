"""Runs beside each other that speak, end or fail at the same moment."""

from __future__ import annotations

import asyncio
import gc
import weakref

import eliot
import pytest
from result import Err, Ok
from test_plain_calls import answers, fails
from test_stream_calls import (
    ALL,
    chunk,
    events,
    falls_silent,
    first_due,
    head,
    never_begins,
    refuses,
    streams,
)

from fordhatch.core import MemoryAccount, Timer
from fordhatch.serving import Dispatch, PlainCalls, StreamCalls
from fordhatch.serving.exchange import SendFailure, SendProblem
from fordhatch.serving.exchange._held_answers import ANSWERS, HeldAnswers
from fordhatch.serving.hedging import Hedging
from fordhatch_standins import SIGNATURE


def plain_head(request, size: int) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.request_id}\r\n"
        f"X-Server-Seal: {SIGNATURE}\r\nContent-Length: {size}\r\n\r\n"
    ).encode()


# Guards against a failure that replaces the answer with which it arrives.
async def test_a_failure_that_comes_with_an_answer_does_not_replace_it(site) -> None:
    both = asyncio.Event()

    async def good(request, writer) -> None:
        await both.wait()
        await answers(request, writer)

    async def bad(request, writer) -> None:
        both.set()
        await asyncio.sleep(0)
        await fails(request, writer)

    await site.add_backend(good, zone="z1")
    await site.add_backend(bad, zone="z2")
    got = await site.ask("/get/1", method="GET")
    assert (got.status, got.body) == (200, b"whole body")


# Guards against two answers of which none counts, so that a third attempt is made.
async def test_two_answers_of_one_moment_are_one_answer(site, monkeypatch) -> None:
    both, asked, ends = asyncio.Event(), [], []
    attempt = PlainCalls._attempt

    async def at_once(request, writer) -> None:
        asked.append(request)
        if len(asked) == 2:
            both.set()
            await asyncio.sleep(0)
        await both.wait()
        await answers(request, writer)

    async def recorded(self, call):
        ends.append(await attempt(self, call))
        return ends[-1]

    monkeypatch.setattr(PlainCalls, "_attempt", recorded)
    for _ in range(3):
        await site.add_backend(at_once, zone="z1")
    got = await site.ask("/get/1", method="GET")
    assert (got.status, got.body) == (200, b"whole body")
    assert [end.is_ok() for end in ends] == [True]


# Guards against a long answer that is cut by another one, and looks whole.
@pytest.mark.parametrize("first_is_long", [False, True])
async def test_a_long_answer_that_comes_with_another_one(site, first_is_long) -> None:
    memory = site.state.memory
    memory.held_bytes[ANSWERS] = int(memory.capacity_bytes)
    both = asyncio.Event()

    async def short(request, writer) -> None:
        if first_is_long:
            both.set()
            await asyncio.sleep(0)
        await both.wait()
        await answers(request, writer)

    async def long(request, writer) -> None:
        writer.write(plain_head(request, 200_000) + b"x" * 60_000)
        await writer.drain()
        await asyncio.sleep(0.1)
        if not first_is_long:
            both.set()
            await asyncio.sleep(0)
        await both.wait()
        writer.write(b"x" * 10_000)
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.write(b"x" * 130_000)

    order = (long, short) if first_is_long else (short, long)
    await site.add_backend(order[0], zone="z1")
    await site.add_backend(order[1], zone="z2")
    got = await site.ask("/get/1", method="GET")
    assert got.status == 200
    assert got.body in (b"whole body", b"x" * 200_000)


# Guards against events of two runs that are mixed.
@pytest.mark.parametrize("order", [0, 1])
@pytest.mark.parametrize("parts", [1, 3])
async def test_two_runs_that_speak_at_once_are_not_mixed(site, order, parts) -> None:
    both, asked = asyncio.Event(), []

    async def run(request, writer) -> None:
        number, due = len(asked), first_due(request)
        asked.append(request)
        writer.write(head(request) + (chunk(events(1, 2)) if not number else b""))
        await writer.drain()
        if number:
            both.set()
        await both.wait()
        if number == order:
            await asyncio.sleep(0)
        due = due if number else 3
        for first in range(due, 7, 7 if parts == 1 else 1):
            writer.write(chunk(events(first, 6 if parts == 1 else first)))
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    await site.add_backend(run, group="small.1", zone="z1")
    await site.add_backend(run, group="small.2", zone="z2")
    assert (await site.ask("/stream/1")).body == ALL
    assert len(asked) == 2


# Guards against a complete answer that counts as the failure beside it.
async def test_a_complete_answer_counts_whatever_failed_beside_it() -> None:
    async def end(result):
        return result

    for _ in range(40):
        hedging = Hedging()
        hedging.hedge(end(Err(SendFailure(SendProblem.REFUSED))))
        hedging.hedge(end(Ok(None)))
        await asyncio.sleep(0.001)
        ended = await hedging.outcome(Err(SendFailure(SendProblem.SILENT)))
        assert ended.is_ok()


async def pauses(request, writer) -> None:
    writer.write(head(request) + chunk(events(1, 2)))
    await writer.drain()
    await asyncio.sleep(1.6)
    writer.write(chunk(events(3, 6)) + b"0\r\n\r\n")


# Guards against an error of one attempt after which no other can begin.
async def test_an_attempt_that_raises_is_followed_by_another(site, monkeypatch) -> None:
    await site.add_backend(pauses, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2")
    choose, choices = StreamCalls._next_head, []

    async def next_head(self, stream):
        choices.append(stream)
        if len(choices) == 2:
            raise RuntimeError("an error")
        return await choose(self, stream)

    monkeypatch.setattr(StreamCalls, "_next_head", next_head)
    assert (await site.ask("/stream/1")).body == ALL
    assert len(choices) > 2


# Guards against heads that are not asked when it counts, as they were busy before.
async def test_a_head_that_refused_beside_a_run_is_asked_after_it(site) -> None:
    async def breaks_late(request, writer) -> None:
        writer.write(head(request) + chunk(events(1, 2)))
        await writer.drain()
        await asyncio.sleep(1.4)
        writer.transport.abort()

    async def refuses_once(request, writer) -> None:
        await (refuses if len(busy.seen) == 1 else streams)(request, writer)

    await site.add_backend(breaks_late, group="small.1", zone="z1")
    busy = await site.add_backend(refuses_once, group="small.2", zone="z2")
    assert (await site.ask("/stream/1")).body == ALL


# Guards against a line that names fewer runs than there were.
async def test_the_line_of_a_request_counts_the_run_beside(site) -> None:
    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    try:
        first = await site.add_backend(falls_silent, group="small.1", zone="z1")
        second = await site.add_backend(never_begins, group="small.2", zone="z2")
        asked = asyncio.ensure_future(site.ask("/stream/1"))
        await site.until(lambda: second.seen)
        asked.cancel()
        await site.until(lambda: first.left and second.left)
        await site.until(lambda: lines[-1]["message_type"] == "request_done")
    finally:
        eliot.remove_destination(lines.append)
    assert lines[-1]["arrivals"] == 2


# Guards against bytes that count as held for ever.
async def test_bytes_that_are_read_after_the_reply_are_not_held() -> None:
    memory = MemoryAccount(Timer())
    held, more = HeldAnswers(memory), asyncio.Event()

    class Answer:
        async def read_piece(self) -> bytes:
            await more.wait()
            more.clear()
            return b"x" * 1000

    with held.hold() as hold:
        reading = asyncio.ensure_future(hold.read(Answer()))
        await asyncio.sleep(0)
    more.set()
    for _ in range(3):
        await asyncio.sleep(0)
    reading.cancel()
    assert memory.held_bytes[ANSWERS] == 0


# Guards against bodies that stay in memory until the garbage collector runs.
@pytest.mark.parametrize("case", ["plain", "second wins", "first wins", "stream"])
async def test_requests_leave_memory_at_once(site, case, monkeypatch) -> None:
    served, serve = [], Dispatch.serve

    async def recorded(self, request, reply) -> None:
        served.append(weakref.ref(request))
        await serve(self, request, reply)

    async def late(request, writer) -> None:
        await asyncio.sleep(0.8)
        await answers(request, writer)

    monkeypatch.setattr(Dispatch, "serve", recorded)
    if case == "stream":
        await site.add_backend(falls_silent, group="small.1", zone="z1")
        await site.add_backend(streams, group="small.2", zone="z2")
    else:
        first = answers if case == "plain" else late
        await site.add_backend(first, zone="z1")
    if case == "first wins":
        await site.add_backend(never_begins, zone="z2")
    elif case == "second wins":
        await site.add_backend(answers, zone="z2")
    path, method = ("/stream/1", "POST") if case == "stream" else ("/get/1", "GET")
    gc.collect()
    gc.disable()
    try:
        assert (await site.ask(path, method=method)).status == 200
        await site.until(lambda: served[0]() is None)
    finally:
        gc.enable()
