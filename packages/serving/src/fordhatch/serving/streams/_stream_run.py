"""Runs of a stream at one group, forwarded event by event."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs
from result import Err, Ok, Result

from fordhatch.adapter import answer_headers
from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, metrics, record_bound

from .._request import Attempt, ReplyTooLong
from ..crashes import CrashWatch
from ..exchange import (
    UNCONFIRMED_END,
    AnswerHold,
    BackendAnswer,
    BackendExchange,
    HeldAnswers,
    SendFailure,
    SendProblem,
    connection_problem,
)
from ..groups import (
    SLOW_CHECK_INTERVAL_S,
    SLOW_PACE,
    BackendHealth,
    GroupProgress,
    RunProgress,
    StallWatch,
)
from ..limits import BackpressureTracker
from ..load import SharedLoad
from ._events import PART_BYTES, Event, EventSplitter, StreamError, in_parts
from ._silence_watch import SilenceWatch
from ._stream import Stream
from ._stream_ending import RunFailed, check_ending, log_failed_run, reached_stage

RESUMED_URGENCY = 0
"""Resumed streams are first in the backend server's queue: their callers wait
already."""

_OK, _SERVER_ERROR = 200, 500


@attrs.define(eq=False, repr=False)
class StreamRuns:
    """Sends a stream's request to a group and forwards its events."""

    timer: Timer
    health: BackendHealth
    progress: GroupProgress
    stalls: StallWatch
    silence: SilenceWatch
    exchange: BackendExchange
    crashes: CrashWatch
    pressure: BackpressureTracker
    load: SharedLoad
    held: HeldAnswers
    _running: dict[int, tuple[Stream, RunProgress]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Subscribe to causes that are quarantined."""
        self.crashes.quarantine.subscribe(self._cancel_runs)

    def _cancel_runs(self) -> None:
        """Cancel runs that are quarantined now, including queued ones.

        Otherwise many callers with such requests at the same time could crash every
        group. A run that has forwarded events continues: it does no harm.
        """
        for stream, progress in list(self._running.values()):
            if progress.is_flowing or progress.step is None:
                continue
            if self.crashes.quarantine.is_quarantined(stream.request):
                progress.step.cancel()

    async def run(self, stream: Stream, attempt: Attempt) -> Result[None, SendFailure]:
        """Run a stream at a group.

        Returns:
            Success once the stream is complete, otherwise the failure of this run.
        """
        head = attempt.backend
        head_id = head.backend_id
        began_s = self.timer.now_s()
        stream.request.timeline.record_send(began_s, self.health.in_flight[head_id])
        self.health.in_flight[head_id] += 1
        progress = self.progress.start_run(head_id)
        self._running[id(progress)] = stream, progress
        stream.hedging.join(progress)
        try:
            with self.load.counted(stream.request.service, head_id, stream.need.tokens):
                await self._forward(stream, attempt, progress)
            self.health.record_success(head_id, self.timer.now_s() - began_s)
            return Ok(None)
        except RunFailed as broken:
            self._record_failure(stream, head, broken.failure, progress)
            if broken.failure.problem is SendProblem.CONNECTION_LOST:
                stage = reached_stage(progress)
                self.crashes.connection_broken(stream.request, head, stage)
            return Err(broken.failure)
        finally:
            stream.hedging.leave(progress)
            del self._running[id(progress)]
            self.progress.end_run(progress)
            self.health.in_flight[head_id] -= 1

    def _record_failure(
        self,
        stream: Stream,
        head: BackendServer,
        failure: SendFailure,
        progress: RunProgress,
    ) -> None:
        took_s = self.timer.now_s() - progress.began_s
        log_failed_run(stream, head, failure, progress.events, took_s)
        if failure.problem is SendProblem.HELD_BACK:
            return
        self._check_group(stream, head, failure.problem)
        self.health.record_failure(head.backend_id)

    def _check_group(
        self, stream: Stream, head: BackendServer, problem: SendProblem
    ) -> None:
        """Check the group of a failed run, unless it refused or the deadline passed."""
        if problem is SendProblem.REFUSED:
            return
        if problem is not SendProblem.SILENT:
            self.stalls.check(head)
        elif stream.request.left_s(self.timer.now_s()) > 0:
            self.stalls.report_silence(head)

    async def _forward(
        self, stream: Stream, attempt: Attempt, progress: RunProgress
    ) -> None:
        answer = await self._open(stream, attempt, progress)
        progress.has_answer = True
        try:
            if answer.status != _OK:
                with self.held.hold() as hold:
                    await self._forward_complete(stream, answer, progress, hold)
                return
            await self._forward_events(stream, answer, progress)
        finally:
            answer.close()

    async def _open(
        self, stream: Stream, attempt: Attempt, progress: RunProgress
    ) -> BackendAnswer:
        """Send the request and wait for the answer's head.

        Raises:
            RunFailed: If no usable head came, or the run was cancelled.
        """
        request, head = stream.request, attempt.backend
        resumed = stream.order.last is not None
        send = self.exchange.send(
            attempt,
            head,
            head_timeout_s=max(request.left_s(self.timer.now_s()), 0.001),
            urgency=RESUMED_URGENCY if resumed else request.wire_urgency,
            last_event_id=str(stream.order.last) if resumed else None,
        )
        sent = await self.silence.wait(stream, head, progress, send)
        if sent.is_err():
            failure = sent.unwrap_err()
            if failure.problem is SendProblem.NOT_SENT:
                attempt.record_unsent()
            self.pressure.process_answer(head, failure.backpressure)
            raise RunFailed(failure.problem, failure.detail)
        answer = sent.unwrap()
        self.pressure.process_answer(head, answer.fields.backpressure)
        return answer

    async def _forward_complete(
        self,
        stream: Stream,
        answer: BackendAnswer,
        progress: RunProgress,
        hold: AnswerHold,
    ) -> None:
        """Forward an answer that is no stream: a failure of the backend server.

        Raises:
            RunFailed: If the answer is incomplete, or the request may be retried or
                another run of it goes on, or the stream has begun already.
        """
        try:
            async with self.timer.timeout(stream.request.left_s(self.timer.now_s())):
                held = await self.silence.wait(
                    stream, answer.backend, progress, hold.read(answer)
                )
        except TimeoutError as error:
            raise RunFailed(SendProblem.SILENT, repr(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise RunFailed(connection_problem(error), repr(error)) from error
        if not held.is_whole:
            record_bound("failed_answer", request=stream.request.fields.request_id)
            detail = f"status {answer.status}, {held.excess}"
            raise RunFailed(SendProblem.BROKEN, detail)
        left_s = stream.request.left_s(self.timer.now_s())
        check = self.exchange.confirms_end(answer, left_s)
        if not await self.silence.wait(stream, answer.backend, progress, check):
            raise RunFailed(SendProblem.CONNECTION_LOST, UNCONFIRMED_END)
        can_repeat = stream.hedging.has_others(progress) or stream.may_run(
            self.timer.now_s()
        )
        if stream.reply.has_begun or (answer.status >= _SERVER_ERROR and can_repeat):
            raise RunFailed(SendProblem.BROKEN, f"status {answer.status}")
        self._lead(stream, progress)
        await stream.reply.send_complete(
            answer.status, answer_headers(answer.headers), held.data
        )

    async def _forward_events(
        self, stream: Stream, answer: BackendAnswer, progress: RunProgress
    ) -> None:
        splitter = EventSplitter()
        last_s: float | None = None
        while True:
            piece = await self._next_piece(stream, answer, progress)
            if not piece:
                break
            if stream.request.left_s(self.timer.now_s()) <= 0:
                # Bytes that are always there would let it go on for ever.
                raise RunFailed(SendProblem.SILENT, "out of time")
            self.progress.record_event(progress, stream.model)
            last_s = self._record_pause(stream, answer.backend, last_s)
            for part in in_parts(piece):
                await self._forward_piece(stream, answer, progress, splitter, part)
                if len(part) == PART_BYTES:
                    await asyncio.sleep(0)
        if answer.ends_with_connection:
            left_s = stream.request.left_s(self.timer.now_s())
            check = check_ending(self.exchange, stream, answer, splitter, left_s)
            await self.silence.wait(stream, answer.backend, progress, check)
        if splitter.has_partial_event:
            raise RunFailed(SendProblem.BROKEN, "ended within an event")
        self._lead(stream, progress)
        if not stream.reply.has_begun:
            await stream.reply.begin(answer.status, answer_headers(answer.headers))
        await stream.reply.end()

    def _record_pause(
        self, stream: Stream, head: BackendServer, last_s: float | None
    ) -> float:
        now_s = self.timer.now_s()
        if last_s is None:
            metrics.FIRST_EVENT_SECONDS.observe(now_s - stream.request.arrived_s)
            return now_s
        profile = stream.profile
        model = profile.model(stream.model)
        if model is not None:
            expected_s = profile.pass_s(profile.slots // 2) * model.pace
            self.health.record_event_interval(
                head.backend_id, now_s - last_s, expected_s
            )
            if self.health.slowness(head.backend_id) >= SLOW_PACE:
                self.stalls.check(head, SLOW_CHECK_INTERVAL_S)
        return now_s

    def _lead(self, stream: Stream, progress: RunProgress) -> None:
        """Let a run lead before it writes to the caller.

        Raises:
            RunFailed: If another run has taken over.
        """
        if progress.is_superseded:
            raise RunFailed(SendProblem.SILENT, "another run has taken over")
        stream.hedging.lead(progress)

    def _leads_with(
        self, stream: Stream, progress: RunProgress, events: list[Event]
    ) -> bool:
        """Let a run lead if one of its events is new to the caller.

        Returns:
            Whether the events are for the caller: while other runs are in progress,
            those are that begin with a new one.

        Raises:
            StreamError: If an event before it is missing; the run does not lead then.
            RunFailed: If another run has taken over.
        """
        new = next(filter(stream.order.is_new, events), None)
        if new is None:
            return not stream.hedging.has_others(progress)
        stream.order.check_next(new)
        self._lead(stream, progress)
        return True

    async def _forward_piece(
        self,
        stream: Stream,
        answer: BackendAnswer,
        progress: RunProgress,
        splitter: EventSplitter,
        piece: bytes,
    ) -> None:
        fresh: list[bytes] = []
        problem: str | None = None
        try:
            events = splitter.feed(piece)
            if not self._leads_with(stream, progress, events):
                return
            for event in events:
                if stream.order.accept(event):
                    fresh.append(event.raw)
                    stream.has_content |= not event.is_comment
        except StreamError as error:
            # Its text only: the error refers to this frame.
            problem = str(error)
        # Accepted events count as forwarded, even if the next event is malformed.
        if fresh:
            await self._write(stream, answer, b"".join(fresh))
            stream.events += len(fresh)
            progress.events += len(fresh)
        if problem is not None:
            raise RunFailed(SendProblem.BROKEN, problem)

    async def _write(
        self, stream: Stream, answer: BackendAnswer, events: bytes
    ) -> None:
        if not stream.reply.has_begun:
            await stream.reply.begin(answer.status, answer_headers(answer.headers))
        stream.request.timeline.record_output(self.timer.now_s())
        try:
            await stream.reply.write(events)
        except ReplyTooLong as error:
            raise RunFailed(SendProblem.BROKEN, str(error)) from error

    async def _next_piece(
        self, stream: Stream, answer: BackendAnswer, progress: RunProgress
    ) -> bytes:
        read = answer.read_piece()
        try:
            return await self.silence.wait(stream, answer.backend, progress, read)
        except (aiohttp.ClientError, OSError) as error:
            raise RunFailed(connection_problem(error), repr(error)) from error
