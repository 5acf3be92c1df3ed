"""Answers of plain services that are too long for a node to hold."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
from test_answers_without_length import plain_head
from test_plain_calls import answers
from test_stream_calls import chunk, events, head

from fordhatch.core import metrics
from fordhatch.serving.exchange import _held_answers as held_answers
from fordhatch.serving.plain import _answer_passing as answer_passing
from fordhatch.serving.streams._events import PART_BYTES, EventSplitter
from fordhatch_standins import SIGNATURE, http_answer

LONG = bytes(range(256)) * 4096 * 6
"""Longer than what is held of one answer."""


async def with_length(request, writer) -> None:
    writer.write(http_answer(request, LONG))


async def with_chunks(request, writer) -> None:
    writer.write(head(request) + chunk(LONG) + b"0\r\n\r\n")


async def without_length(request, writer) -> None:
    writer.write(plain_head(request) + LONG)
    await writer.drain()


async def breaks_off(request, writer) -> None:
    writer.write(http_answer(request, LONG)[:-1])
    await writer.drain()
    writer.transport.abort()


def endless(status: int, *, chunked: bool):
    """Return a script that writes a body without end."""

    async def script(request, writer) -> None:
        coding = "Transfer-Encoding: chunked" if chunked else "Connection: close"
        writer.write(
            f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {request.request_id}\r\n"
            f"X-Server-Seal: {SIGNATURE}\r\n{coding}\r\n\r\n".encode()
        )
        piece = bytes(128 * 1024)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(chunk(piece) if chunked else piece)
                await writer.drain()

    return script


def held_at_most(monkeypatch) -> list[int]:
    """Return a list to which the most that was held is written."""
    most = [0]
    may_hold = held_answers.AnswerHold._may_hold

    def record(self, size_bytes: int) -> bool:
        most[0] = max(most[0], self.memory.held_bytes[held_answers.ANSWERS])
        return may_hold(self, size_bytes)

    monkeypatch.setattr(held_answers.AnswerHold, "_may_hold", record)
    return most


# Guards against sound answers that are lost to the bound on what is held.
@pytest.mark.parametrize("script", [with_length, with_chunks, without_length])
@pytest.mark.parametrize("path", ["/once/1", "/get/1"])
async def test_a_long_answer_is_delivered_whole(site, script, path) -> None:
    await site.add_backend(script)
    got = await site.ask(path)
    assert (got.status, got.body == LONG) == (200, True)


async def test_a_long_answer_that_breaks_off_looks_incomplete(site) -> None:
    await site.add_backend(breaks_off)
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask("/get/1")


# Guards against a node that holds, or waits for, what never ends.
@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("chunked", [True, False])
async def test_another_server_is_asked_if_an_answer_may_have_no_end(
    site, status, chunked
) -> None:
    bad = await site.add_backend(endless(status, chunked=chunked))
    await site.add_backend(answers, zone="z2")
    got = await site.ask("/get/1", **{"X-Deadline-Ms": "60000"})
    assert (got.status, got.body, len(bad.seen)) == (200, b"whole body", 1)


async def test_an_answer_without_end_is_cut(site, monkeypatch) -> None:
    monkeypatch.setattr(answer_passing, "MAX_UNDECLARED_BYTES", 2 * len(LONG))
    before = metrics.READS_BOUNDED.labels("answer")._value.get()
    await site.add_backend(endless(200, chunked=True))
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask("/long/1", **{"X-Deadline-Ms": "60000"})
    assert metrics.READS_BOUNDED.labels("answer")._value.get() == before + 1


async def test_a_failure_without_end_is_answered_by_the_node(site) -> None:
    await site.add_backend(endless(500, chunked=False))
    got = await site.ask("/long/1", **{"X-Deadline-Ms": "60000"})
    assert (got.status, b"BACKEND_LOST" in got.body) == (502, True)


async def test_a_failure_without_end_moves_a_stream_to_another_group(site) -> None:
    await site.add_backend(endless(500, chunked=False), group="small.1")
    got = await site.ask("/stream/1", **{"X-Deadline-Ms": "60000"})
    assert (got.status, b"203" in got.body) == (502, True)


# Guards against many answers that are each short enough, and too much together.
async def test_many_answers_share_what_may_be_held(site, monkeypatch) -> None:
    limit_bytes = len(LONG) // 2
    fraction = held_answers.ANSWERS_FRACTION
    site.state.memory.capacity_bytes = limit_bytes / fraction
    most = held_at_most(monkeypatch)
    for _ in range(4):
        await site.add_backend(with_length)
    got = await asyncio.gather(*(site.ask("/once/1") for _ in range(12)))
    assert all(answer.body == LONG for answer in got)
    assert most[0] < limit_bytes + 12 * 2**20


async def repeats_an_event(request, writer) -> None:
    writer.write(head(request) + chunk(events(1, 2)))
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(chunk(events(1, 1) * 4096))
            await writer.drain()


# Guards against a stream that goes on for ever because there is always a next piece.
async def test_a_stream_without_end_ends_at_its_deadline(site) -> None:
    await site.add_backend(repeats_an_event, group="small.1")
    async with asyncio.timeout(30):
        with pytest.raises(aiohttp.ClientPayloadError):
            await site.ask("/stream/1", **{"X-Deadline-Ms": "500"})


# Guards against an event loop that is kept from others by a piece with many events.
async def test_a_long_piece_of_events_is_forwarded_in_parts(site, monkeypatch) -> None:
    lengths = []
    feed = EventSplitter.feed

    def record(self, piece: bytes) -> list:
        lengths.append(len(piece))
        return feed(self, piece)

    monkeypatch.setattr(EventSplitter, "feed", record)
    body = events(1, 20_000)

    async def at_once(request, writer) -> None:
        writer.write(head(request) + chunk(body) + b"0\r\n\r\n")

    await site.add_backend(at_once, group="small.1")
    got = await site.ask("/stream/1")
    assert (got.status, got.body == body) == (200, True)
    assert max(lengths) <= PART_BYTES
