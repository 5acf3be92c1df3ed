"""Stand-ins that send bytes without end: each kind comes, bounded, and is ended."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from fordhatch_standins import EndlessAnswers, EndlessKind

RATE_BYTES_PER_S = 2e6
PROOF_BYTES = 500_000
"""More bytes than any whole answer of a stand-in has."""


async def serve(answers: EndlessAnswers) -> tuple[asyncio.Server, int]:
    async def answer(reader, writer) -> None:
        await answers.send(answers.choose(), writer.transport, {"X-Seal": "s"})

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


@pytest.mark.parametrize(
    "kind", [kind for kind in EndlessKind if kind is not EndlessKind.TRICKLE]
)
async def test_each_kind_has_no_end_until_the_fault_ends(kind) -> None:
    answers = EndlessAnswers(random.Random(1), 1.0, (kind,), RATE_BYTES_PER_S)
    server, port = await serve(answers)
    began_s = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    first = await reader.readexactly(PROOF_BYTES)
    took_s = time.monotonic() - began_s
    assert took_s > 0.7 * PROOF_BYTES / RATE_BYTES_PER_S
    assert first.startswith(b"HTTP/1.1 ")
    is_in_head = kind in (EndlessKind.HEAD_LINE, EndlessKind.HEAD_FIELDS)
    assert (b"\r\n\r\n" in first) is not is_in_head
    answers.share = 0.0
    async with asyncio.timeout(2.0):
        await reader.read()
    writer.close()
    server.close()


async def test_two_peers_share_the_rate() -> None:
    kinds = (EndlessKind.LENGTHLESS_BODY,)
    answers = EndlessAnswers(random.Random(1), 1.0, kinds, RATE_BYTES_PER_S)
    server, port = await serve(answers)
    opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
    began_s = time.monotonic()
    await asyncio.gather(*(reader.readexactly(PROOF_BYTES) for reader, _ in opened))
    took_s = time.monotonic() - began_s
    assert took_s > 0.7 * 2 * PROOF_BYTES / RATE_BYTES_PER_S
    for _, writer in opened:
        writer.close()
    server.close()


async def test_a_peer_that_stops_reading_fills_no_memory() -> None:
    kinds = (EndlessKind.EVENT,)
    answers = EndlessAnswers(random.Random(1), 1.0, kinds, 100e6)
    server, port = await serve(answers)
    _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    await asyncio.sleep(0.5)
    sent_bytes = answers.sent_bytes
    await asyncio.sleep(0.2)
    assert answers.sent_bytes == sent_bytes < 20e6
    writer.close()
    server.close()
