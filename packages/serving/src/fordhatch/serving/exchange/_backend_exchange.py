"""Attempts at backend servers, directly or through another node."""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs
from result import Err, Result

from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, TaskSet, Timer
from fordhatch.registry import BackendContact, BackendProber

from ._answer_end import AnswerEndCheck
from ._backend_answer import BackendAnswer
from ._exchange import ExchangeClient, OutboundRequest, SendFailure, SendProblem


@attrs.frozen
class SendOptions:
    """What one attempt asks of the backend server and of its time."""

    head_timeout_s: float
    """Longest wait for the head of the answer, in seconds."""
    urgency: int | None = None
    """Rank among the requests that wait there; 0 is first."""
    last_event_id: str | None = None
    """Event after which the stream resumes."""


class ExchangeRelay(Protocol):
    """Makes attempts through nodes that reach the backend servers."""

    async def send(
        self, request: OutboundRequest, backend: BackendServer, options: SendOptions
    ) -> Result[BackendAnswer, SendFailure] | None:
        """Make an attempt; None if no node is known to reach the service."""
        ...


@attrs.define(eq=False, repr=False)
class BackendExchange:
    """Sends requests to backend servers.

    While this node reaches none of a service, another node makes the attempt. All
    decisions stay here: the choice of the backend server, retries and their budget,
    permits and the order of events.
    """

    direct: ExchangeClient
    contact: BackendContact
    prober: BackendProber
    timer: Timer
    ends: AnswerEndCheck
    relay: ExchangeRelay | None = None
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    async def send(
        self,
        request: OutboundRequest,
        backend: BackendServer,
        *,
        head_timeout_s: float,
        urgency: int | None = None,
        last_event_id: str | None = None,
    ) -> Result[BackendAnswer, SendFailure]:
        """Send a request and wait for the answer's head; see ``ExchangeClient``."""
        ends_s = self.timer.now_s() + head_timeout_s
        options = SendOptions(head_timeout_s, urgency, last_event_id)
        is_cut_off = self.contact.is_cut_off(backend.service)
        if is_cut_off:
            relayed = await self._relay(request, backend, options)
            if relayed is not None:
                return relayed
            options = self._until(options, ends_s)
        if options.head_timeout_s <= 0.0:
            return Err(SendFailure(SendProblem.NOT_SENT, "no time left"))
        got = await self.send_directly(request, backend, options)
        failure = got.err()
        if is_cut_off or failure is None or not failure.is_unreachable:
            return got
        if not self.contact.is_cut_off(backend.service):
            return got
        # This attempt has shown that the service is out of reach.
        options = self._until(options, ends_s)
        if options.head_timeout_s <= 0.0:
            return got
        relayed = await self._relay(request, backend, options)
        return relayed if relayed is not None else got

    def _until(self, options: SendOptions, ends_s: float) -> SendOptions:
        """Return the options with what is left of the time of an attempt."""
        return attrs.evolve(options, head_timeout_s=ends_s - self.timer.now_s())

    async def _relay(
        self, request: OutboundRequest, backend: BackendServer, options: SendOptions
    ) -> Result[BackendAnswer, SendFailure] | None:
        if self.relay is None:
            return None
        return await self.relay.send(request, backend, options)

    async def send_directly(
        self, request: OutboundRequest, backend: BackendServer, options: SendOptions
    ) -> Result[BackendAnswer, SendFailure]:
        """Make an attempt on a connection of this node, never through another one."""
        began_s = self.timer.now_s()
        ends_s = began_s + options.head_timeout_s
        got = await self.direct.send(
            request,
            backend,
            head_timeout_s=options.head_timeout_s,
            urgency=options.urgency,
            last_event_id=options.last_event_id,
        )
        failure = got.err()
        if failure is None:
            self.ends.watch(got.unwrap())
            self.contact.record_reached(backend)
            return got
        recording = self._tasks.spawn(
            self._record(backend, failure, began_s), "record-failure"
        )
        # It takes some probes, which may outlast the request.
        left_s = max(ends_s - self.timer.now_s(), 0.0)
        await asyncio.wait([recording], timeout=left_s)
        return got

    async def close(self) -> None:
        """Cancel probes in progress."""
        await self._tasks.close()

    async def _record(
        self, backend: BackendServer, failure: SendFailure, began_s: float
    ) -> None:
        is_lost = failure.problem is SendProblem.CONNECTION_LOST
        if failure.is_unreachable or is_lost:
            code = ResultCode.BACKEND_LOST
            await self.prober.record_failure(backend, code, began_s)
        elif failure.problem.is_answer:
            self.contact.record_reached(backend)

    async def confirms_end(self, answer: BackendAnswer, left_s: float) -> bool:
        """Return whether an answer that has ended without an error is complete.

        One with neither a length nor chunks ends in the same way if its backend server
        crashes, or if the link breaks; see ``AnswerEndCheck``. Where another node made
        the attempt, that one has checked it.

        Args:
            answer: The answer, after its end.
            left_s: Time until the final answer is due, in seconds.
        """
        if not answer.ends_with_connection or answer.is_end_confirmed:
            return True
        return await self.ends.is_whole(answer, left_s)
