"""Event streams, passed on event by event."""

from __future__ import annotations

import re

import attrs

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")

MAX_EVENT_BYTES = 1024 * 1024
"""A longer event means that the stream is not one."""


class StreamError(ValueError):
    """A stream is malformed or its events are out of order."""


@attrs.frozen
class Event:
    """One whole event, as its bytes, with its number."""

    raw: bytes
    number: int | None


@attrs.define
class EventSplitter:
    """Cuts a body into whole events."""

    _buffer: bytes = b""

    def feed(self, piece: bytes) -> list[Event]:
        """Return the events that are complete with this piece.

        Raises:
            StreamError: If an event is too long.
        """
        self._buffer += piece
        events = []
        begin = 0
        for match in _END_OF_EVENT.finditer(self._buffer):
            raw = self._buffer[begin : match.end()]
            events.append(Event(raw, _number(raw)))
            begin = match.end()
        self._buffer = self._buffer[begin:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError("event without end")
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun but not ended."""
        return bool(self._buffer)


def _number(raw: bytes) -> int | None:
    found = _ID_LINE.search(raw)
    if found is None or not found.group(1).strip().isdigit():
        return None
    return int(found.group(1))


@attrs.define
class EventOrder:
    """Sees to it that events go out once each and in order, over several runs."""

    last: int | None = None
    """Number of the last event that the caller has."""

    @classmethod
    def from_last_event_id(cls, text: str) -> EventOrder:
        """Return the order of a stream that goes on after an event."""
        return cls(int(text) if text.strip().isdigit() else None)

    def accept(self, event: Event) -> bool:
        """Return whether an event is the next one; False for one already passed on.

        Raises:
            StreamError: If events between are missing.
        """
        if event.number is None:
            return True
        if self.last is not None:
            if event.number <= self.last:
                return False
            if event.number > self.last + 1:
                raise StreamError(f"event {event.number} after {self.last}")
        self.last = event.number
        return True
