"""Answers of backend servers and of the store that are none."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from enum import StrEnum

import attrs

BODY = b'id: 0\ndata: {"text": "not an answer"}\n\n'
"""What no caller may get as the body of an answer, or as a part of it."""

_PART = BODY.rstrip()
"""The same without the end of its event: events are passed on as they come."""

_LENGTH = b"Content-Length: %d\r\n" % len(BODY)
_CLOSE = b"Connection: close\r\n"


class BrokenKind(StrEnum):
    """What is wrong with an answer."""

    NO_STATUS = "no_status"
    """Its status is 000."""
    HIGH_STATUS = "high_status"
    """Its status is above all statuses."""
    NOT_RUN = "not_run"
    """It says beside a status of 000 that the request has not run."""
    OTHER_VERSION = "other_version"
    """It is of another version of the protocol."""
    NAME = "name"
    """The name of a field has a blank."""
    VALUE = "value"
    """The value of a field has a control character."""
    TWO_LENGTHS = "two_lengths"
    """It has two lengths."""
    SHORT_LENGTH = "short_length"
    """Its length is that of a part."""
    CODING = "coding"
    """Its transfer coding is unknown."""
    CHUNK = "chunk"
    """A chunk has no size."""
    NOISE = "noise"
    """It is no answer at all."""
    RESET = "reset"
    """It has no length, and is reset."""


def encode(kind: BrokenKind, fields: dict[str, str]) -> bytes:
    """Return an answer.

    Args:
        kind: What is wrong with it.
        fields: Fields of the head of a usual answer.
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items()).encode()
    ok = b"HTTP/1.1 200 OK\r\n" + lines
    whole = _LENGTH + b"\r\n" + BODY
    match kind:
        case BrokenKind.NO_STATUS:
            return b"HTTP/1.1 000 X\r\n" + lines + whole
        case BrokenKind.HIGH_STATUS:
            return b"HTTP/1.1 600 X\r\n" + lines + whole
        case BrokenKind.NOT_RUN:
            return b"HTTP/1.1 000 X\r\nX-Not-Executed: 1\r\n" + lines + whole
        case BrokenKind.OTHER_VERSION:
            return b"HTTP/2.0 200 OK\r\n" + lines + whole
        case BrokenKind.NAME:
            return ok + b"X Field: x\r\n" + whole
        case BrokenKind.VALUE:
            return ok + b"X-Field: a\x01b\r\n" + whole
        case BrokenKind.TWO_LENGTHS:
            return ok + b"Content-Length: 7\r\n" + whole
        case BrokenKind.SHORT_LENGTH:
            return ok + b"Content-Length: 7\r\n\r\n" + BODY
        case BrokenKind.CODING:
            return ok + b"Transfer-Encoding: xchunked\r\n\r\n" + BODY
        case BrokenKind.CHUNK:
            return ok + b"Transfer-Encoding: chunked\r\n\r\nx\r\n" + BODY
        case BrokenKind.NOISE:
            return bytes(range(256)) * 16
        case BrokenKind.RESET:
            return ok + _CLOSE + b"\r\n" + _PART


@attrs.define(eq=False, repr=False)
class BrokenAnswers:
    """Sends some answers that are none."""

    rng: random.Random
    share: float = 0.0
    """Fraction of the answers."""
    kinds: tuple[BrokenKind, ...] = tuple(BrokenKind)
    """Kinds to choose from."""

    def choose(self) -> BrokenKind | None:
        """Return the kind of the next answer, None for a sound one."""
        if self.share <= 0.0 or self.rng.random() >= self.share:
            return None
        return self.rng.choice(self.kinds)

    def send(
        self, kind: BrokenKind, transport: asyncio.Transport, fields: dict[str, str]
    ) -> None:
        """Send an answer and end its connection."""
        transport.write(encode(kind, fields))
        if kind is BrokenKind.RESET:
            connection = transport.get_extra_info("socket")
            reset = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        transport.close()
