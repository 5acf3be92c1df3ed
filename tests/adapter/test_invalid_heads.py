"""Reports, health checks, orders and the store: answers whose head is none."""

from __future__ import annotations

import pytest
from broken_answers import parser
from same_answer import health, order, read, report, server, write

from fordhatch.core import Ran, ResultCode

__all__ = ["parser", "server"]

JSON = b"Content-Type: application/json\r\n"
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
