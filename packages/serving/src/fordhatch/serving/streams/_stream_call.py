"""Calls to model engines: streams that resume at another group when one is lost.

A group is a set of backend servers that serve one model together; its head takes
the requests.
"""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.catalog import BackendServer, EngineProfile
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event
from fordhatch.registry import BackendDirectory

from .._admission import Admission
from .._admission_control import AdmissionControl
from .._evacuated_zones import evacuated_stream_failure
from .._request import Reply, ServedRequest
from .._stop_plan import OTHER_NODE_RETRY_AFTER_S
from ..crashes import CrashWatch
from ..exchange import SendFailure
from ..groups import MAX_WAIT_FRACTION, GroupWait, HeadChoice, group_wait
from ..hedging import AttemptEnd
from ..limits import Permits
from ..load import DemandMeter
from ..retries import RetryBudget
from ._events import EventOrder
from ._stream import Stream
from ._stream_run import StreamRuns

MAX_SENDS = 6
"""Maximum attempts per request, including refusals and failed connections."""

MAX_RESUME_WAIT_S = 1.8
"""How long a stream that has begun may wait for another group: callers give up after
a gap of two seconds."""

ASK_AGAIN_AFTER_S = 0.7
"""Time without another group after which a stream that has begun may go on at one where
a run of it has ended. By then a lost member of that group has been found."""


@attrs.define(eq=False, repr=False)
class StreamCalls:
    """Serves requests of model engines."""

    timer: Timer
    directory: BackendDirectory
    choice: HeadChoice
    budget: RetryBudget
    admission: Admission
    runs: StreamRuns
    permits: Permits
    crashes: CrashWatch
    demand: DemandMeter
    control: AdmissionControl
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    def create(cls, directory: BackendDirectory, **parts: object) -> StreamCalls:
        """Create an instance and subscribe it to changes of the directory."""
        calls = cls(directory=directory, **parts)  # type: ignore[arg-type]
        calls.runs.silence.begin_attempt = calls._attempt
        directory.subscribe(calls._wake)
        return calls

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, request: ServedRequest, reply: Reply, profile: EngineProfile
    ) -> None:
        """Serve one request; the reply is final when this returns."""
        order = EventOrder.from_last_event_id(request.fields.last_event_id)
        stream = Stream(request, reply, order, profile)
        fields, route = request.fields, request.route.name
        key = request.service, stream.model
        self.demand.record_request(key, route, profile, fields.prompt_tokens)
        try:
            refusal = await self.control.admit(request, profile)
            if refusal is not None:
                await reply.refuse(refusal)
                return
            await self._run(stream)
        finally:
            self.control.forget(request)

    async def _run(self, stream: Stream) -> None:
        """Run a stream at one group after another until it is complete."""
        try:
            while True:
                first = await self._attempt(stream)
                if first is None:
                    break
                ended = await stream.hedging.outcome(first)
                if ended.is_ok() or stream.reply.is_over:
                    return
                stream.forget_refusals()
        finally:
            await stream.hedging.end()
        await self._give_up(stream)

    async def _attempt(self, stream: Stream) -> AttemptEnd:
        """Run a stream at the next group; None if there is none for it."""
        request = stream.request
        if stream.sends >= MAX_SENDS or stream.may_not_retry:
            return None
        head = await self._next_head(stream)
        if head is None:
            return None
        stream.record_send(head.backend_id)
        with request.attempt(head, self.admission.recheck_for_backend) as attempt:
            done = await self.runs.run(stream, attempt)
        if done.is_ok():
            request.was_answered = True
            request.has_output = stream.events > 0
            self.demand.record_answer(request.route.name, stream.profile, stream.events)
            return done
        stream.last_problem = done.unwrap_err()
        if stream.last_problem.problem.may_have_run:
            stream.broken.append(head.backend_id)
        elif stream.hedging.has_runs:
            stream.refused_beside.append(head.backend_id)
        if not await self.crashes.may_retry(request, head):
            stream.may_not_retry = True
        return done

    # Choice of the next group.

    async def _next_head(self, stream: Stream) -> BackendServer | None:
        request = stream.request
        if not stream.may_run(self.timer.now_s()):
            return None
        began_s = self.timer.now_s()
        while self.admission.recheck(request) is None:
            head = self.control.choose(request, stream.tried, stream.need)
            if head is None:
                if not await self._wait_for_head(stream, began_s):
                    return None
                continue
            left_s = request.left_s(self.timer.now_s())
            if await self.permits.acquire(head, left_s):
                return head if await self._may_retry(request) else None
            if request.left_s(self.timer.now_s()) <= 0:
                return None
        return None

    async def _may_retry(self, request: ServedRequest) -> bool:
        """Return whether the retry budget allows an attempt; the first one is free."""
        return request.is_first_arrival or await self.budget.acquire(request)

    async def _wait_for_head(self, stream: Stream, began_s: float) -> bool:
        """Wait until a group opens or a blocked head is free again.

        Returns:
            Whether the choice of a head should be repeated.
        """
        request, now_s = stream.request, self.timer.now_s()
        hold = self.choice.first_block(request.service, stream.model, stream.tried)
        if hold is not None:
            wait_left_s = began_s + self._max_wait_s(stream, began_s) - now_s
            waits = hold.free_s <= wait_left_s
            if not (stream.is_hold_logged and waits):
                stream.is_hold_logged = True
                self.permits.log_block(request.fields.request_id, hold, waits=waits)
            if waits:
                await self._wait_for_change(hold.free_s)
                return True
        hold_s = MAX_RESUME_WAIT_S
        if not stream.reply.has_begun:
            hold_s = self._group_wait(stream).hold_s
        left_s = min(began_s + hold_s, request.due_s) - now_s
        if left_s <= 0:
            return False
        if not self._may_ask_again(stream):
            return await self._wait_for_change(left_s)
        again_s = began_s + ASK_AGAIN_AFTER_S - now_s
        if again_s > 0 and await self._wait_for_change(min(again_s, left_s)):
            return True
        # The time is over; a rest of rounding isn't waited for again.
        stream.ask_again()
        return True

    def _may_ask_again(self, stream: Stream) -> bool:
        """Return whether a stream that was broken off may go on at the same head."""
        is_cut = stream.reply.has_begun and not stream.hedging.has_runs
        return is_cut and bool(stream.broken)

    def _max_wait_s(self, stream: Stream, began_s: float) -> float:
        """Return how long a stream may wait for a blocked head, in seconds."""
        left_s = stream.request.left_s(began_s)
        if stream.reply.has_begun:
            return min(MAX_RESUME_WAIT_S, left_s)
        return MAX_WAIT_FRACTION * left_s

    def _group_wait(self, stream: Stream) -> GroupWait:
        backends = self.directory.in_use(stream.request.service)
        return group_wait(backends, stream.profile, stream.model)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        try:
            async with self.timer.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    # Final failure.

    async def _give_up(self, stream: Stream) -> None:
        request = stream.request
        problem = stream.last_problem
        log_event(
            "stream_given_up",
            request=request.fields.request_id,
            model=stream.model,
            events=stream.events,
            arrivals=request.arrivals,
            ran=len(request.ran_at),
            problem=problem.problem.value if problem else "no group",
            **self.choice.count_heads(request.service, stream.model),
            left_s=round(request.left_s(self.timer.now_s()), 3),
        )
        if stream.reply.has_begun:
            await stream.reply.abort()
            return
        await stream.reply.refuse(self._failure(stream, problem))

    def _failure(self, stream: Stream, problem: SendFailure | None) -> Failure:
        request = stream.request
        left_s = request.left_s(self.timer.now_s())
        if not request.ran_at:
            stopped = self.admission.recheck(request)
            if stopped is not None:
                return stopped
            retry_after_s = self._retry_after_s(stream, left_s)
            return evacuated_stream_failure(
                self.directory, request.service, stream.model, retry_after_s
            ) or Failure.from_code(
                ResultCode.NO_GROUP_READY, ran=Ran.NO, retry_after_s=retry_after_s
            )
        if left_s <= 0:
            return Failure.from_code(ResultCode.DEADLINE_EXCEEDED)
        detail = problem.detail if problem is not None else ""
        return Failure.from_code(ResultCode.BACKEND_LOST, detail)

    def _retry_after_s(self, stream: Stream, left_s: float) -> float:
        """Return when to retry a stream that found no group."""
        planned_s = self.control.retry_after_s(stream.request)
        if planned_s is not None:
            return planned_s
        retry_after_s = self._group_wait(stream).retry_within_s(left_s)
        hold = self.choice.first_block(stream.request.service, stream.model, ())
        if hold is None:
            return retry_after_s
        return min(retry_after_s, max(hold.free_s, OTHER_NODE_RETRY_AFTER_S))
