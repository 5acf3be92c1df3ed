"""HTTP server for callers: reads requests and writes answers."""

from __future__ import annotations

import json

import attrs
from aiohttp import web
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from fordhatch.adapter import caller_fields, client_headers, refusal_headers
from fordhatch.core import Failure, ResultCode, Timer

from ._accepted_request import AcceptedRequest, EarlyRefusal, generate_request_id
from ._admission import Admission, due_s
from ._body_reading import read_body
from ._caller_writes import linger
from ._dispatch import Dispatch
from ._http_reply import HttpReply
from ._node_state import NodeState
from ._reply_heads import ExactStream
from ._request import ServedRequest
from ._request_path import RequestPath
from ._stop_plan import shutting_down


@attrs.define(eq=False, repr=False)
class CallerReply(HttpReply):
    """The answer to one request of a caller."""

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
        await self._send_body(status, CIMultiDict(headers), body)
        self.is_whole = True

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Start an answer whose body is streamed."""
        response = ExactStream(status=status, headers=CIMultiDict(headers))
        await self._begin_stream(response)

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        await self._write(piece)

    async def end(self) -> None:
        """Finish a complete answer."""
        self.outcome = "complete"
        await self._finish()
        self.is_whole = True


@attrs.define(eq=False, repr=False)
class CallerServer:
    """Handles every request to the callers' address."""

    state: NodeState
    admission: Admission
    dispatch: Dispatch
    timer: Timer

    @classmethod
    def from_path(cls, path: RequestPath, timer: Timer) -> CallerServer:
        """Return the server for callers of a request path."""
        return cls(path.state, path.admission, path.dispatch, timer)

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller and return the response."""
        reply = CallerReply(http_request, self.state)
        request_id = caller_fields(http_request.headers).request_id
        accepted = AcceptedRequest(
            request_id or generate_request_id(),
            http_request,
            reply,
            self.timer.now_s(),
        )
        async with self.state.accept(accepted):
            await self._serve(accepted, reply)
        if reply.response is None:
            # The caller has left; an empty answer must not reach anyone.
            await reply.abort()
            return web.Response()
        await linger(http_request, reply.response, self.timer)
        return reply.response

    async def _serve(self, accepted: AcceptedRequest, reply: CallerReply) -> None:
        admitted = await self._admit(accepted)
        if admitted.is_err():
            await self._refuse(accepted, admitted.unwrap_err())
            return
        accepted.served = admitted.unwrap()
        accepted.served.holding = accepted.holding
        reply.due_s = accepted.served.due_s
        await self.dispatch.serve(accepted.served, reply)

    async def _admit(self, accepted: AcceptedRequest) -> Result[ServedRequest, Failure]:
        http_request, arrived_s = accepted.http_request, accepted.arrived_s
        checked = self._check_head(http_request)
        if checked.is_err():
            return checked
        target = checked.unwrap()
        fields = caller_fields(http_request.headers)
        await self.state.until_loaded(fields.deadline_s)
        found = self.admission.find_route(http_request.headers["Host"], target)
        if found.is_err():
            return found
        route = found.unwrap()
        body = await read_body(
            self.state,
            accepted,
            self.admission.max_body_bytes(),
            due_s(route, fields, arrived_s),
        )
        if body.is_err():
            return body
        return self.admission.admit(
            route,
            fields,
            method=http_request.method,
            target=target,
            headers=client_headers(http_request.headers.items()),
            body=body.unwrap(),
            arrived_s=arrived_s,
        )

    def _check_head(self, http_request: web.BaseRequest) -> Result[str, Failure]:
        target = http_request.raw_path
        if "Host" not in http_request.headers or not target.startswith("/"):
            return Err(Failure.from_code(ResultCode.BAD_REQUEST, "host or path"))
        if URL(f"http://x{target}", encoded=True).raw_path_qs != target:
            # The target could not be forwarded unchanged.
            return Err(Failure.from_code(ResultCode.BAD_REQUEST, "path"))
        if self.state.is_past_admission(self.timer.now_s()):
            return Err(shutting_down())
        return Ok(target)

    async def _refuse(self, accepted: AcceptedRequest, failure: Failure) -> None:
        accepted.refusal = EarlyRefusal(
            failure.code.name,
            accepted.http_request.headers.get("Host", ""),
            round(self.state.view.configuration_age_s(), 3),
        )
        await accepted.reply.refuse(failure)
