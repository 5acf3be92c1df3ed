"""Answers that are kept whole: for a retry, or for a reply that is sent in full."""

from __future__ import annotations

import attrs
import pytest

from fordhatch.chat import _replies
from fordhatch.chat._replies import ChatReply, RecordedReply
from fordhatch.serving import ReplyTooLong

EVENT = b'id: 1\ndata: {"text": "x"}\n\n'


@attrs.define
class Sent:
    """What a caller receives."""

    outcome: str = ""
    sent: bytes = b""

    async def begin(self, status: int, headers: list) -> None:
        pass

    async def write(self, piece: bytes) -> None:
        self.sent += piece

    async def end(self) -> None:
        self.outcome = "complete"


# Guards against memory for an answer that no row can hold.
@pytest.mark.parametrize("count", [10, 11, 1000])
async def test_an_answer_is_recorded_up_to_the_length_of_a_row(count: int) -> None:
    recorded = RecordedReply(Sent(), 10 * len(EVENT))
    await recorded.begin(200, [])
    for _ in range(count):
        await recorded.write(EVENT)
    await recorded.end()
    assert recorded.inner.sent == count * EVENT
    assert (recorded.stored is None) == recorded.is_too_long == (count > 10)
    assert len(recorded._events) <= 10


async def test_a_completion_that_is_sent_in_full_has_a_bound(monkeypatch) -> None:
    monkeypatch.setattr(_replies, "MAX_TEXT_BYTES", 10 * len(EVENT))
    reply = ChatReply(None, None)
    await reply.begin(200, [])
    for _ in range(10):
        await reply.write(EVENT)
    with pytest.raises(ReplyTooLong):
        await reply.write(EVENT)
    assert len(reply.pieces) == 10
