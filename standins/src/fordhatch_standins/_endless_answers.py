"""Answers of backend servers that send bytes without end, at a bounded rate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from enum import StrEnum

import attrs

BLOCK_BYTES = 64 * 1024
"""Bytes that are written at once."""

MAX_LENGTH_BYTES = 1 << 40
"""Announced length of a body that never reaches it."""


class EndlessKind(StrEnum):
    """Which part of an answer has no end."""

    LENGTHLESS_BODY = "lengthless_body"
    """The body of a success, without a length."""
    LONG_BODY = "long_body"
    """The body of a success, with a length that is never reached."""
    FAILURE_BODY = "failure_body"
    """The body of a failure, without a length."""
    EVENT = "event"
    """One event of a stream."""
    EVENTS = "events"
    """Events of a stream, more than were asked for."""
    CHUNK_EXTENSION = "chunk_extension"
    """The extension of a chunk's size."""
    HEAD_LINE = "head_line"
    """One field of the head."""
    HEAD_FIELDS = "head_fields"
    """The fields of the head."""
    INTERIM_ANSWERS = "interim_answers"
    """Answers with a status of 1xx before the real one."""
    TRICKLE = "trickle"
    """The body of a success, one byte a second."""


_TYPE = b"Content-Type: text/event-stream\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_CLOSE = b"Connection: close\r\n\r\n"


def _first_bytes(kind: EndlessKind, fields: dict[str, str]) -> bytes:
    """Return what comes before the endless part.

    Args:
        kind: The part without end.
        fields: Fields of the head of a usual answer.
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = f"HTTP/1.1 200 OK\r\n{lines}".encode()
    match kind:
        case EndlessKind.LENGTHLESS_BODY | EndlessKind.TRICKLE:
            return head + _CLOSE
        case EndlessKind.LONG_BODY:
            return head + f"Content-Length: {MAX_LENGTH_BYTES}\r\n\r\n".encode()
        case EndlessKind.FAILURE_BODY:
            failed = f"HTTP/1.1 500 Internal Server Error\r\n{lines}".encode()
            return failed + _CLOSE
        case EndlessKind.EVENT:
            return head + _TYPE + _CLOSE + b"id: 0\ndata: "
        case EndlessKind.EVENTS:
            return head + _TYPE + _CLOSE
        case EndlessKind.CHUNK_EXTENSION:
            return head + _TYPE + _CHUNKED + b"5;name="
        case EndlessKind.HEAD_LINE:
            return head + b"X-Long: "
        case EndlessKind.HEAD_FIELDS:
            return head
        case _:
            return b""


def _blocks(kind: EndlessKind) -> Iterator[bytes]:
    """Yield the bytes after the first ones, for ever."""
    index = 0
    while True:
        match kind:
            case EndlessKind.TRICKLE:
                yield b"x"
            case EndlessKind.HEAD_FIELDS:
                lines = (b"X-Field-%d: x\r\n" % (index + n) for n in range(1024))
                yield b"".join(lines)
                index += 1024
            case EndlessKind.INTERIM_ANSWERS:
                yield b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1024
            case EndlessKind.EVENTS:
                ids = range(index, index + 512)
                yield b"".join(b'id: %d\ndata: {"text": "x"}\n\n' % n for n in ids)
                index += 512
            case _:
                yield b"x" * BLOCK_BYTES


@attrs.define(eq=False, repr=False)
class EndlessAnswers:
    """Sends answers without end, all of them together at a bounded rate."""

    rng: random.Random
    share: float = 0.0
    """Fraction of the answers that have no end."""
    kinds: tuple[EndlessKind, ...] = tuple(EndlessKind)
    """Kinds to choose from."""
    rate_bytes_per_s: float = 100e6
    """Largest rate of all of them together."""
    sent_bytes: int = 0
    """Bytes sent since the start."""
    _next_s: float = 0.0
    """When the next block may be sent, on the event loop's clock."""

    def choose(self) -> EndlessKind | None:
        """Return the kind of the next answer, None for one that ends."""
        if self.share <= 0.0 or self.rng.random() >= self.share:
            return None
        return self.rng.choice(self.kinds)

    async def send(
        self,
        kind: EndlessKind,
        transport: asyncio.Transport,
        fields: dict[str, str],
    ) -> None:
        """Send an answer until the fault ends or the peer closes the connection.

        Args:
            kind: The part of the answer that has no end.
            transport: The connection, which is aborted at the end.
            fields: Fields of the head of a usual answer.
        """
        transport.write(_first_bytes(kind, fields))
        for block in _blocks(kind):
            await self._wait_for_turn(kind, len(block))
            if self.share <= 0.0 or transport.is_closing():
                break
            # A peer that has stopped reading must not fill the memory of this process.
            if transport.get_write_buffer_size() < BLOCK_BYTES:
                transport.write(block)
                self.sent_bytes += len(block)
        transport.abort()

    async def _wait_for_turn(self, kind: EndlessKind, size_bytes: int) -> None:
        if kind is EndlessKind.TRICKLE:
            await asyncio.sleep(1.0)
            return
        now_s = asyncio.get_running_loop().time()
        self._next_s = max(now_s, self._next_s) + size_bytes / self.rate_bytes_per_s
        await asyncio.sleep(self._next_s - now_s)
