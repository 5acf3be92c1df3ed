"""Streams of model engines, which go on elsewhere when a group is lost."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.adapter import answer_headers
from fordhatch.catalog import BackendServer, EngineProfile
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event, metrics
from fordhatch.registry import BackendDirectory

from ._admission import Admission
from ._backend_health import BackendHealth
from ._events import EventOrder, EventSplitter, StreamError
from ._exchange import BackendAnswer, ExchangeClient, SendFailure, SendProblem
from ._group_progress import GroupProgress, silence_s
from ._head_choice import HeadChoice
from ._repeat_budget import RepeatBudget
from ._request import Reply, ServedRequest
from ._stall_watch import StallWatch

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

RESUMED_URGENCY = 0
"""Streams that go on elsewhere are admitted first: their callers wait already."""

PATIENCE = 4.0
"""A single stream that is silent this many times longer than its group may be, while
other streams of the group go on, is given up."""

_OK = 200
_SERVER_ERROR = 500


class _Broken(Exception):  # noqa: N818
    """A run ended before its stream was complete."""

    def __init__(self, problem: SendProblem, detail: str) -> None:
        super().__init__(detail)
        self.failure = SendFailure(problem, detail)


@attrs.define(eq=False, repr=False)
class _Stream:
    """One caller's stream over all of its runs."""

    request: ServedRequest
    reply: Reply
    order: EventOrder
    profile: EngineProfile
    tried: list[str] = attrs.field(factory=list)
    last_problem: SendFailure | None = None
    events: int = 0

    @property
    def model(self) -> str:
        return self.request.fields.model


@attrs.define(eq=False, repr=False)
class StreamCalls:
    """Serves requests of model engines."""

    timer: Timer
    directory: BackendDirectory
    health: BackendHealth
    progress: GroupProgress
    stalls: StallWatch
    choice: HeadChoice
    budget: RepeatBudget
    exchange: ExchangeClient
    admission: Admission
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
        stream = _Stream(request, reply, order, profile)
        for _ in range(MOST_SENDS):
            head = await self._next_head(stream)
            if head is None:
                break
            stream.tried.append(head.backend_id)
            done = await self._run(stream, head)
            if done.is_ok():
                return
            stream.last_problem = done.unwrap_err()
        await self._give_up(stream)

    # Which group next.

    async def _next_head(self, stream: _Stream) -> BackendServer | None:
        request = stream.request
        if not self._may_run(request):
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

    def _may_run(self, request: ServedRequest) -> bool:
        if request.left_s(self.timer.now_s()) <= 0:
            return False
        if not request.ran_at:
            return True
        if not request.route.is_repeatable:
            return False
        ran = sum(b in self.directory.backends for b in request.ran_at)
        return ran < request.route.attempts

    async def _wait_for_change(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    # One run.

    async def _run(
        self, stream: _Stream, head: BackendServer
    ) -> Result[None, SendFailure]:
        head_id = head.backend_id
        began_s = self.timer.now_s()
        events = stream.events
        self.health.in_flight[head_id] += 1
        self.progress.began(head_id)
        try:
            await self._pass_on(stream, head)
            self.health.succeeded(head_id, self.timer.now_s() - began_s)
            return Ok(None)
        except _Broken as broken:
            self._note(stream, head, broken.failure, began_s, events)
            return Err(broken.failure)
        finally:
            self.progress.ended(head_id)
            self.health.in_flight[head_id] -= 1

    def _note(
        self,
        stream: _Stream,
        head: BackendServer,
        failure: SendFailure,
        began_s: float,
        events: int,
    ) -> None:
        log_event(
            "send_failed",
            request=stream.request.fields.request_id,
            backend=head.backend_id,
            group=head.membership.group if head.membership else "",
            problem=failure.problem.value,
            detail=failure.detail,
            events=stream.events - events,
            took_s=round(self.timer.now_s() - began_s, 3),
        )
        if failure.problem is not SendProblem.REFUSED:
            self.stalls.silent(head)
        self.health.failed(head.backend_id)

    async def _pass_on(self, stream: _Stream, head: BackendServer) -> None:
        answer = await self._open(stream, head)
        try:
            if answer.status != _OK:
                await self._pass_on_whole(stream, answer)
                return
            await self._pass_on_events(stream, head, answer)
        finally:
            answer.close()

    async def _open(self, stream: _Stream, head: BackendServer) -> BackendAnswer:
        """Send the request and wait for the answer's head as long as it makes sense."""
        request = stream.request
        resumed = stream.order.last is not None
        send = asyncio.ensure_future(
            self.exchange.send(
                request,
                head,
                head_timeout_s=max(request.left_s(self.timer.now_s()), 0.001),
                urgency=RESUMED_URGENCY if resumed else request.urgency,
                last_event_id=str(stream.order.last) if resumed else None,
            )
        )
        try:
            await self._until_done(stream, head, send)
        except _Broken:
            request.arrived_at(head.backend_id, may_have_run=True)
            raise
        finally:
            if not send.done():
                send.cancel()
        sent = send.result()
        if sent.is_err():
            failure = sent.unwrap_err()
            raise _Broken(failure.problem, failure.detail)
        return sent.unwrap()

    async def _until_done(
        self, stream: _Stream, head: BackendServer, step: asyncio.Future[object]
    ) -> None:
        """Wait for the next step of a run; give up when the group stands still."""
        limit_s = silence_s(stream.profile, stream.model)
        waiting_since_s = self.timer.now_s()
        while True:
            left_s = stream.request.left_s(self.timer.now_s())
            await asyncio.wait([step], timeout=max(min(limit_s, left_s), 0.0))
            if step.done():
                return
            now_s = self.timer.now_s()
            if stream.request.left_s(now_s) <= 0:
                raise _Broken(SendProblem.SILENT, "out of time")
            silent_s = self.progress.silent_for_s(head.backend_id)
            waited_s = now_s - waiting_since_s
            if silent_s >= limit_s:
                self.stalls.silent(head)
                self._leave_if_possible(stream, head, f"silent for {silent_s:.3f}")
            elif waited_s >= PATIENCE * limit_s:
                self._leave_if_possible(stream, head, f"waited for {waited_s:.3f}")

    def _leave_if_possible(
        self, stream: _Stream, head: BackendServer, detail: str
    ) -> None:
        """Break off a silent run, but only if another group may take over.

        The run that is left counts for the route's attempts, also before its first
        event: the last one that is allowed may be slow, and still be whole.
        """
        request = stream.request
        if not request.route.is_repeatable:
            return
        other = self.choice.choose(request.service, stream.model, stream.tried)
        runs = {*request.ran_at, head.backend_id}
        ran = sum(b in self.directory.backends for b in runs)
        if other is not None and ran < request.route.attempts:
            raise _Broken(SendProblem.SILENT, detail)

    async def _pass_on_whole(self, stream: _Stream, answer: BackendAnswer) -> None:
        """Pass on an answer that is no stream: a failure of the backend server."""
        try:
            async with asyncio.timeout(stream.request.left_s(self.timer.now_s())):
                body = await answer.read_all()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise _Broken(SendProblem.BROKEN, repr(error)) from error
        can_repeat = stream.request.route.is_repeatable and self._may_run(
            stream.request
        )
        if stream.reply.has_begun or (answer.status >= _SERVER_ERROR and can_repeat):
            raise _Broken(SendProblem.BROKEN, f"status {answer.status}")
        await stream.reply.whole(answer.status, answer_headers(answer.headers), body)

    async def _pass_on_events(
        self, stream: _Stream, head: BackendServer, answer: BackendAnswer
    ) -> None:
        splitter = EventSplitter()
        last_s: float | None = None
        while True:
            piece = await self._next_piece(stream, head, answer)
            if not piece:
                break
            self.progress.advanced(head.backend_id)
            last_s = self._note_pause(stream, head, last_s)
            await self._pass_on_piece(stream, answer, splitter, piece)
        if splitter.has_rest:
            raise _Broken(SendProblem.BROKEN, "ended within an event")
        if not stream.reply.has_begun:
            await stream.reply.begin(answer.status, answer_headers(answer.headers))
        await stream.reply.end()

    def _note_pause(
        self, stream: _Stream, head: BackendServer, last_s: float | None
    ) -> float:
        now_s = self.timer.now_s()
        if last_s is None:
            metrics.FIRST_EVENT_SECONDS.observe(now_s - stream.request.arrived_s)
            return now_s
        profile = stream.profile
        model = profile.model(stream.model)
        if model is not None:
            expected_s = profile.pass_s(profile.slots // 2) * model.pace
            self.health.note_pause(head.backend_id, now_s - last_s, expected_s)
        return now_s

    async def _pass_on_piece(
        self,
        stream: _Stream,
        answer: BackendAnswer,
        splitter: EventSplitter,
        piece: bytes,
    ) -> None:
        fresh: list[bytes] = []
        problem: StreamError | None = None
        try:
            for event in splitter.feed(piece):
                if stream.order.accept(event):
                    fresh.append(event.raw)
        except StreamError as error:
            problem = error
        # What was accepted counts as passed on, also where the next event is wrong.
        if fresh:
            await self._write(stream, answer, b"".join(fresh))
            stream.events += len(fresh)
        if problem is not None:
            raise _Broken(SendProblem.BROKEN, str(problem)) from problem

    async def _write(
        self, stream: _Stream, answer: BackendAnswer, events: bytes
    ) -> None:
        if not stream.reply.has_begun:
            await stream.reply.begin(answer.status, answer_headers(answer.headers))
        await stream.reply.write(events)

    async def _next_piece(
        self, stream: _Stream, head: BackendServer, answer: BackendAnswer
    ) -> bytes:
        read = asyncio.ensure_future(answer.read_piece())
        try:
            await self._until_done(stream, head, read)
            return read.result()
        except (aiohttp.ClientError, OSError) as error:
            raise _Broken(SendProblem.BROKEN, repr(error)) from error
        finally:
            read.cancel()

    # No further run.

    async def _give_up(self, stream: _Stream) -> None:
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
