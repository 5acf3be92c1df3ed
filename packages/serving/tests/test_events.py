"""Event streams that are split into events."""

from __future__ import annotations

import re

import pytest

from fordhatch.serving.streams import _events
from fordhatch.serving.streams._events import (
    MAX_EVENT_BYTES,
    Event,
    EventOrder,
    EventSplitter,
    StreamError,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\rdata: d\n\n"


@pytest.mark.parametrize("size", range(1, 16))
def test_pieces_of_any_size_give_the_same_events(size: int) -> None:
    splitter = EventSplitter()
    pieces = [STREAM[i : i + size] for i in range(0, len(STREAM), size)]
    events = [event for piece in pieces for event in splitter.feed(piece)]
    assert b"".join(event.raw for event in events) == STREAM
    assert [event.number for event in events] == [1, 2, 3, None]
    assert not splitter.has_partial_event


# Guards against a stream that goes on without an event for the caller.
def test_only_so_much_may_be_repeated(monkeypatch) -> None:
    monkeypatch.setattr(_events, "MAX_REPEATED_BYTES", 100)
    order = EventOrder.from_last_event_id("5")
    for number in (1, 2, 6, 1, 2):
        assert order.accept(Event(bytes(50), number)) == (number > 5)
    with pytest.raises(StreamError):
        order.accept(Event(b"x", 3))


# Guards against an event loop that is blocked by one long event in small pieces.
def test_no_byte_of_a_long_event_is_searched_again_with_each_piece(monkeypatch) -> None:
    searched = []

    class Counting:
        def finditer(self, text, begin: int = 0):
            searched.append(len(text) - begin)
            return re.finditer(rb"\n\n", bytes(text[begin:]))

    monkeypatch.setattr(_events, "_END_OF_EVENT", Counting())
    splitter = EventSplitter()
    with pytest.raises(StreamError):
        for _ in range(MAX_EVENT_BYTES // 512 + 1):
            splitter.feed(bytes(512))
    assert sum(searched) < 2 * MAX_EVENT_BYTES
