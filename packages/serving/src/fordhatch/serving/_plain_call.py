"""Calls to plain services: one request, one complete answer."""

from __future__ import annotations

import random
from collections.abc import Collection

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result

from fordhatch.adapter import answer_headers
from fordhatch.catalog import BackendServer
from fordhatch.core import (
    Failure,
    Ran,
    ResultCode,
    Timer,
    log_event,
    record_bound,
)
from fordhatch.registry import BackendDirectory, RunStage

from ._admission import Admission
from ._answer_passing import AnswerPassing, PassedAnswer
from ._evacuated_zones import EVACUATED_RETRY_AFTER_S, evacuated_plain_failure
from ._request import Attempt, Reply, ServedRequest
from .crashes import CrashWatch
from .exchange import (
    UNCONFIRMED_END,
    AnswerHold,
    BackendAnswer,
    BackendExchange,
    HeldAnswers,
    HeldBody,
    SendFailure,
    SendProblem,
    connection_problem,
)
from .groups import MAX_WAIT_FRACTION, TIE_BREAK_FRACTION, BackendHealth
from .limits import Block, Permits
from .load import SharedLoad
from .retries import RetryBudget

MAX_SENDS = 4
"""Maximum attempts per request, including refusals and failed connections."""

CAPACITY_RETRY_AFTER_S = 0.15
"""Retry-After of a request that every backend server refused: a full one completes
about three of its usual calls of 50 ms in that time."""

RETRY_OBJECTIVE_FRACTION = 0.6
"""Fraction of the route's latency objective after which a repeatable request without
an answer is retried at another backend server: the second answer may still be on
time."""

OTHER_ZONE_COST = 0.5
"""Cost of a backend server in another availability zone, in requests in flight."""

FILL_COST = 0.5
"""Cost of a backend server whose slots are all in use on average, in requests in
flight. At a higher cost the nodes of a zone move to another zone and back together,
because all of them follow the same totals."""

MAX_FILL = 2.0
"""Maximum of that average, as a fraction of the slots."""

FILL_SPREAD = 0.5
"""Random part of the cost where that average counts, in requests in flight. It makes
the fraction of the requests that go to another zone follow the load gradually."""

MIN_TYPICAL_S = 0.05
"""Lower bound of the typical time to answer: faster backend servers, and those whose
typical time is not known yet, count as equally fast."""

PLAIN_STAGE = RunStage.BEGUN
"""Stage recorded for a plain call whose backend server has crashed. Plain calls take
50 ms, so that a harmless one is hardly ever present at two crashes; and a service has
three to five backend servers, so that a third crash could take the last of them."""

_CALLER_ERROR, _SERVER_ERROR = 400, 500


@attrs.frozen
class CompleteAnswer:
    """A complete answer of a backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen
class _Call:
    """A request while it is served."""

    request: ServedRequest
    reply: Reply
    hold: AnswerHold


@attrs.define(eq=False, repr=False)
class PlainCalls:
    """Serves requests of plain services."""

    zone: str
    timer: Timer
    rng: random.Random
    directory: BackendDirectory
    health: BackendHealth
    budget: RetryBudget
    exchange: BackendExchange
    admission: Admission
    crashes: CrashWatch
    permits: Permits
    load: SharedLoad
    held: HeldAnswers
    passing: AnswerPassing

    async def serve(self, request: ServedRequest, reply: Reply) -> None:
        """Serve one request; the reply is final when this returns."""
        with self.held.hold() as hold:
            await self._serve(_Call(request, reply, hold))

    async def _serve(self, call: _Call) -> None:
        request, reply = call.request, call.reply
        tried: list[str] = []
        last_answer: CompleteAnswer | None = None
        problem = SendFailure(SendProblem.NOT_SENT, "no backend server")
        for _ in range(MAX_SENDS):
            backend = await self._next_backend(request, tried)
            if backend is None or not await self._may_send(request):
                break
            tried.append(backend.backend_id)
            with request.attempt(
                backend, self.admission.recheck_for_backend
            ) as attempt:
                got = await self._send(call, attempt, tried)
            if reply.has_begun:
                # The answer was too long to be held, and was passed on.
                request.was_answered = request.has_output = got.is_ok()
                return
            if got.is_err():
                problem = got.unwrap_err()
                if await self.crashes.may_retry(request, backend):
                    continue
                break
            request.was_answered = True
            last_answer = got.unwrap()
            request.has_output = last_answer.status < _CALLER_ERROR
            if last_answer.status < _SERVER_ERROR:
                break
        if last_answer is not None:
            request.timeline.record_output(self.timer.now_s())
            await reply.send_complete(
                last_answer.status, last_answer.headers, last_answer.body
            )
            return
        await reply.refuse(self._failure(request, problem))

    async def _next_backend(
        self, request: ServedRequest, tried: Collection[str]
    ) -> BackendServer | None:
        """Return the next backend server, once a permit for it is granted.

        Waits while the untried ones are all blocked, if one is free again early enough.
        """
        began_s = self.timer.now_s()
        until_s = began_s + MAX_WAIT_FRACTION * request.left_s(began_s)
        is_logged = False
        while True:
            backend = self._choose(request.service, tried)
            if backend is not None:
                left_s = request.left_s(self.timer.now_s())
                if await self.permits.acquire(backend, left_s):
                    return backend
                if request.left_s(self.timer.now_s()) > 0:
                    continue
            hold = self._first_block(request.service, tried)
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

    def _first_block(self, service: str, tried: Collection[str]) -> Block | None:
        return self.permits.pressure.first_block(self._untried(service, tried))

    def _untried(self, service: str, tried: Collection[str]) -> list[BackendServer]:
        backends = self.directory.plain(service)
        return [b for b in backends if b.backend_id not in tried]

    async def _may_send(self, request: ServedRequest) -> bool:
        if not request.may_run(self.directory.backends, self.timer.now_s()):
            return False
        if self.admission.recheck(request) is not None:
            return False
        return request.is_first_arrival or await self.budget.acquire(request)

    def _choose(self, service: str, tried: Collection[str]) -> BackendServer | None:
        blocked = self.permits.pressure.blocked_backends()
        untried = self._untried(service, tried)
        backends = [b for b in untried if b.backend_id not in blocked]
        healthy = [b for b in backends if not self.health.is_avoided(b.backend_id)]
        return min(healthy or backends, key=self._cost, default=None)

    def _cost(self, backend: BackendServer) -> float:
        cost = 1.0 + self.health.in_flight[backend.backend_id]
        if backend.zone != self.zone:
            cost += OTHER_ZONE_COST
        spread = TIE_BREAK_FRACTION
        if self.load.is_used_for(backend.service):
            fill = self.load.mean_in_flight(backend.backend_id) / max(backend.slots, 1)
            cost += FILL_COST * min(fill, MAX_FILL)
            spread = FILL_SPREAD
        usual_s = max(self.health.typical_s(backend.backend_id), MIN_TYPICAL_S)
        return cost * usual_s + self.rng.random() * spread * MIN_TYPICAL_S

    def _answer_timeout_s(
        self, request: ServedRequest, backend: BackendServer, tried: Collection[str]
    ) -> float:
        left_s = request.left_s(self.timer.now_s())
        is_last = len(request.ran_at) + 1 >= request.route.attempts
        if not request.route.is_repeatable or is_last:
            return left_s
        if self._choose(request.service, tried) is None:
            return left_s
        usual_s = 3.0 * self.health.typical_s(backend.backend_id)
        patience_s = max(RETRY_OBJECTIVE_FRACTION * request.route.goal_s, usual_s)
        return min(left_s, patience_s)

    async def _send(
        self, call: _Call, attempt: Attempt, tried: Collection[str]
    ) -> Result[CompleteAnswer | PassedAnswer, SendFailure]:
        request, backend = call.request, attempt.backend
        began_s = self.timer.now_s()
        timeout_s = self._answer_timeout_s(request, backend, tried)
        in_flight = self.health.in_flight[backend.backend_id]
        request.timeline.record_send(began_s, in_flight)
        self.health.in_flight[backend.backend_id] += 1
        try:
            with self.load.counted(request.service, backend.backend_id, 0):
                got = await self._exchange(call, attempt, timeout_s, tried)
        finally:
            self.health.in_flight[backend.backend_id] -= 1
        took_s = self.timer.now_s() - began_s
        if got.is_ok() and got.unwrap().status < _SERVER_ERROR:
            self.health.record_success(backend.backend_id, took_s)
            return got
        self.health.record_failure(backend.backend_id)
        _log_failed(request, backend, got, took_s)
        return got

    async def _exchange(
        self,
        call: _Call,
        attempt: Attempt,
        timeout_s: float,
        tried: Collection[str],
    ) -> Result[CompleteAnswer | PassedAnswer, SendFailure]:
        request, backend = call.request, attempt.backend
        ends_s = self.timer.now_s() + timeout_s
        sent = await self.exchange.send(attempt, backend, head_timeout_s=timeout_s)
        if sent.is_err():
            if sent.unwrap_err().problem is SendProblem.NOT_SENT:
                attempt.record_unsent()
            self.permits.pressure.process_answer(
                backend, sent.unwrap_err().backpressure
            )
            if sent.unwrap_err().problem is SendProblem.CONNECTION_LOST:
                self.crashes.connection_broken(request, backend, PLAIN_STAGE)
            return Err(sent.unwrap_err())
        answer = sent.unwrap()
        self.permits.pressure.process_answer(backend, answer.fields.backpressure)
        try:
            held = await self._read(call, backend, answer, ends_s)
            if held.is_err():
                return held
            if held.unwrap().is_whole:
                return Ok(_complete_answer(answer, held.unwrap().data))
            return await self._pass_on(call, answer, held.unwrap(), tried)
        finally:
            answer.close()

    async def _read(
        self,
        call: _Call,
        backend: BackendServer,
        answer: BackendAnswer,
        ends_s: float,
    ) -> Result[HeldBody, SendFailure]:
        """Read the body of an answer; ``ends_s`` is when it has to be complete."""
        request = call.request
        try:
            async with self.timer.timeout(max(ends_s - self.timer.now_s(), 0.0)):
                held = await call.hold.read(answer)
        except TimeoutError:
            return Err(SendFailure(SendProblem.SILENT, "body not complete in time"))
        except (aiohttp.ClientError, OSError) as error:
            problem = connection_problem(error)
            if problem is SendProblem.CONNECTION_LOST:
                self.crashes.connection_broken(request, backend, PLAIN_STAGE)
            return Err(SendFailure(problem, repr(error)))
        if not held.is_whole:
            return Ok(held)
        left_s = ends_s - self.timer.now_s()
        if not await self.exchange.confirms_end(answer, left_s):
            self.crashes.connection_broken(request, backend, PLAIN_STAGE)
            return Err(SendFailure(SendProblem.CONNECTION_LOST, UNCONFIRMED_END))
        return Ok(held)

    async def _pass_on(
        self,
        call: _Call,
        answer: BackendAnswer,
        held: HeldBody,
        tried: Collection[str],
    ) -> Result[PassedAnswer, SendFailure]:
        """Pass on an answer that is too long to be held, unless it can be none.

        One without a declared length may have no end: as long as another backend
        server may be asked, that one is. Failures of that length are no answers.
        """
        request = call.request
        is_failure = answer.status >= _SERVER_ERROR
        may_retry = (
            "Content-Length" not in CIMultiDict(answer.headers)
            and request.may_run(self.directory.backends, self.timer.now_s())
            and self._choose(request.service, tried) is not None
        )
        if is_failure or may_retry:
            record_bound("answer", request=request.fields.request_id)
            detail = f"status {answer.status}, {held.excess}"
            return Err(SendFailure(SendProblem.BROKEN, detail))
        passed = await self.passing.pass_on(request, call.reply, answer, held)
        failure = passed.err()
        if failure is not None and failure.problem is SendProblem.CONNECTION_LOST:
            self.crashes.connection_broken(request, answer.backend, PLAIN_STAGE)
        return passed

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
        hold = self._first_block(request.service, ())
        if hold is None:
            return CAPACITY_RETRY_AFTER_S
        left_s = max(request.left_s(self.timer.now_s()), 0.0)
        return max(min(hold.free_s, MAX_WAIT_FRACTION * left_s), CAPACITY_RETRY_AFTER_S)


def _complete_answer(answer: BackendAnswer, body: bytes) -> CompleteAnswer:
    return CompleteAnswer(answer.status, answer_headers(answer.headers), body)


def _log_failed(
    request: ServedRequest,
    backend: BackendServer,
    got: Result[CompleteAnswer | PassedAnswer, SendFailure],
    took_s: float,
) -> None:
    failure = got.err()
    log_event(
        "send_failed",
        request=request.fields.request_id,
        backend=backend.backend_id,
        problem=failure.problem.value if failure else "error_status",
        detail=failure.detail if failure else got.unwrap().status,
        took_s=round(took_s, 3),
    )
