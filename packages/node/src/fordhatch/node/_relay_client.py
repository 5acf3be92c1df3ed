"""Makes attempts at backend servers through nodes that reach them."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import InvalidAnswer, record_invalid_answer
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, Ran, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.protocol import Channel, PeerPool
from fordhatch.protocol.messages import RelayedFailure, RelayedHead, RelayRequest
from fordhatch.registry import NodeAddress
from fordhatch.serving import (
    BackendAnswer,
    OutboundRequest,
    SendFailure,
    SendOptions,
    SendProblem,
)

from ._relay_peers import QUERY_TIMEOUT_S, RelayPeers
from ._relayed_answer import RelayedAnswer, from_wire

MAX_PEERS = 3
"""Nodes through which one attempt is tried, one after the other, while it is certain
that no backend server has got it."""

OPEN_TIMEOUT_S = 0.25
"""Longest wait until a request has been handed to the connection to another node."""

HEAD_MARGIN_S = 0.1
"""How much longer than the other node this one waits for the head of an answer."""


@attrs.define(eq=False, repr=False)
class ExchangeRelayClient:
    """Sends attempts to other nodes and returns the answers."""

    peers: RelayPeers
    pool: PeerPool
    timer: Timer
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    async def send(
        self, request: OutboundRequest, backend: BackendServer, options: SendOptions
    ) -> Result[BackendAnswer, SendFailure] | None:
        """Make an attempt through another node; None if none is in touch."""
        ends_s = self.timer.now_s() + options.head_timeout_s
        tried: set[str] = set()
        got: Result[BackendAnswer, SendFailure] | None = None
        while len(tried) < MAX_PEERS:
            wait_s = min(QUERY_TIMEOUT_S, ends_s - self.timer.now_s())
            node = await self.peers.choose(backend.service, tried, wait_s)
            left_s = ends_s - self.timer.now_s()
            if node is None or left_s <= 0.0:
                break
            tried.add(node.name)
            options = attrs.evolve(options, head_timeout_s=left_s)
            got = await self._send_through(node, request, backend, options)
            failure = got.err()
            self._log(request, backend, node, failure)
            if failure is None or not failure.is_unreachable:
                break
        return got

    def _log(
        self,
        request: OutboundRequest,
        backend: BackendServer,
        node: NodeAddress,
        failure: SendFailure | None,
    ) -> None:
        outcome = "sent" if failure is None else failure.problem.value
        metrics.RELAYED_REQUESTS.labels("sender", outcome).inc()
        log_event(
            "request_relayed",
            request=request.fields.request_id,
            through=node.name,
            backend=backend.backend_id,
            outcome=outcome,
        )

    async def _send_through(
        self,
        node: NodeAddress,
        request: OutboundRequest,
        backend: BackendServer,
        options: SendOptions,
    ) -> Result[BackendAnswer, SendFailure]:
        stopped = request.recheck(backend)
        if stopped is not None:
            return Err(SendFailure(SendProblem.NOT_SENT, stopped.code.name))
        message = self._message(request, backend, options)
        self.peers.in_flight[node.name] += 1
        channel: Channel | None = None
        answer: RelayedAnswer | None = None
        try:
            ends_s = self.timer.now_s() + options.head_timeout_s
            wait_s = min(OPEN_TIMEOUT_S, options.head_timeout_s)
            opened = await self.pool.open(node.address, message, wait_s)
            if opened.is_err():
                self.peers.record_silence(backend.service, node.name)
                return self._unopened(request, backend, opened.unwrap_err())
            channel = opened.unwrap()
            received = await channel.receive(max(ends_s - self.timer.now_s(), 0.0))
            self._note(node, backend, received)
            if isinstance(received.ok(), RelayedHead):
                request.record_arrival(backend.backend_id, may_have_run=True)
                answer = RelayedAnswer.from_head(
                    received.unwrap(),
                    request.fields.request_id,
                    backend,
                    channel,
                    self._ending(node, channel),
                )
                return Ok(answer)
            return Err(_failure(request, backend, received))
        except InvalidAnswer as error:
            record_invalid_answer(error, node.name)
            return Err(SendFailure(SendProblem.BROKEN, str(error)))
        finally:
            if answer is None:
                self._end(node, channel)

    def _message(
        self, request: OutboundRequest, backend: BackendServer, options: SendOptions
    ) -> RelayRequest:
        return RelayRequest(
            backend.backend_id,
            request.method,
            request.target,
            list(request.headers),
            request.body,
            request.workspace_name,
            request.left_s(self.timer.now_s()),
            max(options.head_timeout_s - HEAD_MARGIN_S, options.head_timeout_s / 2.0),
            options.urgency,
            options.last_event_id,
        )

    def _note(
        self,
        node: NodeAddress,
        backend: BackendServer,
        received: Result[object, Failure],
    ) -> None:
        """Note what the reply of another node, or its silence, says of the node."""
        message = received.ok()
        is_reply = isinstance(message, RelayedHead | RelayedFailure)
        if not is_reply or getattr(message, "is_unreachable", False):
            self.peers.deny(backend.service, node.name)
        else:
            self.peers.confirm(backend.service, node.name)

    def _unopened(
        self, request: OutboundRequest, backend: BackendServer, failure: Failure
    ) -> Result[BackendAnswer, SendFailure]:
        if failure.ran is Ran.NO:
            return Err(
                SendFailure(
                    SendProblem.NOT_SENT, failure.code.name, is_unreachable=True
                )
            )
        request.record_arrival(backend.backend_id, may_have_run=True)
        return Err(SendFailure(SendProblem.SILENT, failure.code.name))

    def _ending(self, node: NodeAddress, channel: Channel) -> Callable[[], None]:
        """Return a function that ends a request once."""
        is_ended = False

        def end() -> None:
            nonlocal is_ended
            if not is_ended:
                is_ended = True
                self._end(node, channel)

        return end

    def _end(self, node: NodeAddress, channel: Channel | None) -> None:
        self.peers.in_flight[node.name] -= 1
        if channel is not None:
            self._tasks.spawn(channel.close(), "end-relay")

    async def close(self) -> None:
        """Cancel pending requests to other nodes."""
        await self._tasks.close()


def _failure(
    request: OutboundRequest,
    backend: BackendServer,
    received: Result[object, Failure],
) -> SendFailure:
    """Return why no head came, and record whether the request may have run."""
    message = received.ok()
    if isinstance(message, RelayedFailure):
        for _ in range(message.arrivals):
            request.record_arrival(
                backend.backend_id, may_have_run=message.may_have_run
            )
        return SendFailure(
            SendProblem(message.problem),
            message.detail,
            from_wire(message.backpressure),
            is_unreachable=message.is_unreachable,
        )
    failure = received.err()
    # A reply of any other kind doesn't prove that the other node has sent nothing.
    code = failure.code if failure is not None else ResultCode.FRAME_INVALID
    if code is ResultCode.PEER_REFUSED:
        return SendFailure(SendProblem.NOT_SENT, code.name, is_unreachable=True)
    request.record_arrival(backend.backend_id, may_have_run=True)
    is_late = code is ResultCode.DEADLINE_EXCEEDED
    problem = SendProblem.SILENT if is_late else SendProblem.BROKEN
    return SendFailure(problem, code.name)
