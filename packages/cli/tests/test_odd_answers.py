"""The command line before something that does not answer as a node does."""

from __future__ import annotations

import json

import pytest
from broken_answers import parser
from same_answer import Server, server

from fordhatch.cli._client import OperatorClient
from fordhatch.core import Failure, Ran, ResultCode

__all__ = ["parser", "server"]

BODY = b'{"groups": []}'
LENGTH = b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(BODY)
OK = b"HTTP/1.1 200 OK\r\n"
HEADS = {
    "status 000": b"HTTP/1.1 000 X\r\n" + LENGTH,
    "status 600": b"HTTP/1.1 600 X\r\n" + LENGTH,
    "blank in a name": OK + b"X Field: x\r\n" + LENGTH,
    "control in a value": OK + b"X-Field: \x01\r\n" + LENGTH,
    "two lengths": OK + LENGTH + b"Content-Length: 3\r\n",
}
BODIES = {
    "no JSON": b"{",
    "very deep": 100_000 * b"[",
    "a list": b'["error"]',
    "nothing": b"null",
    "failure of another type": b'{"error": 5}',
    "failure without a code": b'{"error": {"message": "x", "ran": "no"}}',
    "unknown code": b'{"error": {"code": 7777, "message": "x", "ran": "no"}}',
}


async def failure_of(server: Server) -> Failure:
    client = OperatorClient(f"http://{server.address}", "token")
    return (await client.get("/groups")).unwrap_err()


def answer(body: bytes, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize("kind", HEADS)
async def test_an_answer_with_an_invalid_head_is_none(server, parser, kind) -> None:
    server.answer = HEADS[kind] + b"\r\n" + BODY
    failure = await failure_of(server)
    assert (failure.code, failure.ran) == (ResultCode.WRONG_ANSWER, Ran.MAYBE)


@pytest.mark.parametrize("kind", BODIES)
async def test_a_malformed_answer_is_a_coded_failure(server, kind) -> None:
    server.answer = answer(BODIES[kind])
    failure = await failure_of(server)
    assert (failure.code, failure.ran) == (ResultCode.WRONG_ANSWER, Ran.MAYBE)


async def test_a_failed_status_without_a_failure_is_no_success(server) -> None:
    server.answer = answer(BODY, status=500)
    assert (await failure_of(server)).code is ResultCode.WRONG_ANSWER


async def test_sound_answers_are_returned(server) -> None:
    server.answer = OK + LENGTH + b"\r\n" + BODY
    client = OperatorClient(f"http://{server.address}", "token")
    assert (await client.get("/groups")).unwrap() == {"groups": []}
    failure = Failure.from_code(ResultCode.NOT_FOUND)
    server.answer = answer(json.dumps(failure.to_json()).encode(), status=404)
    assert (await failure_of(server)).code is ResultCode.NOT_FOUND
