"""In-memory client that sends requests to backend servers, instead of over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.catalog import (
    AnswerFields,
    BackendServer,
    Backpressure,
    RefusalKind,
)
from fordhatch.core import Timer
from fordhatch.serving import (
    ProcessWitness,
    SendFailure,
    SendProblem,
    ServedRequest,
)

from ._backend_links import BackendLinks
from ._backends import Backends
from ._calls import BackendCall, CutOff, NotExecuted

LINK_DELAY_S = 0.001
"""One-way latency from a node to a backend server."""

CONNECT_TIMEOUT_S = 0.25
"""Time until a connection to an unreachable backend server fails."""

UNREACHABLE_AFTER_S = 0.15
"""Shortest attempt whose failure to connect shows that a server is unreachable."""

_OK, _UNAVAILABLE, _MISDIRECTED = 200, 503, 421
_DEFAULT_URGENCY = 5


@attrs.define(eq=False, repr=False)
class MemoryAnswer:
    """In-memory counterpart of ``BackendAnswer``."""

    backend: BackendServer
    fields: AnswerFields
    status: int
    _pieces: AsyncIterator[bytes]
    _first: bytes = b""
    witness: ProcessWitness | None = None
    is_end_confirmed: bool = False
    _has_ended: bool = False
    ends_with_connection: bool = False
    """Whether only the end of the connection marks the end of the body."""

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body has been read."""
        return self._has_ended

    async def is_open(self) -> bool:
        """Return whether the connection is open: its end is read at once."""
        return not self._has_ended

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the answer."""
        return [("Content-Type", "text/event-stream")]

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body, or none at the end of a complete one.

        Raises:
            aiohttp.ClientPayloadError: If the connection closes early.
        """
        if self._first:
            first, self._first = self._first, b""
            return first
        try:
            piece = await anext(self._pieces, b"")
            self._has_ended = not piece
            return piece
        except CutOff as error:
            self._has_ended = True
            if self.ends_with_connection and error.is_crash:
                return b""
            raise aiohttp.ClientPayloadError("cut off") from error

    def close(self) -> None:
        """Cancel the rest of the request."""
        if self.witness is not None:
            self.witness.close()
        task = asyncio.ensure_future(self._pieces.aclose())  # type: ignore[attr-defined]
        task.add_done_callback(lambda t: t.cancelled() or t.exception())


@attrs.define(eq=False, repr=False)
class MemoryExchange:
    """``ExchangeClient`` on backend servers in memory."""

    backends: Backends
    timer: Timer
    node_name: str = ""
    links: BackendLinks = attrs.field(factory=BackendLinks)
    """The links of this node to the backend servers."""
    connections: int = 0

    async def send(
        self,
        request: ServedRequest,
        backend: BackendServer,
        *,
        head_timeout_s: float,
        urgency: int | None = None,
        last_event_id: str | None = None,
    ) -> Result[MemoryAnswer, SendFailure]:
        """Send a request and wait for the head of the answer."""
        self.connections += 1
        await asyncio.sleep(LINK_DELAY_S)
        stopped = request.recheck(backend)
        if stopped is not None:
            return Err(SendFailure(SendProblem.NOT_SENT, stopped.code.name))
        self.backends.record_arrival(backend.zone)
        call = self._call(request, backend, urgency, last_event_id)
        is_cut = self.links.is_cut(backend.address)
        pieces = None if is_cut else self._pieces(backend, call)
        if pieces is None:
            if not self._is_refused_at_once(backend.address):
                await asyncio.sleep(min(CONNECT_TIMEOUT_S, head_timeout_s))
            is_unreachable = head_timeout_s >= UNREACHABLE_AFTER_S
            return Err(
                SendFailure(SendProblem.NOT_SENT, "no connection", None, is_unreachable)
            )
        pieces = self.links.carry(pieces, backend.address)
        try:
            async with self.timer.timeout(head_timeout_s):
                first = await anext(pieces)
        except NotExecuted as refusal:
            request.record_arrival(backend.backend_id, may_have_run=False)
            if refusal.status == _MISDIRECTED:
                return Err(SendFailure(SendProblem.OTHER_BACKEND, refusal.at_fault))
            asked = self._backpressure(backend, refused=True)
            return Err(SendFailure(SendProblem.REFUSED, refusal.at_fault, asked))
        except (CutOff, StopAsyncIteration) as error:
            request.record_arrival(backend.backend_id, may_have_run=True)
            return Err(SendFailure(SendProblem.CONNECTION_LOST, repr(error)))
        except TimeoutError:
            request.record_arrival(backend.backend_id, may_have_run=True)
            return Err(SendFailure(SendProblem.SILENT, "no head in time"))
        request.record_arrival(backend.backend_id, may_have_run=True)
        fields = AnswerFields(
            request.fields.request_id,
            RefusalKind.NONE,
            True,
            False,
            backpressure=self._backpressure(backend, refused=False),
        )
        is_lengthless = self.backends.is_lengthless()
        answer = MemoryAnswer(backend, fields, _OK, pieces, first)
        answer.ends_with_connection = is_lengthless
        return Ok(answer)

    def _call(
        self,
        request: ServedRequest,
        backend: BackendServer,
        urgency: int | None,
        last_event_id: str | None,
    ) -> BackendCall:
        fields = request.fields
        return BackendCall(
            request_id=fields.request_id,
            backend_id=backend.registered_id,
            method=request.method,
            target=request.target,
            body=request.body,
            left_s=request.left_s(self.timer.now_s()),
            model=fields.model,
            prompt_tokens=fields.prompt_tokens,
            output_tokens=fields.max_output_tokens,
            urgency=_DEFAULT_URGENCY if urgency is None else urgency,
            last_event=int(last_event_id) if last_event_id is not None else -1,
            shared_parts=fields.shared_parts,
        )

    def _pieces(
        self, backend: BackendServer, call: BackendCall
    ) -> AsyncIterator[bytes] | None:
        plain = self.backends.plain.get(backend.address)
        if plain is not None and not plain.is_dead:
            self.backends.retries.arrived(plain.service, call.request_id)
            if self._is_refused(plain.backend_id):
                return _refusal()
            return _single_piece(plain.serve(call))
        work = self.backends.work_at(backend.address)
        if work is None:
            return None
        self.backends.retries.arrived(work.engine.service, call.request_id)
        if call.backend_id == work.engine.backend_id:
            self.backends.arrived(work.engine, call)
            if self.backends.is_shed():
                return _refusal()
        if self._is_refused(work.engine.backend_id):
            return _refusal()
        return work.serve(call)

    def _is_refused_at_once(self, address: str) -> bool:
        """Return whether a connection that fails does so without a timeout."""
        if self.links.is_cut(address):
            return self.links.refuses(address)
        return self.backends.refuses(address)

    def _is_refused(self, backend_id: str) -> bool:
        return self.backends.pressure.arrived(backend_id, self.node_name)

    def _backpressure(self, backend: BackendServer, *, refused: bool) -> Backpressure:
        said = self.backends.pressure.answered(
            backend.registered_id, self.node_name, refused=refused
        )
        engine = self.backends.fleet.engines.get(backend.registered_id)
        if engine is None:
            return said
        return attrs.evolve(said, cold_left_s=self.backends.cold_left_s(engine))

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""


async def _single_piece(answer: object) -> AsyncIterator[bytes]:
    yield await answer  # type: ignore[misc]


async def _refusal() -> AsyncIterator[bytes]:
    raise NotExecuted(_UNAVAILABLE)
    yield b""
