"""Answers to callers of fordhatch's own interface."""

from __future__ import annotations

import json
import math
import re
import time
from typing import Any

import attrs
from aiohttp import web
from multidict import CIMultiDict

from fordhatch.core import Failure, ResultCode
from fordhatch.serving import NodeState, Reply

from ._claim_rows import StoredAnswer

CODE_HEADER = "X-Result-Code"
"""Numbered result code of an answer that is not complete."""

RAN_HEADER = "X-Ran"
"""``no`` or ``maybe``: whether the request may have run."""

REPLAYED_HEADER = "X-Replayed"
"""``true`` where a stored answer is given again."""

_DATA_LINE = re.compile(rb"^data:[ ]?(.*)$", re.MULTILINE)


def failure_response(failure: Failure) -> web.Response:
    """Return a failure as an HTTP answer: status, headers and body agree."""
    headers = {CODE_HEADER: str(int(failure.code)), RAN_HEADER: failure.ran.value}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return web.json_response(
        failure.to_json(), status=failure.http_status, headers=headers
    )


def text_of(events: bytes) -> list[str]:
    """Return the pieces of text in the events of a model's answer."""
    pieces = []
    for match in _DATA_LINE.finditer(events):
        data = json.loads(match.group(1))
        pieces.append(str(data["text"]))
    return pieces


@attrs.define(eq=False, repr=False)
class _HttpReply:
    """What both kinds of reply share."""

    http_request: web.BaseRequest
    state: NodeState
    is_replayed: bool = False
    outcome: str = ""
    failure: Failure | None = None
    response: web.StreamResponse | None = None

    async def refuse(self, failure: Failure) -> None:
        """Answer with the system's own failure."""
        self.failure = failure
        self.outcome = failure.code.name.lower()
        await self._send(failure_response(failure))

    async def _send(self, response: web.Response) -> None:
        await self._prepare(response)
        await response.write_eof()

    async def _prepare(self, response: web.StreamResponse) -> None:
        self.response = response
        if self.is_replayed:
            response.headers[REPLAYED_HEADER] = "true"
        if self.state.is_leaving:
            response.force_close()
        await response.prepare(self.http_request)


@attrs.define(eq=False, repr=False)
class ChatReply(_HttpReply):
    """A chat completion: streamed as chunks, or whole at its end."""

    request_id: str = ""
    application: str = ""
    is_streamed: bool = False
    has_begun: bool = False
    """Whether any event of the model's answer has come."""
    pieces: list[str] = attrs.field(factory=list)

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of the model's answer."""
        self.has_begun = True
        if self.is_streamed:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            response.enable_chunked_encoding()
            await self._prepare(response)

    async def write(self, piece: bytes) -> None:
        """Take events of the model's answer."""
        fresh = text_of(piece)
        self.pieces.extend(fresh)
        if self.is_streamed:
            chunks = [self._chunk({"content": text}, None) for text in fresh]
            await self.response.write(b"".join(chunks))

    async def end(self) -> None:
        """End an answer that is complete."""
        self.outcome = "complete"
        if not self.is_streamed:
            await self._send(web.json_response(self._body()))
            return
        last = self._chunk({}, "stop") + b"data: [DONE]\n\n"
        await self.response.write(last)
        await self.response.write_eof()

    async def abort(self) -> None:
        """Say that the answer is not complete."""
        failure = Failure.from_code(ResultCode.STREAM_INCOMPLETE)
        if not self.is_streamed:
            await self.refuse(failure)
            return
        self.outcome = "aborted"
        self.failure = failure
        # The head has gone out: the error goes into the stream, without an end mark.
        error = json.dumps(failure.to_json()).encode()
        await self.response.write(b"data: " + error + b"\n\n")
        await self.response.write_eof()

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Take an answer that is no stream: the engine has failed."""
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
class CallReply(_HttpReply):
    """The answer of a plain service, which always comes whole."""

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        self.outcome = f"status_{status}"
        kinds = [value for name, value in headers if name.lower() == "content-type"]
        kind = kinds[0] if kinds else "application/octet-stream"
        sent = CIMultiDict({"Content-Type": kind})
        await self._send(web.Response(status=status, headers=sent, body=body))


@attrs.define(eq=False, repr=False)
class RecordedReply:
    """Keeps an answer to be stored, and passes it on while its caller is there."""

    inner: Reply
    stored: StoredAnswer | None = None
    failure: Failure | None = None
    _head: tuple[int, list[tuple[str, str]]] = (0, [])
    _events: list[bytes] = attrs.field(factory=list)
    _caller_left: bool = False
    _began: bool = False

    @property
    def outcome(self) -> str:
        """What the caller got, for logs and metrics."""
        return self.inner.outcome

    @property
    def has_begun(self) -> bool:
        """Whether any part of the answer has come."""
        return self._began

    async def _pass_on(self, step: Any) -> None:
        if self._caller_left:
            step.close()
            return
        try:
            await step
        except ConnectionError:
            # The request may run once only: its answer is kept for the next try.
            self._caller_left = True
            self.inner.outcome = "caller_gone"

    async def refuse(self, failure: Failure) -> None:
        """Answer with the system's own failure."""
        self.failure = failure
        await self._pass_on(self.inner.refuse(failure))

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        self.stored = StoredAnswer(status, [list(h) for h in headers], body, False)
        await self._pass_on(self.inner.whole(status, headers, body))

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of a stream."""
        self._began = True
        self._head = status, headers
        await self._pass_on(self.inner.begin(status, headers))

    async def write(self, piece: bytes) -> None:
        """Take events of a stream."""
        self._events.append(piece)
        await self._pass_on(self.inner.write(piece))

    async def end(self) -> None:
        """End a stream that is complete."""
        status, headers = self._head
        kept = [list(h) for h in headers]
        self.stored = StoredAnswer(status, kept, b"".join(self._events), True)
        await self._pass_on(self.inner.end())

    async def abort(self) -> None:
        """Break off a stream."""
        self.failure = Failure.from_code(ResultCode.STREAM_INCOMPLETE)
        await self._pass_on(self.inner.abort())


async def replay(answer: StoredAnswer, reply: Reply) -> None:
    """Give a stored answer again."""
    headers = [(name, value) for name, value in answer.headers]
    if not answer.is_stream:
        await reply.whole(answer.status, headers, answer.body)
        return
    await reply.begin(answer.status, headers)
    if answer.body:
        await reply.write(answer.body)
    await reply.end()
