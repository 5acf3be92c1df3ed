"""Streams of model engines, which go on elsewhere when a group is lost."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.catalog import BackendServer, EngineProfile
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event, metrics
from fordhatch.registry import BackendDirectory

from ._admission import Admission
from ._events import EventOrder
from ._exchange import SendFailure
from ._head_choice import HeadChoice
from ._repeat_budget import RepeatBudget
from ._request import Reply, ServedRequest
from ._stream_run import Stream, StreamRuns

MOST_SENDS = 6
"""Sends of one request at the most, refusals and failed connections included."""

HOLD_GOAL_SHARE = 0.22
"""Share of the route's goal for which a request may wait for a group to open; the
caller may come back in time if it is refused before a quarter of it."""

HOLD_BEGUN_S = 1.8
"""How long a stream that has begun may wait for another group: callers give up after
a gap of two seconds."""

RETRY_AFTER_S = 0.25
"""When a caller may come back if no group of its model is open: groups open within
about this time of each other after a loss."""


@attrs.define(eq=False, repr=False)
class StreamCalls:
    """Serves requests of model engines."""

    timer: Timer
    directory: BackendDirectory
    choice: HeadChoice
    budget: RepeatBudget
    admission: Admission
    runs: StreamRuns
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
        for _ in range(MOST_SENDS):
            head = await self._next_head(stream)
            if head is None:
                break
            stream.tried.append(head.backend_id)
            done = await self.runs.run(stream, head)
            if done.is_ok():
                return
            stream.last_problem = done.unwrap_err()
        await self._give_up(stream)

    # Which group next.

    async def _next_head(self, stream: Stream) -> BackendServer | None:
        request = stream.request
        if not request.may_run(self.directory.backends, self.timer.now_s()):
            return None
        hold_s = HOLD_GOAL_SHARE * request.route.goal_s
        if stream.reply.has_begun:
            hold_s = HOLD_BEGUN_S
        until_s = min(self.timer.now_s() + hold_s, request.ends_s)
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
            left_s = until_s - self.timer.now_s()
            if left_s <= 0 or not await self._wait_for_change(left_s):
                return None

    async def _wait_for_change(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
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
        await stream.reply.refuse(self._failure(request, problem))

    def _failure(self, request: ServedRequest, problem: SendFailure | None) -> Failure:
        if not request.ran_at:
            stopped = self.admission.still_allowed(request)
            return stopped or Failure.from_code(
                ResultCode.NO_GROUP_READY, ran=Ran.NO, retry_after_s=RETRY_AFTER_S
            )
        if request.left_s(self.timer.now_s()) <= 0:
            return Failure.from_code(ResultCode.DEADLINE_EXCEEDED)
        detail = problem.detail if problem is not None else ""
        return Failure.from_code(ResultCode.BACKEND_LOST, detail)
