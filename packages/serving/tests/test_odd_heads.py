"""Heads whose fields can't be decoded: one line of the log, and an answer."""

from __future__ import annotations

import pytest
from raw_caller import Caller
from test_plain_calls import answers
from test_unexpected_ends import log

__all__ = ["log"]

ENDS = ("request_done", "request_refused")

FIELDS = {
    "superscript deadline": ("X-Deadline-Ms", "\u00b2".encode()),
    "deadline of 400 digits": ("X-Deadline-Ms", b"9" * 400),
    "deadline of 5000 digits": ("X-Deadline-Ms", b"9" * 5000),
    "token count": ("X-Token-Count", "\u00b2,1".encode()),
    "sane": ("X-Deadline-Ms", b"3000"),
}


# Guards against requests that end without a line because a field can't be decoded.
@pytest.mark.parametrize("kind", FIELDS)
async def test_an_odd_field_is_answered_with_one_line(site, log, kind) -> None:
    await site.add_backend(answers)
    name, value = FIELDS[kind]
    caller = await Caller.connect(site)
    fields = {"Host": b"app.example", "Api-Key": b"n2ctnfzs", "X-Attempt-Id": b"r1"}
    fields[name] = value
    head = b"".join(n.encode() + b": " + v + b"\r\n" for n, v in fields.items())
    await caller.send(b"POST /once/1 HTTP/1.1\r\n" + head + b"\r\n")
    answer = await caller.answer()
    lines = [m for m in log if m["message_type"] in ENDS]
    assert len(lines) == 1, answer
