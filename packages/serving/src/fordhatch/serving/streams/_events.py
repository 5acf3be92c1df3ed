"""Event streams: splitting into events, and their order across runs."""

from __future__ import annotations

import re
from collections.abc import Iterator

import attrs

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")

MAX_EVENT_BYTES = 1024 * 1024
"""A stream with a longer event is malformed."""


PART_BYTES = 16 * 1024
"""Bytes that are split into events at once, so that many small events, of which some
hundred KiB arrive together, don't keep the event loop from other callers."""

MAX_REPEATED_BYTES = 1024 * 1024
"""Most bytes of events that were forwarded already, between two others: a server that
can't resume repeats the whole answer."""


class StreamError(ValueError):
    """A stream is malformed or its events are out of order."""


@attrs.frozen
class Event:
    """One complete event as received, with its number."""

    raw: bytes
    number: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it only keeps the connection open."""
        return all(line.startswith(b":") for line in self.raw.splitlines() if line)


@attrs.define
class EventSplitter:
    """Splits a body into complete events."""

    _buffer: bytearray = attrs.field(factory=bytearray)
    _searched_bytes: int = 0
    """Beginning of the buffer in which no event ends."""

    def feed(self, piece: bytes) -> list[Event]:
        """Return the events that are complete with this piece.

        Raises:
            StreamError: If an event is too long.
        """
        self._buffer += piece
        events = []
        begin = 0
        for match in _END_OF_EVENT.finditer(self._buffer, self._searched_bytes):
            raw = bytes(self._buffer[begin : match.end()])
            events.append(Event(raw, _number(raw)))
            begin = match.end()
        del self._buffer[:begin]
        # The end of an event may be split over two pieces.
        self._searched_bytes = max(len(self._buffer) - _MAX_END_BYTES + 1, 0)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError("event without end")
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)


def in_parts(piece: bytes) -> Iterator[bytes]:
    """Split what was read at once, for turns of other callers in between."""
    for begin in range(0, len(piece), PART_BYTES):
        yield piece[begin : begin + PART_BYTES]


def _number(raw: bytes) -> int | None:
    found = _ID_LINE.search(raw)
    if found is None or not found.group(1).strip().isdigit():
        return None
    return int(found.group(1))


@attrs.define
class EventOrder:
    """Ensures that each event is forwarded once and in order, across several runs."""

    last: int | None = None
    """Number of the last event that was forwarded to the caller."""
    _repeated_bytes: int = 0

    @classmethod
    def from_last_event_id(cls, text: str) -> EventOrder:
        """Return the order of a stream that resumes after an event."""
        return cls(int(text) if text.strip().isdigit() else None)

    def is_new(self, event: Event) -> bool:
        """Return whether an event has something that has not been forwarded yet."""
        if event.number is None:
            return not event.is_comment
        return self.last is None or event.number > self.last

    def check_next(self, event: Event) -> None:
        """Check that no event is missing before a new one.

        Raises:
            StreamError: If one is.
        """
        if event.number is None or self.last is None:
            return
        if event.number > self.last + 1:
            raise StreamError(f"event {event.number} after {self.last}")

    def accept(self, event: Event) -> bool:
        """Return whether to forward an event; False for one already forwarded.

        Raises:
            StreamError: If an event before it is missing, or too much is repeated.
        """
        if event.number is None:
            return True
        if self.last is not None:
            if event.number <= self.last:
                self._repeated_bytes += len(event.raw)
                if self._repeated_bytes > MAX_REPEATED_BYTES:
                    raise StreamError(f"repeats {self._repeated_bytes} bytes")
                return False
            self.check_next(event)
        self.last = event.number
        self._repeated_bytes = 0
        return True
