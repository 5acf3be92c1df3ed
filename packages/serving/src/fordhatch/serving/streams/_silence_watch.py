"""Waits for the next step of a stream's run, and hedges a run that is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeVar

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, Timer, log_event

from .._request import ServedRequest
from ..exchange import SendProblem
from ..groups import GroupProgress, HeadChoice, RunProgress, StallWatch, silence_s
from ..hedging import AttemptEnd
from ..load import SharedLoad
from ._stream import Stream
from ._stream_ending import RunFailed

STREAM_SILENCE_FACTOR = 4.0
"""Multiple of the group's silence limit after which one silent stream is hedged while
other streams of the group advance."""

T = TypeVar("T")

BeginAttempt = Callable[[Stream], Coroutine[object, object, AttemptEnd]]
"""Makes another attempt of a stream."""


@attrs.define(eq=False, repr=False)
class SilenceWatch:
    """Waits for runs, each until its deadline; silence alone never ends one."""

    timer: Timer
    progress: GroupProgress
    stalls: StallWatch
    choice: HeadChoice
    load: SharedLoad
    recheck: Callable[[ServedRequest], Failure | None]
    """Returns why no further attempt may be made, or None."""
    has_retry: Callable[[ServedRequest], bool]
    """Returns whether the retry budget allows another attempt now."""
    begin_attempt: BeginAttempt | None = None
    """Set by whoever makes the attempts of streams."""

    async def wait(
        self,
        stream: Stream,
        head: BackendServer,
        run: RunProgress,
        work: Coroutine[object, object, T],
    ) -> T:
        """Return the result of the next step of a run, which ends with this call.

        Begins another attempt while the run is silent. Only the run refers to the
        step's task: one whose error has passed through a frame that refers to it, too,
        would be a reference cycle with all that the frame holds.

        Raises:
            RunFailed: If the run was cancelled, another one has taken over, or the
                deadline passed.
            Exception: Whatever the step raises.
        """
        run.step = asyncio.ensure_future(work)
        try:
            await self._until_done(stream, head, run)
            return run.step.result()
        finally:
            run.step.cancel()
            run.step = None

    async def _until_done(
        self, stream: Stream, head: BackendServer, run: RunProgress
    ) -> None:
        limit_s = silence_s(stream.profile, stream.model)
        waiting_since_s = self.timer.now_s()
        while True:
            left_s = stream.request.left_s(self.timer.now_s())
            await asyncio.wait([run.step], timeout=max(min(limit_s, left_s), 0.0))
            now_s = self.timer.now_s()
            if run.is_superseded:
                silent_s = now_s - waiting_since_s
                raise RunFailed(SendProblem.SILENT, f"silent for {silent_s:.3f}")
            if run.step.cancelled():
                raise RunFailed(SendProblem.HELD_BACK, "it was quarantined meanwhile")
            if run.step.done():
                run.is_silent = False
                return
            if stream.request.left_s(now_s) <= 0:
                raise RunFailed(SendProblem.SILENT, "out of time")
            silent_s = self._silent_s(stream, run, limit_s)
            waited_s = now_s - waiting_since_s
            if silent_s > 0:
                self.stalls.report_silence(head)
                self._hedge(stream, run, f"silent for {silent_s:.3f}")
            elif waited_s >= STREAM_SILENCE_FACTOR * limit_s:
                self._hedge(stream, run, f"waited for {waited_s:.3f}")

    def _silent_s(self, stream: Stream, run: RunProgress, limit_s: float) -> float:
        """Return how long a group has been silent, in seconds; 0 below its limit."""
        silent_s = self.progress.silent_for_s(run.head_id)
        if silent_s >= limit_s:
            return silent_s
        if silent_s > 0:
            # Other streams of the group advanced within the limit.
            return 0.0
        waited_s = self.timer.now_s() - run.began_s
        in_flight = 0.0
        if self.load.is_used_for(stream.request.service):
            in_flight = self.load.total_in_flight(run.head_id)
        timeout_s = self.progress.first_event_timeout_s(
            stream.profile, stream.model, in_flight
        )
        return waited_s if waited_s >= timeout_s else 0.0

    def _hedge(self, stream: Stream, run: RunProgress, detail: str) -> None:
        """Begin another attempt, if one is allowed and a group could take it.

        An attempt counts towards the route's attempts, even before its first event.
        """
        request = stream.request
        if not request.route.is_repeatable:
            return
        if not stream.may_run(self.timer.now_s()):
            return
        if not stream.hedging.wants_hedge(run):
            return
        other = self.choice.choose(request.service, stream.model, stream.tried)
        if other is None or self.recheck(request) is not None:
            return
        if not self.has_retry(request):
            return
        log_event(
            "stream_hedged",
            request=request.fields.request_id,
            backend=run.head_id,
            detail=detail,
            events=run.events,
        )
        stream.hedging.hedge(self.begin_attempt(stream))
