"""HTTP replies to callers of fordhatch's own interface."""

from __future__ import annotations

import json
import math
import re
import time
from typing import Any

import attrs
from aiohttp import web
from multidict import CIMultiDict

from fordhatch.core import Failure, Holding, ResultCode, record_bound
from fordhatch.serving import ExactStream, HttpReply, Reply, ReplyTooLong

from ._claim_rows import StoredAnswer

CODE_HEADER = "X-Result-Code"
"""Numeric result code of a failed request."""

RAN_HEADER = "X-Ran"
"""``no`` or ``maybe``: whether the request may have run."""

REQUEST_ID_HEADER = "X-Request-Id"
"""The id that the log names the request by."""

MAX_TEXT_BYTES = 4 * 1024 * 1024
"""Longest chat completion that is sent in full, in bytes of the model's events: far
above the longest output of a model. Streams have no such bound."""

REPLAYED_HEADER = "X-Replayed"
"""``true`` if the reply is a stored answer."""

_DATA_LINE = re.compile(rb"^data:[ ]?(.*)$", re.MULTILINE)


def failure_response(failure: Failure) -> web.Response:
    """Return a failure as an HTTP response with matching status, headers and body."""
    headers = {CODE_HEADER: str(int(failure.code)), RAN_HEADER: failure.ran.value}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return web.json_response(
        failure.to_json(), status=failure.http_status, headers=headers
    )


def parse_texts(events: bytes) -> list[str]:
    """Return the text of each event of a model's answer."""
    pieces = []
    for match in _DATA_LINE.finditer(events):
        data = json.loads(match.group(1))
        pieces.append(str(data["text"]))
    return pieces


@attrs.define(eq=False, repr=False)
class _OwnReply(HttpReply):
    """Common base of the replies of fordhatch's own interface."""

    request_id: str = ""
    is_replayed: bool = False
    failure: Failure | None = None

    async def refuse(self, failure: Failure) -> None:
        """Answer with the system's own failure."""
        self.failure = failure
        self.outcome = failure.code.name.lower()
        await self._send(failure_response(failure))

    async def _prepare(self, response: web.StreamResponse) -> None:
        response.headers[REQUEST_ID_HEADER] = self.request_id
        if self.is_replayed:
            response.headers[REPLAYED_HEADER] = "true"
        await HttpReply._prepare(self, response)


@attrs.define(eq=False, repr=False)
class ChatReply(_OwnReply):
    """A chat completion, streamed as chunks or sent in full at its end."""

    application: str = ""
    is_streamed: bool = False
    is_answering: bool = False
    """Whether the model's answer has begun."""
    pieces: list[str] = attrs.field(factory=list)
    """Text of the events so far, if it is sent in full; each counts as a completion
    token."""
    holding: Holding | None = None
    """Counts its text, once the request is accepted."""
    _text_bytes: int = 0

    @property
    def has_begun(self) -> bool:
        """Whether the model's answer has begun, so that no other can take its place."""
        return self.is_answering or self.response is not None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin the reply; a streamed one sends its headers."""
        self.is_answering = True
        if self.is_streamed:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await self._begin_stream(response)

    async def write(self, piece: bytes) -> None:
        """Process events of the model's answer."""
        texts = parse_texts(piece)
        if self.is_streamed:
            chunks = [self._chunk({"content": text}, None) for text in texts]
            await self._write(b"".join(chunks))
            return
        self._text_bytes += len(piece)
        if self._text_bytes > MAX_TEXT_BYTES:
            record_bound("chat_answer", request=self.request_id)
            raise ReplyTooLong(f"over {MAX_TEXT_BYTES} bytes")
        if self.holding is not None:
            self.holding.add(len(piece))
        self.pieces.extend(texts)

    async def end(self) -> None:
        """End an answer that is complete."""
        self.outcome = "complete"
        if not self.is_streamed:
            await self._send(web.json_response(self._body()))
            self.is_whole = True
            return
        last = self._chunk({}, "stop") + b"data: [DONE]\n\n"
        await self._write(last)
        await self._finish()
        self.is_whole = True

    async def abort(self) -> None:
        """Report that the answer is incomplete."""
        failure = Failure.from_code(ResultCode.STREAM_INCOMPLETE)
        if not self.is_streamed and self.response is None:
            await self.refuse(failure)
            return
        if not self.is_streamed:
            await HttpReply.abort(self)
            return
        self.outcome = "aborted"
        self.failure = failure
        # Nothing that is still being forwarded may follow the error.
        self.is_over = True
        # The headers are already sent: the error goes into the stream, which then ends
        # without ``[DONE]``.
        error = json.dumps(failure.to_json()).encode()
        await self._write(b"data: " + error + b"\n\n")
        await self._finish()

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Refuse an answer that is not a stream, which means that the engine failed."""
        await self.refuse(
            Failure.from_code(ResultCode.BACKEND_ERROR, f"status {status}")
        )

    def _chunk(self, delta: dict[str, str], reason: str | None) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        body = self._envelope("chat.completion.chunk", choice)
        return f"data: {json.dumps(body)}\n\n".encode()

    def _body(self) -> dict[str, Any]:
        message = {"role": "assistant", "content": "".join(self.pieces)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        body = self._envelope("chat.completion", choice)
        body["usage"] = {"completion_tokens": len(self.pieces)}
        body["replayed"] = self.is_replayed
        return body

    def _envelope(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self.request_id,
            "object": kind,
            "created": int(time.time()),
            "model": self.application,
            "choices": [choice],
        }


@attrs.define(eq=False, repr=False)
class CallReply(_OwnReply):
    """The answer of a plain service; one that is too long is sent as it comes."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin a reply that is sent as it comes."""
        response = ExactStream(status=status, headers=_content_type(headers))
        await self._begin_stream(response)

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        await self._write(piece)

    async def end(self) -> None:
        """End a reply that is complete."""
        self.outcome = "complete"
        await self._finish()
        self.is_whole = True

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        self.outcome = f"status_{status}"
        await self._send_body(status, _content_type(headers), body)
        self.is_whole = True


def _content_type(headers: list[tuple[str, str]]) -> CIMultiDict[str]:
    content_types = [v for name, v in headers if name.lower() == "content-type"]
    kind = content_types[0] if content_types else "application/octet-stream"
    return CIMultiDict({"Content-Type": kind})


@attrs.define(eq=False, repr=False)
class RecordedReply:
    """Records an answer for storage and forwards it until the caller disconnects."""

    inner: Reply
    max_stored_bytes: int
    """Longest answer that can be stored: the length of a row's value."""
    stored: StoredAnswer | None = None
    is_too_long: bool = False
    """Whether an answer is not stored because it is too long."""
    failure: Failure | None = None
    _head: tuple[int, list[tuple[str, str]]] = (0, [])
    _events: list[bytes] = attrs.field(factory=list)
    _recorded_bytes: int = 0
    has_caller_left: bool = False
    _began: bool = False

    @property
    def outcome(self) -> str:
        """Outcome for the caller, for logs and metrics."""
        return self.inner.outcome

    @property
    def is_whole(self) -> bool:
        """Whether a complete answer was sent to the caller."""
        return self.inner.is_whole

    @property
    def is_over(self) -> bool:
        """Whether an answer or a failure was sent to the caller to its end."""
        return self.inner.is_over

    @property
    def has_begun(self) -> bool:
        """Whether a streamed answer has begun."""
        return self._began

    async def _forward(self, step: Any) -> None:
        if self.has_caller_left or self.inner.is_over:
            step.close()
            return
        try:
            await step
        except ConnectionError:
            # The request may run only once: its answer is recorded for a retry.
            self.has_caller_left = True

    async def refuse(self, failure: Failure) -> None:
        """Answer with the system's own failure."""
        self.failure = failure
        await self._forward(self.inner.refuse(failure))

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        self.stored = StoredAnswer(status, [list(h) for h in headers], body, False)
        await self._forward(self.inner.send_complete(status, headers, body))

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin a streamed answer."""
        self._began = True
        self._head = status, headers
        await self._forward(self.inner.begin(status, headers))

    async def write(self, piece: bytes) -> None:
        """Record and forward events of a stream."""
        self._recorded_bytes += len(piece)
        if self._recorded_bytes > self.max_stored_bytes:
            self.is_too_long = True
            self._events.clear()
        else:
            self._events.append(piece)
        await self._forward(self.inner.write(piece))

    async def end(self) -> None:
        """End a stream that is complete."""
        status, headers = self._head
        header_lists = [list(h) for h in headers]
        if not self.is_too_long:
            body = b"".join(self._events)
            self.stored = StoredAnswer(status, header_lists, body, True)
        await self._forward(self.inner.end())

    async def abort(self) -> None:
        """Report that a stream is incomplete; nothing is stored."""
        self.failure = Failure.from_code(ResultCode.STREAM_INCOMPLETE)
        await self._forward(self.inner.abort())


async def replay(answer: StoredAnswer, reply: Reply) -> None:
    """Send a stored answer."""
    headers = [(name, value) for name, value in answer.headers]
    if not answer.is_stream:
        await reply.send_complete(answer.status, headers, answer.body)
        return
    await reply.begin(answer.status, headers)
    if answer.body:
        await reply.write(answer.body)
    await reply.end()
