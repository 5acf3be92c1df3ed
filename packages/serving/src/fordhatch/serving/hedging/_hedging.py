"""The runs of one request that are in progress, of which one feeds the caller.

A run that is silent may only be slow, and ending it may end the answer: whatever is to
take its place can still be refused, or break. So it goes on while another attempt
begins beside it (a hedged request). The first run that has something new for the caller
leads; the others end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import attrs
from result import Result

from fordhatch.core import log_event, metrics

from ..exchange import SendFailure
from ._hedged_run import HedgedRun

AttemptEnd = Result[None, SendFailure] | None
"""How an attempt ended: complete, a failure, or None if none could be made."""


@attrs.define(eq=False, repr=False)
class Hedging:
    """Runs of one request beside each other."""

    _leader: HedgedRun | None = None
    _runs: list[HedgedRun] = attrs.field(factory=list)
    _hedges: dict[asyncio.Task[AttemptEnd], HedgedRun | None] = attrs.field(
        factory=dict
    )
    """Attempts beside the first one, with their runs; None before they have one."""

    def join(self, run: HedgedRun) -> None:
        """Add a run; it leads if it is the only one."""
        self._runs.append(run)
        if len(self._runs) == 1:
            self._leader = run
        task = asyncio.current_task()
        if task in self._hedges:
            self._hedges[task] = run

    def leave(self, run: HedgedRun) -> None:
        """Remove a run that has ended."""
        self._runs.remove(run)
        if self._leader is run:
            self._leader = None

    def is_led_by(self, run: HedgedRun) -> bool:
        """Return whether the caller's events come from a run."""
        return self._leader is run

    def has_others(self, run: HedgedRun) -> bool:
        """Return whether another run is in progress."""
        return any(other is not run for other in self._runs)

    def lead(self, run: HedgedRun) -> None:
        """Let a run that has something for the caller lead; the others end.

        Nothing is awaited here, so that no two runs write to the caller.
        """
        former = self._leader
        self._leader = run
        if former is not run:
            metrics.HEDGES.labels("led").inc()
            if former is not None:
                former.supersede()
        self._drop_others(run, former)

    def advanced(self, run: HedgedRun) -> None:
        """Note that a run has made a step; if it leads, the others end."""
        run.is_silent = False
        if self._leader is run and self._hedges:
            self._drop_others(run, None)

    def _drop_others(self, run: HedgedRun, former: HedgedRun | None) -> None:
        for task, hedge in self._hedges.items():
            if hedge is None:
                task.cancel()
            elif hedge is not run and hedge is not former:
                hedge.is_superseded = True
                task.cancel()

    def wants_hedge(self, run: HedgedRun) -> bool:
        """Note that a run is silent; return whether another attempt may help."""
        run.is_silent = True
        is_searching = None in self._hedges.values()
        return not is_searching and all(r.is_silent for r in self._runs)

    def hedge(self, attempt: Coroutine[object, object, AttemptEnd]) -> None:
        """Begin an attempt beside those in progress."""
        metrics.HEDGES.labels("begun").inc()
        task = asyncio.ensure_future(attempt)
        self._hedges[task] = None
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[AttemptEnd]) -> None:
        """Forget a hedge that was dropped, or that could not be made."""
        if task.cancelled() or (task.exception() is None and task.result() is None):
            self._hedges.pop(task, None)

    async def outcome(self, ended: AttemptEnd) -> AttemptEnd:
        """Return how all attempts ended, once the first one has.

        Args:
            ended: The end of the first one.

        Returns:
            Complete, if one of them is; otherwise the newest failure.
        """
        while self._hedges and (ended is None or ended.is_err()):
            done, _ = await asyncio.wait(
                self._hedges, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                self._hedges.pop(task, None)
                if not task.cancelled():
                    ended = task.result() or ended
        return ended

    def end(self) -> None:
        """End the attempts that are left, as the answer is over."""
        for task in list(self._hedges):
            if not task.done():
                task.cancel()
            elif not task.cancelled() and task.exception() is not None:
                log_event("task_failed", part="hedge", error=repr(task.exception()))
        self._hedges.clear()
