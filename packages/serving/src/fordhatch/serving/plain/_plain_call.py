"""Calls to plain services: one request, one complete answer."""

from __future__ import annotations

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event
from fordhatch.registry import BackendDirectory

from .._admission import Admission
from .._evacuated_zones import EVACUATED_RETRY_AFTER_S, evacuated_plain_failure
from .._request import Attempt, Reply, ServedRequest
from ..crashes import CrashWatch
from ..exchange import HeldAnswers, SendFailure, SendProblem
from ..groups import MAX_WAIT_FRACTION, BackendHealth
from ..hedging import AttemptEnd, HedgedRun
from ..limits import Permits
from ..retries import RetryBudget
from ._backend_choice import BackendChoice
from ._plain_run import PlainCall, PlainRuns

MAX_SENDS = 4
"""Maximum attempts per request, including refusals and failed connections."""

CAPACITY_RETRY_AFTER_S = 0.15
"""Retry-After of a request that every backend server refused: a full one completes
about three of its usual calls of 50 ms in that time."""

RETRY_OBJECTIVE_FRACTION = 0.6
"""Fraction of the route's latency objective after which a repeatable request without
an answer is sent to another backend server as well: the second answer may still be on
time."""

USUAL_TIMES = 3.0
"""Multiple of a backend server's typical time to answer before which none is."""

MIN_PATIENCE_S = 0.05
"""Shortest wait of a call whose time is over for the end of its run."""


@attrs.define(eq=False, repr=False)
class PlainCalls:
    """Serves requests of plain services."""

    timer: Timer
    directory: BackendDirectory
    health: BackendHealth
    budget: RetryBudget
    admission: Admission
    crashes: CrashWatch
    permits: Permits
    choice: BackendChoice
    held: HeldAnswers
    runs: PlainRuns

    @classmethod
    def create(cls, **parts: object) -> PlainCalls:
        """Create an instance, which makes further attempts for its runs."""
        calls = cls(**parts)  # type: ignore[arg-type]
        calls.runs.further = calls
        return calls

    async def serve(self, request: ServedRequest, reply: Reply) -> None:
        """Serve one request; the reply is final when this returns."""
        with self.held.hold() as hold:
            await self._serve(PlainCall(request, reply, hold))

    async def _serve(self, call: PlainCall) -> None:
        """Ask one backend server after another until the call has its answer."""
        try:
            while True:
                first = await self._attempt(call)
                if first is None:
                    break
                ended = await call.hedging.outcome(first)
                if ended.is_ok() or call.reply.is_over:
                    break
        finally:
            await call.hedging.end()
        if not call.reply.has_begun:
            # Otherwise its answer was too long to be held, and was passed on.
            await self._answer(call)

    async def _attempt(self, call: PlainCall) -> AttemptEnd:
        """Ask the next backend server; None if there is none for the request."""
        request = call.request
        if len(call.tried) >= MAX_SENDS or call.may_not_retry or call.reply.has_begun:
            return None
        backend = await self._next_backend(call)
        if backend is None or not await self._may_send(request):
            return None
        call.tried.append(backend.backend_id)
        with request.attempt(backend, self.admission.recheck_for_backend) as attempt:
            done = await self.runs.run(call, attempt)
        if done.is_ok():
            return done
        call.last_problem = done.unwrap_err()
        is_answer = call.last_problem.problem is SendProblem.ERROR_STATUS
        if not is_answer and not await self.crashes.may_retry(request, backend):
            call.may_not_retry = True
        return done

    async def _answer(self, call: PlainCall) -> None:
        if call.answer is None:
            await call.reply.refuse(self._failure(call.request, call.last_problem))
            return
        call.request.timeline.record_output(self.timer.now_s())
        answer = call.answer
        self.crashes.release_body(call.request, is_answered=True)
        await call.reply.send_complete(answer.status, answer.headers, answer.body)

    # Attempts beside one that takes long.

    def patience_s(self, call: PlainCall, attempt: Attempt) -> float:
        """Return after how many seconds without an answer another one is asked."""
        request = call.request
        left_s = max(request.left_s(self.timer.now_s()), MIN_PATIENCE_S)
        if not request.route.is_repeatable:
            return left_s
        usual_s = self.health.typical_s(attempt.backend.backend_id)
        objective_s = RETRY_OBJECTIVE_FRACTION * request.route.goal_s
        return min(left_s, max(objective_s, USUAL_TIMES * usual_s))

    def hedge(self, call: PlainCall, run: HedgedRun) -> None:
        """Begin another attempt, if one is allowed and a backend server is left."""
        request = call.request
        if not request.route.is_repeatable or call.reply.has_begun:
            return
        if not request.may_run(self.timer.now_s()):
            return
        if not call.hedging.wants_hedge(run):
            return
        if self.admission.recheck(request) is not None:
            return
        if self.has_other(call) and self.budget.has_left(request):
            log_event("call_hedged", request=request.fields.request_id)
            call.hedging.hedge(self._attempt(call))

    def has_other(self, call: PlainCall) -> bool:
        """Return whether another backend server may be asked."""
        return self.choice.choose(call.request.service, call.tried) is not None

    # Choice of the next backend server.

    async def _next_backend(self, call: PlainCall) -> BackendServer | None:
        """Return the next backend server, once a permit for it is granted.

        Waits while the untried ones are all blocked, if one is free again early enough.
        """
        request, service = call.request, call.request.service
        began_s = self.timer.now_s()
        until_s = began_s + MAX_WAIT_FRACTION * request.left_s(began_s)
        is_logged = False
        while True:
            backend = self.choice.choose(service, call.tried)
            if backend is not None:
                left_s = request.left_s(self.timer.now_s())
                if await self.permits.acquire(backend, left_s):
                    return backend
                if request.left_s(self.timer.now_s()) > 0:
                    continue
            hold = self.choice.first_block(service, call.tried)
            if hold is None:
                return None
            now_s = self.timer.now_s()
            waits = now_s + hold.free_s <= until_s
            if not (is_logged and waits):
                is_logged = True
                self.permits.log_block(request.fields.request_id, hold, waits=waits)
            if not waits:
                return None
            await self.timer.sleep(hold.free_s)

    async def _may_send(self, request: ServedRequest) -> bool:
        if not request.may_run(self.timer.now_s()):
            return False
        if self.admission.recheck(request) is not None:
            return False
        return request.is_first_arrival or await self.budget.acquire(request)

    def _failure(self, request: ServedRequest, problem: SendFailure) -> Failure:
        if not request.ran_at:
            stopped = self.admission.recheck(request)
            left_s = max(request.left_s(self.timer.now_s()), 0.0)
            stopped = stopped or evacuated_plain_failure(
                self.directory,
                request.service,
                min(EVACUATED_RETRY_AFTER_S, MAX_WAIT_FRACTION * left_s),
            )
            return stopped or Failure.from_code(
                ResultCode.BACKEND_REFUSED,
                problem.detail,
                ran=Ran.NO,
                retry_after_s=self._retry_after_s(request),
            )
        if request.left_s(self.timer.now_s()) <= 0:
            return Failure.from_code(ResultCode.DEADLINE_EXCEEDED)
        return Failure.from_code(ResultCode.BACKEND_LOST, problem.detail)

    def _retry_after_s(self, request: ServedRequest) -> float:
        """Return when to retry a request that every backend server refused."""
        hold = self.choice.first_block(request.service, ())
        if hold is None:
            return CAPACITY_RETRY_AFTER_S
        left_s = max(request.left_s(self.timer.now_s()), 0.0)
        return max(min(hold.free_s, MAX_WAIT_FRACTION * left_s), CAPACITY_RETRY_AFTER_S)
