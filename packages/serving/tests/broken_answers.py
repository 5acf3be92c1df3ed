"""Answers with one broken part, and callers that tell what they got of them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs
import pytest
from aiohttp import client_proto, http_parser
from raw_caller import Answer, Caller
from test_stream_calls import ALL, chunk

from fordhatch_standins import SIGNATURE

OWN_FAILURE = 500
"""Lowest status of a failure of the node itself."""

SEAL = "x-server-seal"

PARSERS = ["compiled", "python"]
"""Parsers of the HTTP library; the first one is used where it has been built."""


@contextlib.contextmanager
def reading_with(parser: str) -> Iterator[None]:
    """Read answers with one of the library's parsers."""
    with pytest.MonkeyPatch.context() as patch:
        if parser == "python":
            python = http_parser.HttpResponseParserPy
            patch.setattr(client_proto, "HttpResponseParser", python)
        yield


@pytest.fixture(params=PARSERS)
def parser(request) -> Iterator[str]:
    """Read answers with one of the library's parsers."""
    with reading_with(request.param):
        yield request.param


@attrs.frozen
class Parts:
    """The parts of an answer; the defaults are those of a sound one."""

    first: bytes = b"HTTP/1.1 200 OK"
    fields: tuple[bytes, ...] = ()
    """Lines between the fields of every answer and its framing."""
    framing: tuple[bytes, ...] | None = None
    """Lines that say how long the body is; None for its length."""
    sent_body: bytes | None = None
    """The body on the wire, None for the body itself."""
    line_end: bytes = b"\r\n"

    def encode(self, request_id: str, body: bytes) -> bytes:
        """Return the answer to a request."""
        known = (f"X-Attempt-Id: {request_id}", f"X-Server-Seal: {SIGNATURE}")
        framing = self.framing
        if framing is None:
            framing = (b"Content-Length: %d" % len(body),)
        sent = body if self.sent_body is None else self.sent_body
        signed = [line.encode() for line in known]
        lines = [self.first, *signed, *self.fields, *framing, b"", b""]
        return self.line_end.join(lines) + sent


def sends(parts: Parts, body: bytes) -> Callable:
    """Return a script that answers with these parts."""

    async def script(request, writer) -> None:
        writer.write(parts.encode(request.request_id, body))
        await writer.drain()

    return script


CHUNKED = (b"Transfer-Encoding: chunked",)
EVENTS = Parts(framing=CHUNKED, sent_body=chunk(ALL) + b"0\r\n\r\n")
"""A sound stream."""


def as_stream(parts: Parts) -> Parts:
    """Return the same head before a stream, unless the parts have a body."""
    if parts.framing is not None or parts.sent_body is not None:
        return parts
    return attrs.evolve(parts, framing=CHUNKED, sent_body=EVENTS.sent_body)


def is_own_failure(answer: Answer) -> bool:
    """Return whether a caller got a whole failure of the node, without a signature."""
    is_failure = answer.is_whole and answer.status >= OWN_FAILURE
    return is_failure and SEAL not in answer.headers


async def ask_once(site, path: str, request_id: str, **headers: str) -> Answer:
    """Send a request on a connection of its own."""
    caller = await Caller.connect(site)
    try:
        return await caller.ask(
            path, request_id, **{"X-Deadline-Ms": "5000", **headers}
        )
    finally:
        caller.close()
