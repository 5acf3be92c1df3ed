"""One run of a plain call at one backend server."""

from __future__ import annotations

import asyncio
from typing import Protocol

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result

from fordhatch.adapter import answer_headers
from fordhatch.core import Timer, log_event, record_bound
from fordhatch.registry import RunStage

from .._request import Attempt, Reply, ServedRequest
from ..crashes import CrashWatch
from ..exchange import (
    UNCONFIRMED_END,
    AnswerHold,
    BackendAnswer,
    BackendExchange,
    HeldBody,
    SendFailure,
    SendProblem,
    connection_problem,
)
from ..groups import BackendHealth
from ..hedging import AttemptEnd, HedgedRun, Hedging
from ..limits import BackpressureTracker
from ..load import SharedLoad
from ._answer_passing import AnswerPassing

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


@attrs.define(eq=False, repr=False)
class PlainCall:
    """A request while it is served."""

    request: ServedRequest
    reply: Reply
    hold: AnswerHold
    hedging: Hedging = attrs.field(factory=Hedging)
    """Its runs in progress."""
    tried: list[str] = attrs.field(factory=list)
    """Backend servers that it was sent to, in order."""
    answer: CompleteAnswer | None = None
    """The newest complete answer, which may be a failure of the backend server."""
    last_problem: SendFailure = SendFailure(SendProblem.NOT_SENT, "no backend server")
    may_not_retry: bool = False
    """Whether no further attempt is made, as it may crash its backend server."""


class FurtherAttempts(Protocol):
    """Decides on attempts after, or beside, the one in progress."""

    def has_other(self, call: PlainCall) -> bool:
        """Return whether another backend server may be asked."""
        ...

    def patience_s(self, call: PlainCall, attempt: Attempt) -> float:
        """Return after how many seconds without an answer another one is asked."""
        ...

    def hedge(self, call: PlainCall, run: HedgedRun) -> None:
        """Begin an attempt beside a run that takes longer."""
        ...


@attrs.define(eq=False, repr=False)
class PlainRuns:
    """Sends plain calls to backend servers and reads their answers."""

    timer: Timer
    health: BackendHealth
    exchange: BackendExchange
    crashes: CrashWatch
    pressure: BackpressureTracker
    load: SharedLoad
    passing: AnswerPassing
    further: FurtherAttempts | None = None
    """Set by whoever makes the attempts."""

    async def run(self, call: PlainCall, attempt: Attempt) -> AttemptEnd:
        """Make an attempt; success if the call has its answer, or was passed on."""
        request, backend_id = call.request, attempt.backend.backend_id
        began_s = self.timer.now_s()
        request.timeline.record_send(began_s, self.health.in_flight[backend_id])
        self.health.in_flight[backend_id] += 1
        run = HedgedRun()
        call.hedging.join(run)
        try:
            with self.load.counted(request.service, backend_id, 0):
                got = await self._wait(call, attempt, run)
        finally:
            call.hedging.leave(run)
            self.health.in_flight[backend_id] -= 1
        took_s = self.timer.now_s() - began_s
        if got.is_ok():
            self.health.record_success(backend_id, took_s)
            return got
        self.health.record_failure(backend_id)
        _log_failed(attempt, got.unwrap_err(), took_s)
        return got

    async def _wait(
        self, call: PlainCall, attempt: Attempt, run: HedgedRun
    ) -> Result[None, SendFailure]:
        """Wait for the answer; begin another attempt while it takes too long."""
        patience_s = self.further.patience_s(call, attempt)
        run.step = asyncio.ensure_future(self._exchange(call, attempt, run))
        try:
            while not (await asyncio.wait([run.step], timeout=patience_s))[0]:
                self.further.hedge(call, run)
            if run.is_superseded:
                detail = f"no answer in {patience_s:.3f}"
                return Err(SendFailure(SendProblem.SILENT, detail))
            return run.step.result()
        finally:
            run.step.cancel()
            # It holds the request, and this run.
            run.step = None

    async def _exchange(
        self, call: PlainCall, attempt: Attempt, run: HedgedRun
    ) -> Result[None, SendFailure]:
        left_s = max(call.request.left_s(self.timer.now_s()), 0.0)
        backend = attempt.backend
        sent = await self.exchange.send(attempt, backend, head_timeout_s=left_s)
        if sent.is_err():
            failure = sent.unwrap_err()
            if failure.problem is SendProblem.NOT_SENT:
                attempt.record_unsent()
            self.pressure.process_answer(backend, failure.backpressure)
            return self._failed(call, attempt, failure)
        answer = sent.unwrap()
        self.pressure.process_answer(backend, answer.fields.backpressure)
        try:
            held = await self._read(call, answer)
            if held.is_err():
                return self._failed(call, attempt, held.unwrap_err())
            if not held.unwrap().is_whole:
                return await self._pass_on(call, answer, held.unwrap(), run)
            return _accept(call, answer, held.unwrap().data, run)
        finally:
            answer.close()

    def _failed(
        self, call: PlainCall, attempt: Attempt, failure: SendFailure
    ) -> Result[None, SendFailure]:
        if failure.problem is SendProblem.CONNECTION_LOST:
            self.crashes.connection_broken(call.request, attempt.backend, PLAIN_STAGE)
        return Err(failure)

    async def _read(
        self, call: PlainCall, answer: BackendAnswer
    ) -> Result[HeldBody, SendFailure]:
        """Read the body of an answer, as far as it may be held."""
        left_s = max(call.request.left_s(self.timer.now_s()), 0.0)
        try:
            async with self.timer.timeout(left_s):
                held = await call.hold.read(answer)
        except TimeoutError:
            return Err(SendFailure(SendProblem.SILENT, "body not complete in time"))
        except (aiohttp.ClientError, OSError) as error:
            return Err(SendFailure(connection_problem(error), repr(error)))
        if held.is_whole:
            left_s = call.request.left_s(self.timer.now_s())
            if not await self.exchange.confirms_end(answer, left_s):
                return Err(SendFailure(SendProblem.CONNECTION_LOST, UNCONFIRMED_END))
        return Ok(held)

    async def _pass_on(
        self, call: PlainCall, answer: BackendAnswer, held: HeldBody, run: HedgedRun
    ) -> Result[None, SendFailure]:
        """Pass on an answer that is too long to be held, unless it can be none.

        One without a declared length may have no end: as long as another backend
        server may be asked, that one is. Failures of that length are no answers.
        """
        request = call.request
        is_failure = answer.status >= _SERVER_ERROR
        may_retry = (
            "Content-Length" not in CIMultiDict(answer.headers)
            and request.may_run(self.timer.now_s())
            and self.further.has_other(call)
        )
        if is_failure or may_retry:
            record_bound("answer", request=request.fields.request_id)
            detail = f"status {answer.status}, {held.excess}"
            return Err(SendFailure(SendProblem.BROKEN, detail))
        if run.is_superseded:
            return _superseded()
        call.hedging.lead(run)
        self.crashes.release_body(request, is_answered=False)
        passed = await self.passing.pass_on(
            request, call.reply, answer, held, call.hold.holding
        )
        request.was_answered = request.has_output = passed.is_ok()
        failure = passed.err()
        if failure is not None and failure.problem is SendProblem.CONNECTION_LOST:
            self.crashes.connection_broken(request, answer.backend, PLAIN_STAGE)
        return passed


def _accept(
    call: PlainCall, answer: BackendAnswer, body: bytes, run: HedgedRun
) -> Result[None, SendFailure]:
    """Take a complete answer; one that reports a failure ends no other run."""
    if run.is_superseded:
        return _superseded()
    call.answer = CompleteAnswer(answer.status, answer_headers(answer.headers), body)
    call.request.was_answered = True
    call.request.has_output = answer.status < _CALLER_ERROR
    if answer.status >= _SERVER_ERROR:
        return Err(SendFailure(SendProblem.ERROR_STATUS, str(answer.status)))
    call.hedging.lead(run)
    return Ok(None)


def _superseded() -> Result[None, SendFailure]:
    return Err(SendFailure(SendProblem.SILENT, "another run has taken over"))


def _log_failed(attempt: Attempt, failure: SendFailure, took_s: float) -> None:
    log_event(
        "send_failed",
        request=attempt.fields.request_id,
        backend=attempt.backend.backend_id,
        problem=failure.problem.value,
        detail=failure.detail,
        took_s=round(took_s, 3),
    )
