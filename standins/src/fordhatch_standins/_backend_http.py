"""HTTP interface of the backend servers: orders, reports and requests."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from fordhatch.adapter import GroupOrder, OrderKind, caller_fields

from ._attempt_log import Attempt, AttemptEnd
from ._backends import Backends
from ._broken_answers import BrokenKind
from ._calls import BackendCall, CutOff, NotExecuted
from ._crashing_parts import message_parts
from ._engine_work import EngineWork
from ._plain_service import PlainService
from ._pressure_log import PressureLog
from ._scripted_backend import SIGNATURE

ORDER_PATH = "/v1/order"

REPORT_PATH = "/v1/report"
HEALTH_PATH = "/health"

UNKNOWN_NODE = "any"
"""Name of the node for all requests, which do not identify their sender."""

MAX_HALVES_APART_S = 0.8
"""Longest time between the halves of a plain answer without length."""

_OK, _BAD_REQUEST, _MISDIRECTED, _UNAVAILABLE = 200, 400, 421, 503
_DEFAULT_URGENCY = 5


@attrs.define(eq=False, repr=False)
class BackendListeners:
    """Listens on one port for each backend server, all in this process."""

    backends: Backends
    host: str
    _listeners: dict[str, asyncio.Server] = attrs.field(factory=dict)
    _servers: dict[str, web.Server] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[str]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Close the ports of engines that crash, until others start there."""
        self.backends.crash_subscribers.append(self.cut_off)
        self.backends.restart_subscribers.append(self._listen_again)

    def _listen_again(self, address: str) -> None:
        port = int(address.rpartition(":")[2])
        task = asyncio.ensure_future(self.listen(port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def listen(self, port: int) -> str:
        """Open a port and return its address, where a backend server can be added."""
        address = f"{self.host}:{port}"

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._respond(address, request)

        server = web.Server(handle, handler_cancellation=True, access_log=None)
        self._servers[address] = server
        loop = asyncio.get_running_loop()
        self._listeners[address] = await loop.create_server(server, self.host, port)
        return address

    def cut_off(self, address: str) -> None:
        """Close the port and abort every connection, idle ones too, as a crash does."""
        self._listeners.pop(address).close()
        self.backends.attempts.break_off(address)
        for connection in self._servers.pop(address).connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _respond(
        self, address: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        plain = self.backends.plain.get(address)
        work = self.backends.work_at(address)
        if plain is None and work is None:
            request.transport.abort()
            return web.Response()
        self._record_arrival(plain, work, request)
        expected_id = request.headers.get("X-Expect-Instance", "")
        own_id = plain.backend_id if plain is not None else work.engine.backend_id
        stand_still = (plain or work.engine).stand_still
        if expected_id and expected_id != own_id:
            answers = _ResponseBuilder(request, self.backends.pressure, own_id)
            return answers.refusal(_MISDIRECTED, own_id)
        kind = self.backends.endless.choose()
        cold = {} if work is None else _cold_headers(self.backends, work)
        if kind is not None and request.path in (REPORT_PATH, HEALTH_PATH, ORDER_PATH):
            fields = {"X-Runner-Id": own_id, **cold}
            await self.backends.endless.send(kind, request.transport, fields)
            return web.Response()
        broken = self.backends.broken.choose()
        if broken is not None:
            return await self._answer_brokenly(broken, address, request, own_id)
        if request.path in (REPORT_PATH, HEALTH_PATH):
            await stand_still.wait_to_answer_probe()
        if request.path == REPORT_PATH:
            return web.json_response(_report(work), headers=cold)
        if request.path == HEALTH_PATH:
            return web.Response(headers={"X-Runner-Id": own_id, **cold})
        if request.path == ORDER_PATH:
            await stand_still.wait()
            return self._order(work, await request.json())
        call = _build_call(request, own_id, await request.read())
        attempt = self.backends.attempts.begin(call, address)
        answers = _ResponseBuilder(
            request, self.backends.pressure, own_id, cold, attempt
        )
        if kind is not None:
            attempt.finish(AttemptEnd.ENDLESS)
            fields = answers.signed()
            await self.backends.endless.send(kind, request.transport, fields)
            return web.Response()
        try:
            await stand_still.wait()
            response = await self._answer(plain, work, call, answers)
        except (asyncio.CancelledError, ConnectionError):
            # The answers of a head whose group has lost a member do not go on.
            is_stalled = work is not None and work.engine.is_stalled
            attempt.finish(AttemptEnd.BROKEN if is_stalled else AttemptEnd.LEFT)
            raise
        attempt.finish(AttemptEnd.WHOLE)
        return response

    async def _answer_brokenly(
        self, kind: BrokenKind, address: str, request: web.BaseRequest, own_id: str
    ) -> web.Response:
        """Send an answer that is none; nothing has been run for it."""
        fields = {"X-Runner-Id": own_id}
        if request.path not in (REPORT_PATH, HEALTH_PATH, ORDER_PATH):
            call = _build_call(request, own_id, await request.read())
            attempt = self.backends.attempts.begin(call, address)
            attempt.finish(AttemptEnd.INVALID)
            answers = _ResponseBuilder(request, self.backends.pressure, own_id)
            fields = answers.signed()
        self.backends.broken.send(kind, request.transport, fields)
        return web.Response()

    async def _answer(
        self,
        plain: PlainService | None,
        work: EngineWork | None,
        call: BackendCall,
        answers: _ResponseBuilder,
    ) -> web.StreamResponse:
        if work is not None:
            self.backends.arrived(work.engine, call)
            if self.backends.is_shed():
                return answers.refusal(_UNAVAILABLE, "")
        if self.backends.pressure.arrived(call.backend_id, UNKNOWN_NODE):
            return answers.refusal(_UNAVAILABLE, "")
        if plain is not None and self.backends.is_lengthless():
            return await _serve_plain_lengthless(plain, call, answers)
        if plain is not None:
            return await _serve_plain(plain, call, answers)
        if self.backends.is_lengthless():
            return await _serve_lengthless(work, call, answers)
        return await _serve_stream(work, call, answers)

    def _record_arrival(
        self,
        plain: PlainService | None,
        work: EngineWork | None,
        request: web.BaseRequest,
    ) -> None:
        request_id = request.headers.get("X-Attempt-Id")
        if request_id is not None:
            service = plain.service if plain is not None else work.engine.service
            self.backends.retries.arrived(service, request_id)

    def _order(self, work: EngineWork | None, body: dict[str, Any]) -> web.Response:
        try:
            order = _decode_order(body)
        except (KeyError, ValueError):
            return web.Response(status=_BAD_REQUEST)
        if work is None:
            return web.Response(status=_BAD_REQUEST)
        status = self.backends.fleet.order(work.engine, order)
        return web.Response(status=status or _UNAVAILABLE)


def _report(work: EngineWork | None) -> dict[str, Any]:
    if work is None:
        return {"busy": False, "seq": 0}
    entry = json.loads(work.engine.entry())
    orders = work.engine.reported_orders()
    return {"busy": False, "seq": orders, "group": entry["group"]}


def _cold_headers(backends: Backends, work: EngineWork) -> dict[str, str]:
    left_s = backends.cold_left_s(work.engine)
    return {} if left_s is None else {"X-Cold-Ms": str(round(1000.0 * left_s))}


def _decode_order(body: dict[str, Any]) -> GroupOrder:
    return GroupOrder(
        OrderKind(body["op"]),
        str(body.get("group", "")),
        int(body.get("epoch", 0)),
        str(body.get("model", "")),
        tuple(body.get("members", ())),
        fencing_token=int(body.get("fence", 0)),
        expected_orders=body.get("expected-rev"),
    )


def _build_call(request: web.BaseRequest, backend_id: str, body: bytes) -> BackendCall:
    fields = caller_fields(request.headers)
    last = fields.last_event_id
    return BackendCall(
        request_id=fields.request_id,
        backend_id=backend_id,
        method=request.method,
        target=request.raw_path,
        body=body,
        left_s=fields.deadline_s or 0.0,
        model=fields.model,
        prompt_tokens=fields.prompt_tokens,
        output_tokens=fields.max_output_tokens,
        urgency=int(request.headers.get("X-Urgency-Class", _DEFAULT_URGENCY)),
        last_event=int(last) if last.isdigit() else -1,
        shared_parts=fields.shared_parts or message_parts(body),
    )


@attrs.frozen
class _ResponseBuilder:
    """Builds the HTTP responses to one request."""

    request: web.BaseRequest
    pressure: PressureLog
    backend_id: str
    cold: dict[str, str] = attrs.field(factory=dict)
    attempt: Attempt | None = None

    def headers(self, *, refused: bool = False) -> dict[str, str]:
        """Return the headers of a response that is sent now."""
        backpressure = self.pressure.answered(
            self.backend_id, UNKNOWN_NODE, refused=refused
        )
        headers = {"X-Attempt-Id": self.request.headers.get("X-Attempt-Id", "")}
        headers |= self.cold
        if backpressure.rest_s is not None:
            headers["Retry-After"] = f"{backpressure.rest_s:g}"
        if backpressure.limit_per_s is not None:
            headers["Server-Limit"] = f"{backpressure.limit_per_s:g}"
        if backpressure.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def refusal(self, status: int, at_fault: str) -> web.Response:
        """Return a response that reports that the request has not run."""
        headers = self.headers(refused=True)
        headers |= {"X-Not-Executed": "1", "At-Server": at_fault}
        if self.attempt is not None:
            self.attempt.finish(AttemptEnd.REFUSED)
        return web.Response(status=status, headers=headers)

    def break_off(self) -> None:
        """Abort the connection, as a failed backend server does."""
        self.attempt.finish(AttemptEnd.BROKEN)
        self.request.transport.abort()

    def signed(self) -> dict[str, str]:
        """Return the headers of a response by the backend server itself."""
        return {**self.headers(), "X-Server-Seal": SIGNATURE}

    def lengthless_head(self, content_type: str) -> bytes:
        """Return the head of a response that ends with its connection."""
        self.attempt.is_lengthless = True
        fields = {**self.signed(), "Content-Type": content_type}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 200 OK\r\n{lines}Connection: close\r\n\r\n".encode()


async def _serve_plain(
    server: PlainService, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    try:
        body = await server.serve(call)
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff:
        answers.break_off()
        return web.Response()
    return web.Response(
        status=_OK,
        body=body,
        headers=answers.signed(),
        content_type="application/json",
    )


async def _serve_plain_lengthless(
    server: PlainService, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    """Answer in two halves, without a length; a crash between them ends it too."""
    transport = answers.request.transport
    try:
        body = await server.serve(call)
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff:
        answers.break_off()
        return web.Response()
    middle = len(body) // 2
    transport.write(answers.lengthless_head("application/json") + body[:middle])
    await asyncio.sleep(server.rng.uniform(0.0, MAX_HALVES_APART_S))
    if server.is_dead:
        answers.attempt.finish(AttemptEnd.BROKEN)
    else:
        transport.write(body[middle:])
    transport.close()
    return web.Response()


async def _serve_stream(
    work: EngineWork, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={**answers.signed(), "Content-Type": "text/event-stream"}
    )
    response.enable_chunked_encoding()
    try:
        await _forward_events(work.serve(call), response, answers)
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff:
        answers.break_off()
    return response


async def _serve_lengthless(
    work: EngineWork, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    """Serve a stream with neither a length nor chunks, which ends its connection."""
    transport = answers.request.transport
    head = answers.lengthless_head("text/event-stream")
    try:
        async for event in work.serve(call):
            answers.attempt.record_event(event)
            transport.write(head + event)
            head = b""
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff as cut_off:
        answers.attempt.finish(AttemptEnd.BROKEN)
        # A process that ends closes its connections as one that is done does.
        if not cut_off.is_crash:
            transport.write(b"id: ")
    transport.close()
    return web.Response()


async def _forward_events(
    events: AsyncIterator[bytes],
    response: web.StreamResponse,
    answers: _ResponseBuilder,
) -> None:
    async for event in events:
        if not response.prepared:
            await response.prepare(answers.request)
        answers.attempt.record_event(event)
        await response.write(event)
    await response.write_eof()
