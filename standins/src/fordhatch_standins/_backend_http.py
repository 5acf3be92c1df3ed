"""HTTP interface of the backend servers: orders, reports and requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from fordhatch.adapter import GroupOrder, OrderKind, caller_fields

from ._backends import Backends
from ._calls import BackendCall, CutOff, NotExecuted
from ._crashing_parts import CrashingParts, message_parts
from ._engine_fleet import EngineFleet
from ._engine_model import EngineModel
from ._engine_work import EngineWork
from ._plain_service import PlainService
from ._pressure_log import PressureLog
from ._scripted_backend import SIGNATURE

ORDER_PATH = "/v1/order"

HEARTBEAT_S = 1.2
"""Time within which all engines register again once the store is available."""

REPORT_PATH = "/v1/report"
HEALTH_PATH = "/health"

UNKNOWN_NODE = "any"
"""Name of the node for all requests, which do not identify their sender."""

_OK, _BAD_REQUEST, _MISDIRECTED, _UNAVAILABLE = 200, 400, 421, 503
_DEFAULT_URGENCY = 5


@attrs.define(eq=False, repr=False)
class BackendListeners:
    """Listens on one port for each backend server, all in this process."""

    backends: Backends
    host: str
    _listeners: dict[str, asyncio.Server] = attrs.field(factory=dict)
    _connections: dict[str, set[asyncio.BaseTransport]] = attrs.field(factory=dict)
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
        open_transports: set[asyncio.BaseTransport] = set()
        self._connections[address] = open_transports

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            transport = request.transport
            open_transports.add(transport)
            try:
                return await self._respond(address, request)
            finally:
                open_transports.discard(transport)

        server = web.Server(handle, handler_cancellation=True, access_log=None)
        loop = asyncio.get_running_loop()
        self._listeners[address] = await loop.create_server(server, self.host, port)
        return address

    def cut_off(self, address: str) -> None:
        """Close the port and abort every connection, as a crash does."""
        self._listeners.pop(address).close()
        for transport in list(self._connections[address]):
            transport.abort()

    async def _respond(
        self, address: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        plain = self.backends.plain.get(address)
        work = self.backends.work_at(address)
        if plain is None and work is None:
            request.transport.abort()
            return web.Response()
        expected_id = request.headers.get("X-Expect-Instance", "")
        own_id = plain.backend_id if plain is not None else work.engine.backend_id
        if expected_id and expected_id != own_id:
            answers = _ResponseBuilder(request, self.backends.pressure, own_id)
            return answers.refusal(_MISDIRECTED, own_id)
        cold = {} if work is None else _cold_headers(self.backends, work)
        if request.path == REPORT_PATH:
            return web.json_response({"busy": False, "seq": 1}, headers=cold)
        if request.path == HEALTH_PATH:
            return web.Response(headers={"X-Runner-Id": own_id, **cold})
        if request.path == ORDER_PATH:
            return self._order(work, await request.json())
        call = _build_call(request, own_id, await request.read())
        answers = _ResponseBuilder(request, self.backends.pressure, own_id, cold)
        if work is not None:
            self.backends.arrived(work.engine, call)
        if self.backends.pressure.arrived(own_id, UNKNOWN_NODE):
            return answers.refusal(_UNAVAILABLE, "")
        if plain is not None:
            return await _serve_plain(plain, call, answers)
        if self.backends.is_lengthless():
            return await _serve_lengthless(work, call, answers)
        return await _serve_stream(work, call, answers)

    def _order(self, work: EngineWork | None, body: dict[str, Any]) -> web.Response:
        try:
            order = _decode_order(body)
        except (KeyError, ValueError):
            return web.Response(status=_BAD_REQUEST)
        if work is None:
            return web.Response(status=_BAD_REQUEST)
        status = self.backends.fleet.order(work.engine, order)
        return web.Response(status=status or _UNAVAILABLE)


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
        return web.Response(status=status, headers=headers)

    def signed(self) -> dict[str, str]:
        """Return the headers of a response by the backend server itself."""
        return {**self.headers(), "X-Server-Seal": SIGNATURE}


async def _serve_plain(
    server: PlainService, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    try:
        body = await server.serve(call)
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff:
        answers.request.transport.abort()
        return web.Response()
    return web.Response(
        status=_OK,
        body=body,
        headers=answers.signed(),
        content_type="application/json",
    )


async def _serve_stream(
    work: EngineWork, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={**answers.signed(), "Content-Type": "text/event-stream"}
    )
    response.enable_chunked_encoding()
    try:
        await _forward_events(work.serve(call), response, answers.request)
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff:
        answers.request.transport.abort()
    return response


async def _serve_lengthless(
    work: EngineWork, call: BackendCall, answers: _ResponseBuilder
) -> web.StreamResponse:
    """Serve a stream with neither a length nor chunks, which ends its connection."""
    transport = answers.request.transport
    fields = {**answers.signed(), "Content-Type": "text/event-stream"}
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    head = f"HTTP/1.1 200 OK\r\n{''.join(lines)}Connection: close\r\n\r\n".encode()
    try:
        async for event in work.serve(call):
            transport.write(head + event)
            head = b""
    except NotExecuted as refusal:
        return answers.refusal(refusal.status, refusal.at_fault)
    except CutOff as cut_off:
        # A process that ends closes its connections as one that is done does.
        if not cut_off.is_crash:
            transport.write(b"id: ")
    transport.close()
    return web.Response()


async def _forward_events(
    events: AsyncIterator[bytes],
    response: web.StreamResponse,
    request: web.BaseRequest,
) -> None:
    async for event in events:
        if not response.prepared:
            await response.prepare(request)
        await response.write(event)
    await response.write_eof()


def control_handler(backends: Backends, listeners: BackendListeners) -> Any:
    """Return a handler that lets a test inject faults and read the run counts.

    ``GET /counts``; ``POST /act`` with ``do`` (``kill``, ``drain``, ``add``,
    ``slow``, ``cool``, ``crash_under``, ``lengthless``, ``limit``, ``rest``,
    ``fail_store``, ``heal_store``) and its fields.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/counts":
            return web.json_response(_counts(backends))
        if request.path == "/act":
            await _act(backends, listeners, await request.json())
            return web.json_response({"done": True})
        return web.Response(status=404)

    return handle


def _counts(backends: Backends) -> dict[str, Any]:
    engines = backends.fleet.engines.values()
    return {
        "runs": {**backends.fleet.runs, **backends.plain_runs},
        "contents": dict(backends.plain_contents),
        "crash_times_s": backends.crash_times_s,
        "crashing_parts": _crashing_parts(backends.crashing_parts),
        "violations": [
            *backends.fleet.violations,
            *backends.pressure.breaches,
            *backends.cold.breaches,
        ],
        "engines": [e.backend_id for e in engines if not e.is_dead],
        "groups": {e.place.group: list(e.place.members) for e in engines if e.serves},
    }


def _crashing_parts(parts: CrashingParts) -> dict[str, dict[str, int]]:
    return {
        part: {"crashes": len(crashes_s), "late": parts.late_arrivals(part)}
        for part, crashes_s in parts.crashes_s.items()
    }


def _act_on_all(action: str, fleet: EngineFleet) -> None:
    match action:
        case "lapse_all":
            fleet.lapse_all()
        case "come_back":
            fleet.come_back(within_s=HEARTBEAT_S)
        case _:
            fleet.check_fencing()


def _act_on_store(backends: Backends, body: dict[str, Any]) -> None:
    faults = backends.store.faults
    is_failing = body["do"] == "fail_store"
    if body.get("older") and backends.copies:
        lost = backends.store.restore(backends.copies[0])
        backends.store.write_again(lost, HEARTBEAT_S, backends.rng)
    faults.is_down = is_failing and body.get("how") != "silent"
    faults.is_silent = is_failing and body.get("how") == "silent"


def _act_on_engines(
    backends: Backends, engine: EngineModel | None, body: dict[str, Any]
) -> None:
    match body["do"]:
        case "cool":
            backends.fleet.make_cold(engine, float(body["for_s"]))
        case "slow":
            engine.slow_factor = float(body["factor"])
        case "lengthless":
            backends.lengthless_share = float(body["share"])
        case _:
            backends.crashing_parts.names = set(body["parts"])


def _act_on_pressure(pressure: PressureLog, body: dict[str, Any]) -> None:
    match body["do"]:
        case "limit":
            pressure.limit(body["backend"], body["per_s"])
        case "rest":
            pressure.rest(body["backend"], body["for_s"], body["share"])
        case _:
            pressure.excuse()


async def _act(
    backends: Backends, listeners: BackendListeners, body: dict[str, Any]
) -> None:
    engine = backends.fleet.engines.get(body.get("backend", ""))
    match body["do"]:
        case "kill":
            backends.fleet.kill(engine)
            listeners.cut_off(engine.address)
        case "drain":
            backends.pressure.leave(engine.backend_id)
            backends.fleet.drain(engine)
        case "limit" | "rest" | "excuse":
            _act_on_pressure(backends.pressure, body)
        case "cool" | "slow" | "crash_under" | "lengthless":
            _act_on_engines(backends, engine, body)
        case "add":
            address = await listeners.listen(int(body["port"]))
            backends.add_engine(body["domain"], body["zone"], address)
        case "fail_store" | "heal_store":
            _act_on_store(backends, body)
        case "lapse_all" | "come_back" | "check_fencing":
            _act_on_all(body["do"], backends.fleet)
        case "lose_answers":
            backends.store.faults.lost_answers = int(body["count"])
        case "late_orders":
            backends.fleet.faults.late_share = float(body["share"])
        case "lose_calls":
            for plain in backends.plain.values():
                plain.lost_share = float(body["share"])
