"""Streams of model engines, which go on elsewhere when a group is lost."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.catalog import BackendServer, EngineProfile
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event, metrics
from fordhatch.registry import BackendDirectory

from ._admission import Admission
from ._crash_watch import CrashWatch
from ._demand_meter import DemandMeter
from ._events import EventOrder
from ._exchange import SendFailure
from ._group_wait import GroupWait, group_wait
from ._head_choice import HeadChoice
from ._repeat_budget import RepeatBudget
from ._request import Reply, ServedRequest
from ._stream_run import Stream, StreamRuns

MOST_SENDS = 6
"""Sends of one request at the most, refusals and failed connections included."""

HOLD_BEGUN_S = 1.8
"""How long a stream that has begun may wait for another group: callers give up after
a gap of two seconds."""


@attrs.define(eq=False, repr=False)
class StreamCalls:
    """Serves requests of model engines."""

    timer: Timer
    directory: BackendDirectory
    choice: HeadChoice
    budget: RepeatBudget
    admission: Admission
    runs: StreamRuns
    crashes: CrashWatch
    demand: DemandMeter
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    def create(cls, directory: BackendDirectory, **parts: object) -> StreamCalls:
        """Build it and follow the directory for groups that open."""
        calls = cls(directory=directory, **parts)  # type: ignore[arg-type]
        directory.subscribe(calls._wake)
        return calls

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, request: ServedRequest, reply: Reply, profile: EngineProfile
    ) -> None:
        """Serve one request; the reply has its final answer afterwards."""
        order = EventOrder.from_last_event_id(request.fields.last_event_id)
        stream = Stream(request, reply, order, profile)
        fields, route = request.fields, request.route.name
        key = request.service, stream.model
        self.demand.arrived(key, route, profile, fields.prompt_tokens)
        for _ in range(MOST_SENDS):
            head = await self._next_head(stream)
            if head is None:
                break
            stream.tried.append(head.backend_id)
            done = await self.runs.run(stream, head)
            if done.is_ok():
                request.was_answered = True
                self.demand.answered(route, profile, stream.events)
                return
            stream.last_problem = done.unwrap_err()
            if self.crashes.quarantine.is_suspect(request):
                # One more crash may be one too many.
                await self.crashes.until_known(head)
        await self._give_up(stream)

    # Which group next.

    async def _next_head(self, stream: Stream) -> BackendServer | None:
        request = stream.request
        if not request.may_run(self.directory.backends, self.timer.now_s()):
            return None
        began_s = self.timer.now_s()
        while True:
            if self.admission.still_allowed(request) is not None:
                return None
            head = self.choice.choose(request.service, stream.model, stream.tried)
            if head is not None:
                repeats = request.arrivals > 0
                if repeats and not self.budget.spend(request.service):
                    log_event("budget_spent", request=request.fields.request_id)
                    metrics.REPEATS.labels("refused").inc()
                    return None
                if repeats:
                    metrics.REPEATS.labels("sent").inc()
                return head
            hold_s = HOLD_BEGUN_S
            if not stream.reply.has_begun:
                hold_s = self._group_wait(stream).hold_s
            until_s = min(began_s + hold_s, request.ends_s)
            left_s = until_s - self.timer.now_s()
            if left_s <= 0 or not await self._wait_for_change(left_s):
                return None

    def _group_wait(self, stream: Stream) -> GroupWait:
        backends = self.directory.of_service(stream.request.service)
        return group_wait(backends, stream.profile, stream.model)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        try:
            async with self.timer.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    # No further run.

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
            stopped = self.admission.still_allowed(request)
            retry_after_s = self._group_wait(stream).retry_within_s(left_s)
            return stopped or Failure.from_code(
                ResultCode.NO_GROUP_READY, ran=Ran.NO, retry_after_s=retry_after_s
            )
        if left_s <= 0:
            return Failure.from_code(ResultCode.DEADLINE_EXCEEDED)
        detail = problem.detail if problem is not None else ""
        return Failure.from_code(ResultCode.BACKEND_LOST, detail)
