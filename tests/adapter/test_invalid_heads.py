"""Reports, health checks, orders and the store: answers whose head is none."""

from __future__ import annotations

import asyncio
from enum import Enum

import pytest
from broken_answers import PARSERS, parser, reading_with
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from same_answer import Server, health, order, read, report, server, write

from fordhatch.core import Ran, ResultCode

__all__ = ["parser", "server"]

JSON = b"Content-Type: application/json\r\n"
VERSION = 7
BODY = b'{"ver": 7, "rows": [], "born": 5, "seq": 3}'
SIZE = b"Content-Length: %d\r\n" % len(BODY)
LENGTH = JSON + SIZE

HEADS = {
    "status 000": b"HTTP/1.1 000 X\r\n" + LENGTH,
    "status 600": b"HTTP/1.1 600 X\r\n" + LENGTH,
    "status 101": b"HTTP/1.1 101 X\r\n" + LENGTH,
    "version 2": b"HTTP/2.0 200 OK\r\n" + LENGTH,
    "control in the reason": b"HTTP/1.1 200 \x01\r\n" + LENGTH,
    "blank in a name": b"HTTP/1.1 200 OK\r\nX Field: x\r\n" + LENGTH,
    "control in a name": b"HTTP/1.1 200 OK\r\nX\x01Field: x\r\n" + LENGTH,
    "control in a value": b"HTTP/1.1 200 OK\r\nX-Field: \x01\r\n" + LENGTH,
    "blank before the colon": b"HTTP/1.1 200 OK\r\nStore-Era : 9\r\n" + LENGTH,
    "two lengths": b"HTTP/1.1 200 OK\r\n" + LENGTH + b"Content-Length: 3\r\n",
    "too short": b"HTTP/1.1 200 OK\r\n" + JSON + b"Content-Length: 3\r\n",
    "unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n" + JSON,
    "two ids": b"HTTP/1.1 200 OK\r\n" + 2 * b"X-Runner-Id: i-1\r\n" + LENGTH,
}
SOUND = b"HTTP/1.1 200 OK\r\n" + LENGTH


CODES = {
    report: ResultCode.PROBE_INCONCLUSIVE,
    health: ResultCode.PROBE_INCONCLUSIVE,
    order: ResultCode.WRONG_ANSWER,
    read: ResultCode.STORE_UNAVAILABLE,
    write: ResultCode.STORE_OUTCOME_UNKNOWN,
}


# Guards against a report, an order or an outcome that is believed, and against a sender
# that is taken for ended although it has answered.
@pytest.mark.parametrize("call", CODES, ids=lambda call: call.__name__)
async def test_an_answer_with_an_invalid_head_is_none(server, parser, call) -> None:
    for kind, head in HEADS.items():
        server.answer = head + b"\r\n" + BODY
        got = await call(server.address)
        assert got.is_err(), kind
        assert got.unwrap_err().code is CODES[call], kind
    server.answer = SOUND + b"\r\n" + BODY
    assert (await call(server.address)).is_ok()


@pytest.mark.parametrize("call", [order, write], ids=["order", "write"])
async def test_what_got_an_invalid_head_may_have_happened(server, parser, call) -> None:
    server.answer = HEADS["status 000"] + b"\r\n" + BODY
    got = await call(server.address)
    assert got.unwrap_err().ran is Ran.MAYBE


# Guards against a reset that is taken for the end of a body without a length.
@pytest.mark.parametrize("call", CODES, ids=lambda call: call.__name__)
async def test_a_body_that_is_reset_is_none(server, parser, call) -> None:
    server.answer = b"HTTP/1.1 200 OK\r\n" + JSON + b"\r\n" + BODY
    for resets_after_s in (0.0, 0.01):
        server.resets_after_s = resets_after_s
        assert (await call(server.address)).is_err()


class Break(Enum):
    """What is done to one place of a head."""

    INSERT = "insert"
    DELETE = "delete"
    REPLACE = "replace"


def break_head(head: bytes, kind: Break, place: float, byte: int) -> bytes:
    at = int(place * len(head))
    added = b"" if kind is Break.DELETE else bytes([byte])
    return head[:at] + added + head[at + (kind is not Break.INSERT) :]


BREAKS = st.lists(
    st.tuples(
        st.sampled_from(Break),
        st.floats(0.0, 1.0, exclude_max=True),
        st.integers(0, 255),
    ),
    min_size=20,
    max_size=20,
)


@pytest.mark.parametrize("name", PARSERS)
@settings(max_examples=10, deadline=None, derandomize=True, phases=(Phase.generate,))
@given(breaks=BREAKS)
def test_any_broken_head_is_a_failure_or_says_what_was_sent(
    name: str, breaks: list[tuple[Break, float, int]]
) -> None:
    async def scenario() -> None:
        started = Server(closes=True)
        await started.start()
        for kind, place, byte in breaks:
            head = break_head(SOUND, kind, place, byte)
            started.answer = head + b"\r\n" + BODY
            for call in (report, order, read, write):
                found = (await call(started.address)).ok()
                if found is None:
                    continue
                status = getattr(found, "status", None)
                assert status is None or b" %d" % status in head[:16], head
                version = getattr(found, "version", None)
                assert version is None or version.number == VERSION, head
        await started.close()

    with reading_with(name):
        asyncio.run(scenario())
