"""Makes attempts at backend servers for nodes that do not reach them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import aiohttp
import attrs
from multidict import CIMultiDict

from fordhatch.adapter import caller_fields
from fordhatch.catalog import BackendServer, CallFields
from fordhatch.core import Failure, ResultCode, Timer, log_event, metrics, record_bound
from fordhatch.protocol import Channel
from fordhatch.protocol.messages import (
    ContactReply,
    QueryContact,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    RelayedPiece,
    RelayRequest,
)
from fordhatch.serving import (
    UNCONFIRMED_END,
    BackendAnswer,
    RequestPath,
    SendFailure,
    SendOptions,
    SendProblem,
    connection_problem,
    is_evacuated,
)

from ._relay_peers import RelayPeers
from ._relayed_answer import PIECE_BYTES, WINDOW_PIECES, to_wire

MAX_RELAYED = 256
"""Attempts that a node makes for others at once, a sixteenth of the descriptors that it
may open. Further ones are refused, and their nodes try another one."""


LAST_MESSAGE_S = 0.1
"""Longest wait until the other node has been told that an answer is late."""


@attrs.define(eq=False, repr=False)
class RelayedRequest:
    """A request of another node's caller; counterpart of ``ServedRequest``."""

    fields: CallFields
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    workspace_name: str | None
    due_s: float
    path: RequestPath
    arrivals: int = 0
    may_have_run: bool = False
    outcome: str = "peer_gone"
    """How the attempt ended, for the log; the default if the other node ended it."""
    sent_bytes: int = 0
    """Bytes of the answer's body that were passed on."""

    @classmethod
    def from_message(
        cls, message: RelayRequest, path: RequestPath, now_s: float
    ) -> RelayedRequest:
        """Return the request that a node asks this one to send."""
        headers = [(name, value) for name, value in message.headers]
        return cls(
            caller_fields(CIMultiDict(headers)),
            message.method,
            message.target,
            headers,
            message.body,
            message.workspace,
            now_s + message.left_s,
            path,
        )

    def recheck(self, backend: BackendServer) -> Failure | None:
        """Return why the request may no longer be sent to a backend server."""
        directory = self.path.state.view.directory
        if is_evacuated(directory, backend):
            return Failure.from_code(ResultCode.ZONE_EVACUATED)
        return self.path.state.refusal()

    def left_s(self, now_s: float) -> float:
        """Return the time until the final answer is due, in seconds."""
        return self.due_s - now_s

    def record_arrival(self, backend_id: str, *, may_have_run: bool) -> None:
        """Record that the backend server received the request."""
        self.arrivals += 1
        self.may_have_run |= may_have_run


@attrs.define(eq=False, repr=False)
class ExchangeRelayServer:
    """Answers the messages of nodes that do not reach the backend servers.

    It uses this node's own connections only, so that no request passes through more
    than one other node.
    """

    path: RequestPath
    peers: RelayPeers
    timer: Timer
    _relayed: int = 0

    async def answer_query(self, message: QueryContact, channel: Channel) -> None:
        """Tell a node whether this one reaches a service and takes requests for it."""
        self.peers.record_asker(channel.peer_name)
        service = message.service
        is_in_touch = self._takes_requests() and self._reaches(service)
        hints = [n for n in self.peers.hints(service) if n != channel.peer_name]
        await channel.send(ContactReply(is_in_touch, hints))

    def _takes_requests(self) -> bool:
        state = self.path.state
        is_usable = not state.is_leaving and state.refusal() is None
        return is_usable and self._relayed < MAX_RELAYED

    def _reaches(self, service: str) -> bool:
        is_listed = bool(self.path.state.view.directory.of_service(service))
        return is_listed and not self.path.contact.is_cut_off(service)

    async def relay(self, message: RelayRequest, channel: Channel) -> None:
        """Make one attempt and pass the answer on."""
        self.peers.record_asker(channel.peer_name)
        backend = self.path.state.view.directory.backends.get(message.backend_id)
        memory = self.path.state.memory
        has_room = self.path.state.memory_refusal(len(message.body)) is None
        if backend is None or not self._takes_requests() or not has_room:
            reason = "unknown" if backend is None else "takes none"
            await self._refuse(channel, reason, is_unreachable=backend is not None)
            return
        request = RelayedRequest.from_message(message, self.path, self.timer.now_s())
        holding = memory.hold("relayed requests")
        holding.add(len(message.body))
        self._relayed += 1
        try:
            with self._logged(request, backend, channel):
                await self._attempt(request, backend, message, channel)
        finally:
            self._relayed -= 1
            holding.end()

    @contextlib.contextmanager
    def _logged(
        self, request: RelayedRequest, backend: BackendServer, channel: Channel
    ) -> Iterator[None]:
        """Count an attempt while it is in progress, and log its end."""
        began_s, error = self.timer.now_s(), ""
        requests = self.path.state.requests
        try:
            with requests.relaying():
                yield
        except asyncio.CancelledError:
            if requests.is_stopping:
                request.outcome = "stopped"
            raise
        except Exception as raised:
            request.outcome, error = "internal", repr(raised)
            raise
        finally:
            log_event(
                "relayed_request_done",
                request=request.fields.request_id,
                peer=channel.peer_name,
                backend=backend.backend_id,
                outcome=request.outcome,
                sent_bytes=request.sent_bytes,
                took_s=round(self.timer.now_s() - began_s, 3),
                **({"error": error} if error else {}),
            )

    async def _refuse(
        self, channel: Channel, reason: str, *, is_unreachable: bool
    ) -> None:
        metrics.RELAYED_REQUESTS.labels("relay", "refused").inc()
        await channel.send(
            RelayedFailure(
                SendProblem.NOT_SENT.value,
                f"{channel.peer_name}: {reason}",
                arrivals=0,
                may_have_run=False,
                is_unreachable=is_unreachable,
            )
        )

    async def _attempt(
        self,
        request: RelayedRequest,
        backend: BackendServer,
        message: RelayRequest,
        channel: Channel,
    ) -> None:
        options = SendOptions(
            message.head_timeout_s, message.urgency, message.last_event_id
        )
        sent = await self.path.exchange.send_directly(request, backend, options)
        failure = sent.err()
        self._log(request, backend, channel, failure)
        if failure is not None:
            request.outcome = failure.problem.value
            await channel.send(_to_message(request, failure))
            return
        answer = sent.unwrap()
        left_s = max(request.left_s(self.timer.now_s()), 0.0)
        try:
            # The other node may be stopped, and acknowledge nothing.
            async with self.timer.timeout(left_s):
                await self._pass_on(request, answer, channel)
        except TimeoutError:
            request.outcome = SendProblem.SILENT.value
            record_bound("relayed_answer", request=request.fields.request_id)
            await self._say_late(channel)
        finally:
            answer.close()

    async def _say_late(self, channel: Channel) -> None:
        """Tell the other node that an answer is late, unless it reads nothing."""
        with contextlib.suppress(TimeoutError):
            async with self.timer.timeout(LAST_MESSAGE_S):
                late = _broken(SendProblem.SILENT, "not complete in time")
                await channel.send(late)

    def _log(
        self,
        request: RelayedRequest,
        backend: BackendServer,
        channel: Channel,
        failure: SendFailure | None,
    ) -> None:
        outcome = "sent" if failure is None else failure.problem.value
        metrics.RELAYED_REQUESTS.labels("relay", outcome).inc()
        log_event(
            "request_sent_for_node",
            request=request.fields.request_id,
            peer=channel.peer_name,
            backend=backend.backend_id,
            outcome=outcome,
        )

    async def _pass_on(
        self, request: RelayedRequest, answer: BackendAnswer, channel: Channel
    ) -> None:
        """Send the head and the body of an answer, as fast as they are consumed."""
        wire = to_wire(answer.fields.backpressure)
        await channel.send(RelayedHead(answer.status, answer.headers, wire))
        try:
            if not await _copy_body(request, answer, channel):
                return
            left_s = request.left_s(self.timer.now_s())
            if not await self.path.exchange.confirms_end(answer, left_s):
                raise aiohttp.ClientPayloadError(UNCONFIRMED_END)
            await channel.send(RelayedEnd())
            request.outcome = "complete"
        except (aiohttp.ClientError, OSError) as error:
            problem = connection_problem(error)
            request.outcome = problem.value
            await channel.send(_broken(problem, repr(error)))


async def _copy_body(
    request: RelayedRequest, answer: BackendAnswer, channel: Channel
) -> bool:
    """Send the body of an answer; return whether all of it was sent.

    Raises:
        aiohttp.ClientError, OSError: If the body is incomplete.
    """
    on_their_way = 0
    while received := await answer.read_piece():
        for begin in range(0, len(received), PIECE_BYTES):
            piece = received[begin : begin + PIECE_BYTES]
            if (await channel.send(RelayedPiece(piece))).is_err():
                return False
            request.sent_bytes += len(piece)
            on_their_way += 1
            while on_their_way >= WINDOW_PIECES:
                ack = await channel.receive()
                if ack.is_err():
                    return False
                on_their_way -= ack.unwrap().pieces
    return True


def _broken(problem: SendProblem, detail: str) -> RelayedFailure:
    return RelayedFailure(
        problem.value, detail, arrivals=0, may_have_run=True, is_unreachable=False
    )


def _to_message(request: RelayedRequest, failure: SendFailure) -> RelayedFailure:
    return RelayedFailure(
        failure.problem.value,
        failure.detail,
        request.arrivals,
        request.may_have_run,
        failure.is_unreachable,
        to_wire(failure.backpressure),
    )
