"""The requests that a node has accepted and not ended yet."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import AsyncIterator, Callable, Iterator

import attrs

from fordhatch.core import Failure, MemoryAccount, ResultCode, Timer, metrics

from ._accepted_request import AcceptedRequest, EndedBy
from ._answer_times import AnswerTimes
from ._reply_heads import UnwritableHead
from ._request import ServedRequest
from ._request_log import log_end
from ._stop_plan import shutting_down

_OUTCOME_WITHOUT_ANSWER = {
    EndedBy.BACKEND: "unanswered",
    EndedBy.NODE: "unanswered",
    EndedBy.CALLER: "caller_gone",
    EndedBy.STOP: "stopped",
    EndedBy.ERROR: "internal",
}
"""Outcomes of requests whose answer was not sent to its end, by who ended them."""


@attrs.define(eq=False, repr=False)
class RequestsInProgress:
    """Counts the accepted requests, and logs the end of each of them."""

    timer: Timer
    version: Callable[[], int]
    """Returns the version of the configuration in effect."""
    memory: MemoryAccount
    """Counts what the requests hold."""
    accepted_count: int = 0
    """Number of callers' requests since the start."""
    is_stopping: bool = False
    """Whether the process ends without waiting for more requests."""
    times: AnswerTimes = attrs.field(factory=AnswerTimes)
    _accepted: set[AcceptedRequest] = attrs.field(factory=set)
    _recording: threading.Lock = attrs.field(factory=threading.Lock)
    _relaying: set[asyncio.Task[object]] = attrs.field(factory=set)
    """Tasks that make attempts for other nodes' callers."""

    _kept: set[asyncio.Task[object]] = attrs.field(factory=set)
    """Tasks that go on without their callers, for later retries."""

    def __len__(self) -> int:
        serving = {accepted.task for accepted in self._accepted}
        return len(self._accepted) + len(self._relaying) + len(self._kept - serving)

    def keep(self, accepted: AcceptedRequest, task: asyncio.Task[object]) -> None:
        """Let a task serve a request, and go on if its caller leaves.

        Args:
            accepted: The request.
            task: The task; a stop waits for it as for a request.
        """
        accepted.task = task
        self._kept.add(task)
        task.add_done_callback(self._kept.discard)
        task.add_done_callback(lambda _: accepted.holding.end())

    @contextlib.asynccontextmanager
    async def accept(self, accepted: AcceptedRequest) -> AsyncIterator[None]:
        """Count a request while it is served, and log its end, however it ends.

        Whatever is raised while the caller's connection is open is an error of this
        node: the caller gets a failure, and never less than it that looks complete.
        """
        self._accepted.add(accepted)
        self.accepted_count += 1
        accepted.task = asyncio.current_task()
        accepted.holding = self.memory.hold("requests")
        accepted.is_ended_by_stop = self.is_stopping
        metrics.IN_FLIGHT.inc()
        ended_by, error = EndedBy.ERROR, ""
        try:
            yield
            ended_by = EndedBy.BACKEND if accepted.reply.is_whole else EndedBy.NODE
            if accepted.reply.has_begun and not accepted.reply.is_over:
                # The HTTP library would end it as if it were complete.
                ended_by, error = EndedBy.ERROR, "the answer was not ended"
                await accepted.reply.abort()
        except asyncio.CancelledError as raised:
            ended_by, error = _who_interrupted(accepted), repr(raised)
            if ended_by is EndedBy.CALLER:
                raise
            asyncio.current_task().uncancel()
            await _answer_interrupted(accepted, ended_by)
        except Exception as raised:
            ended_by, error = _who_interrupted(accepted), repr(raised)
            await _answer_interrupted(accepted, ended_by, raised)
        finally:
            self._record_end(accepted, ended_by, error, self.timer.now_s())
            if accepted.task not in self._kept:
                accepted.holding.end()

    def _record_end(
        self, accepted: AcceptedRequest, ended_by: EndedBy, error: str, now_s: float
    ) -> None:
        with self._recording:
            self._record(accepted, ended_by, error, now_s)

    def _record(
        self, accepted: AcceptedRequest, ended_by: EndedBy, error: str, now_s: float
    ) -> None:
        try:
            self._accepted.remove(accepted)
        except KeyError:
            # The end of the process has logged it.
            return
        metrics.IN_FLIGHT.dec()
        if not accepted.reply.is_over:
            accepted.reply.outcome = _OUTCOME_WITHOUT_ANSWER[ended_by]
        metrics.ANSWERS.labels(accepted.reply.outcome).inc()
        self._record_time(accepted, now_s)
        log_end(accepted, ended_by, error, now_s, self.version())

    def _record_time(self, accepted: AcceptedRequest, now_s: float) -> None:
        served = accepted.served
        if served is None or not accepted.reply.is_whole:
            return
        if served.timeline.sent_s is not None:
            self.times.record(served.route.name, now_s - served.timeline.sent_s)

    def expected_s(self, request: ServedRequest) -> float:
        """Return how long a request may take once it is sent, in seconds.

        An attempt after others only has to bring what the caller does not have. Where
        no answer of its route is known, it may take all of its time.
        """
        longest_s = self.times.longest_s(request.route.name)
        left_s = request.left_s(self.timer.now_s())
        if longest_s is None:
            return left_s
        rest_s = max(longest_s - request.timeline.output_duration_s, 0.0)
        return min(rest_s, left_s)

    def refuse_waiting(self, until_s: float) -> None:
        """Refuse the requests that wait for a backend server and won't end in time.

        Args:
            until_s: When all requests have to have ended, in monotonic seconds.
        """
        now_s = self.timer.now_s()
        for accepted in list(self._accepted):
            served = accepted.served
            if served is None or served.may_have_run or accepted.reply.has_begun:
                continue
            if now_s + self.expected_s(served) > until_s:
                accepted.end_by_stop()

    def end_all(self) -> None:
        """End every request that is still in progress, as the process ends."""
        self.is_stopping = True
        for accepted in list(self._accepted):
            accepted.end_by_stop()
        for task in self._relaying | self._kept:
            task.cancel()

    def log_unended(self, now_s: float) -> None:
        """Log the requests that have not ended when the process exits.

        Args:
            now_s: The current time, in monotonic seconds: a thread without an event
                loop may call this.
        """
        error = "the process had no time left"
        # The event loop may be about to log the end of a request.
        with self._recording:
            for accepted in list(self._accepted):
                self._record(accepted, EndedBy.STOP, error, now_s)

    @property
    def ended_count(self) -> int:
        """Number of callers' requests that have ended since the start."""
        return self.accepted_count - len(self._accepted)

    @property
    def relaying_count(self) -> int:
        """Number of attempts for other nodes' callers in progress."""
        return len(self._relaying)

    @contextlib.contextmanager
    def relaying(self) -> Iterator[None]:
        """Count a request of another node's caller while it is served through here."""
        task = asyncio.current_task()
        self._relaying.add(task)
        try:
            yield
        finally:
            self._relaying.discard(task)


def _who_interrupted(accepted: AcceptedRequest) -> EndedBy:
    if accepted.is_ended_by_stop:
        return EndedBy.STOP
    return EndedBy.ERROR if accepted.is_connected else EndedBy.CALLER


async def _answer_interrupted(
    accepted: AcceptedRequest, ended_by: EndedBy, raised: Exception | None = None
) -> None:
    """Give the final answer to a request whose serving was interrupted."""
    reply = accepted.reply
    if ended_by is EndedBy.CALLER or reply.is_over:
        return
    with contextlib.suppress(ConnectionError):
        if reply.has_begun:
            await reply.abort()
        elif ended_by is EndedBy.ERROR:
            is_unwritable = isinstance(raised, UnwritableHead)
            code = ResultCode.WRONG_ANSWER if is_unwritable else ResultCode.INTERNAL
            await reply.refuse(Failure.from_code(code))
        elif accepted.may_have_run:
            await reply.refuse(Failure.from_code(ResultCode.NODE_STOPPED))
        else:
            await reply.refuse(shutting_down())
