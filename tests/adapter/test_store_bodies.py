"""Bodies of the store's answers that are not what the store sends."""

from __future__ import annotations

import base64
import json

import pytest
from same_answer import Server, read, server, watch, write

from fordhatch.core import Ran, ResultCode

__all__ = ["server"]

VALUE = base64.b64encode(b"value").decode()
ROW = {"table": "t", "part": "", "key": "k", "value": VALUE, "ver": 3}
UNREADABLE = {
    "no JSON": b"{",
    "no text": b"\xff\xfe",
    "a list": b"[1]",
    "a number": b"7",
    "nothing": b"null",
    "very deep": b'{"ver": 7, "rows": [{"value": ' + 100_000 * b"[",
    "no version": b'{"rows": []}',
    "version of another type": b'{"ver": "7", "rows": []}',
    "infinite version": b'{"ver": 1e999, "rows": []}',
    "version that is too large": b'{"ver": 1' + 400 * b"0" + b', "rows": []}',
    "version with too many digits": b'{"ver": 1' + 5000 * b"0" + b', "rows": []}',
    "rows of another type": b'{"ver": 7, "rows": {"key": "k"}}',
    "version of a row that is too large": json.dumps(
        {"ver": 7, "rows": [{**ROW, "ver": 2**70}]}
    ).encode(),
}
ODD_ROWS = {
    "no object": 5,
    "no key": {"table": "t", "value": VALUE},
    "key of another type": {**ROW, "key": 5},
    "part of another type": {**ROW, "part": [1]},
    "nothing": None,
}
ODD_VALUES = {"no base64": "a", "other type": 5, "list": ["x"], "nothing": None}


def answer(body: bytes, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def page(*rows: object) -> bytes:
    return answer(json.dumps({"ver": 7, "rows": rows, "has-more": False}).encode())


# Guards against an answer of the store that ends what follows a table.
@pytest.mark.parametrize("kind", UNREADABLE)
async def test_a_malformed_answer_of_the_store_is_a_failed_call(
    server: Server, kind: str
) -> None:
    server.answer = answer(UNREADABLE[kind])
    for call in (read, watch):
        got = await call(server.address)
        assert got.unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    if "row" not in kind:
        failure = (await write(server.address)).unwrap_err()
        assert failure.code is ResultCode.STORE_OUTCOME_UNKNOWN
        assert failure.ran is Ran.MAYBE


@pytest.mark.parametrize("kind", ODD_ROWS)
async def test_an_odd_row_leaves_the_others(server: Server, kind: str) -> None:
    server.answer = page(ODD_ROWS[kind], ROW)
    for call in (read, watch):
        rows = (await call(server.address)).unwrap().rows
        assert [(row.row_key.key, row.value) for row in rows] == [("k", b"value")]


@pytest.mark.parametrize("kind", ODD_VALUES)
async def test_an_odd_value_is_empty(server: Server, kind: str) -> None:
    server.answer = page({**ROW, "key": "odd", "value": ODD_VALUES[kind]}, ROW)
    for call in (read, watch):
        rows = (await call(server.address)).unwrap().rows
        assert [row.value for row in rows] == [b"", b"value"]


async def test_a_malformed_conflict_leaves_the_outcome_open(server: Server) -> None:
    server.answer = answer(b'{"rows": 5}', status=412)
    failure = (await write(server.address)).unwrap_err()
    assert (failure.code, failure.ran) == (
        ResultCode.STORE_OUTCOME_UNKNOWN,
        Ran.MAYBE,
    )
