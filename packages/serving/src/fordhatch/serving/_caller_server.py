"""HTTP server for callers: reads requests and writes answers."""

from __future__ import annotations

import json

import attrs
from aiohttp import HttpVersion11, web
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from fordhatch.adapter import caller_fields, client_headers, refusal_headers
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event, record_bound

from ._admission import Admission, wait_s
from ._dispatch import Dispatch
from ._node_state import OTHER_NODE_RETRY_AFTER_S, NodeState
from ._request_path import RequestPath

MAX_LATE_REQUEST_S = 3.0
"""Requests that arrive later than this after the signal to stop are refused: they may
not complete before the process must exit. The balancer sends none by then."""


MAX_BODIES_BYTES = 96 * 1024 * 1024
"""Most bytes of the bodies of all requests in progress, of the 300 MB of a node; they
are kept for retries."""

SMALL_BODY_BYTES = 64 * 1024
"""Longest body that is accepted even then."""


@attrs.define(eq=False, repr=False)
class CallerReply:
    """The answer to one request of a caller."""

    http_request: web.BaseRequest
    state: NodeState
    response: web.StreamResponse | None = None
    body_bytes: int = 0
    """Bytes of the request's body that are kept."""
    outcome: str = ""
    """Result as the caller sees it, for logs and metrics."""

    @property
    def has_begun(self) -> bool:
        """Whether any byte of the answer was sent."""
        return self.response is not None

    async def refuse(self, failure: Failure) -> None:
        """Answer with a failure of the system itself."""
        request_id = caller_fields(self.http_request.headers).request_id
        headers = refusal_headers(request_id, failure.retry_after_s)
        body = json.dumps(failure.to_json()).encode()
        self.outcome = failure.code.name.lower()
        response = web.Response(
            status=failure.http_status,
            headers=headers,
            body=body,
            content_type="application/json",
        )
        if failure.code is ResultCode.BAD_REQUEST:
            # Further bytes on this connection may not be a valid request either.
            response.force_close()
        await self._send(response)

    async def send_complete(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Answer with a backend server's complete answer."""
        self.outcome = f"status_{status}"
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        await self._send(response)

    async def _send(self, response: web.Response) -> None:
        self.response = response
        self._close_if_leaving(response)
        await response.prepare(self.http_request)
        await response.write_eof()

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Start an answer whose body is streamed."""
        self.response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if self.http_request.version >= HttpVersion11:
            self.response.enable_chunked_encoding()
        else:
            self.response.force_close()
        self._close_if_leaving(self.response)
        await self.response.prepare(self.http_request)

    def _close_if_leaving(self, response: web.StreamResponse) -> None:
        if self.state.is_leaving:
            response.force_close()

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        await self.response.write(piece)

    async def end(self) -> None:
        """Finish a complete answer."""
        self.outcome = "complete"
        await self.response.write_eof()

    async def abort(self) -> None:
        """Abort an answer so that the caller can't take it for a complete one."""
        self.outcome = "aborted"
        transport = self.http_request.transport
        if transport is not None:
            transport.abort()


@attrs.define(eq=False, repr=False)
class CallerServer:
    """Handles every request to the callers' address."""

    state: NodeState
    admission: Admission
    dispatch: Dispatch
    timer: Timer
    _bodies_bytes: int = 0
    """Bytes of the bodies of all requests in progress."""

    @classmethod
    def from_path(cls, path: RequestPath, timer: Timer) -> CallerServer:
        """Return the server for callers of a request path."""
        return cls(path.state, path.admission, path.dispatch, timer)

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller and return the response."""
        arrived_s = self.timer.now_s()
        reply = CallerReply(http_request, self.state)
        with self.state.counted(reply):
            try:
                await self._serve(http_request, reply, arrived_s)
            finally:
                self._bodies_bytes -= reply.body_bytes
        return reply.response if reply.response is not None else web.Response()

    async def _serve(
        self, http_request: web.BaseRequest, reply: CallerReply, arrived_s: float
    ) -> None:
        checked = self._check_head(http_request)
        if checked.is_err():
            await self._refuse(http_request, reply, checked.unwrap_err())
            return
        target = checked.unwrap()
        await self.state.until_loaded()
        found = self.admission.find_route(http_request.headers["Host"], target)
        if found.is_err():
            await self._refuse(http_request, reply, found.unwrap_err())
            return
        fields = caller_fields(http_request.headers)
        due_s = arrived_s + wait_s(found.unwrap(), fields)
        body = await self._read_body(http_request, reply, due_s)
        if body.is_err():
            await self._refuse(http_request, reply, body.unwrap_err())
            return
        admitted = self.admission.admit(
            found.unwrap(),
            fields,
            method=http_request.method,
            target=target,
            headers=client_headers(http_request.headers.items()),
            body=body.unwrap(),
            arrived_s=arrived_s,
        )
        if admitted.is_err():
            await self._refuse(http_request, reply, admitted.unwrap_err())
            return
        await self.dispatch.serve(admitted.unwrap(), reply)

    def _check_head(self, http_request: web.BaseRequest) -> Result[str, Failure]:
        target = http_request.raw_path
        if "Host" not in http_request.headers or not target.startswith("/"):
            return Err(Failure.from_code(ResultCode.BAD_REQUEST, "host or path"))
        if URL(f"http://x{target}", encoded=True).raw_path_qs != target:
            # The target could not be forwarded unchanged.
            return Err(Failure.from_code(ResultCode.BAD_REQUEST, "path"))
        if self.state.is_leaving:
            leaving_s = self.timer.now_s() - self.state.leaving_since_s
            if leaving_s > MAX_LATE_REQUEST_S:
                return Err(
                    Failure.from_code(
                        ResultCode.SHUTTING_DOWN, retry_after_s=OTHER_NODE_RETRY_AFTER_S
                    )
                )
        return Ok(target)

    async def _read_body(
        self, http_request: web.BaseRequest, reply: CallerReply, due_s: float
    ) -> Result[bytes, Failure]:
        if not http_request.can_read_body:
            return Ok(b"")
        if http_request.headers.get("Expect", "").lower() == "100-continue":
            http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        limit = self.admission.max_body_bytes()
        pieces: list[bytes] = []
        try:
            async with self.timer.timeout(due_s - self.timer.now_s()):
                async for piece in http_request.content.iter_any():
                    pieces.append(piece)
                    reply.body_bytes += len(piece)
                    self._bodies_bytes += len(piece)
                    if reply.body_bytes > limit:
                        return Err(Failure.from_code(ResultCode.BODY_TOO_LARGE))
                    if self._is_full(reply):
                        return Err(_bodies_failure())
        except TimeoutError:
            request_id = caller_fields(http_request.headers).request_id
            record_bound("request_body", request=request_id)
            return Err(Failure.from_code(ResultCode.DEADLINE_EXCEEDED, ran=Ran.NO))
        except web.RequestPayloadError as error:
            return Err(Failure.from_code(ResultCode.BAD_REQUEST, repr(error)))
        return Ok(b"".join(pieces))

    def _is_full(self, reply: CallerReply) -> bool:
        if reply.body_bytes <= SMALL_BODY_BYTES:
            return False
        return self._bodies_bytes > MAX_BODIES_BYTES

    async def _refuse(
        self, http_request: web.BaseRequest, reply: CallerReply, failure: Failure
    ) -> None:
        log_event(
            "request_refused",
            request=caller_fields(http_request.headers).request_id,
            code=failure.code.name,
            host=http_request.headers.get("Host", ""),
            version=self.state.view.configuration.version,
            age_s=round(self.state.view.configuration_age_s(), 3),
        )
        await reply.refuse(failure)


def _bodies_failure() -> Failure:
    record_bound("request_bodies")
    return Failure.from_code(
        ResultCode.OVERLOADED,
        "the bodies of other requests take the memory",
        retry_after_s=OTHER_NODE_RETRY_AFTER_S,
    )
