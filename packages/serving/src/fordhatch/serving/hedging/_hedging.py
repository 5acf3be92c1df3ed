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

END_LIMIT_S = 0.5
"""Longest wait for attempts that were cancelled, so that they are counted."""

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
        """Return whether another run is in progress, or about to begin."""
        is_beginning = None in self._hedges.values()
        return is_beginning or any(other is not run for other in self._runs)

    @property
    def has_runs(self) -> bool:
        """Whether a run is in progress."""
        return bool(self._runs)

    def lead(self, run: HedgedRun) -> None:
        """Let a run that has something for the caller lead; the others end.

        Nothing is awaited here, so that no two runs write to the caller. A step that
        brings nothing new is no reason to end others: it may be the run's last.
        """
        former = self._leader
        self._leader = run
        if former is not run:
            metrics.HEDGES.labels("led").inc()
            if former is not None:
                former.supersede()
        self._drop_others(run, former)

    def _drop_others(self, run: HedgedRun, former: HedgedRun | None) -> None:
        for task, hedge in self._hedges.items():
            if hedge is not None and hedge in (run, former):
                continue
            _drop(task, hedge)

    def wants_hedge(self, run: HedgedRun) -> bool:
        """Note that a run is silent, and return whether another attempt may help.

        It may if all runs are silent, and no attempt is about to begin.
        """
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
        """Forget a hedge that was dropped, has had no run, or failed beside others."""
        if task.cancelled():
            self._hedges.pop(task, None)
        elif task.exception() is not None:
            log_event("task_failed", part="hedge", error=repr(task.exception()))
            if self._hedges.get(task) is None:
                self._hedges.pop(task, None)
        elif task.result() is None:
            self._hedges.pop(task, None)

    async def outcome(self, ended: AttemptEnd) -> AttemptEnd:
        """Return how all attempts ended, once the first one has.

        Args:
            ended: The end of the first one.

        Returns:
            Complete, if one of them is; otherwise a failure.
        """
        while self._hedges and (ended is None or ended.is_err()):
            done, _ = await asyncio.wait(
                self._hedges, return_when=asyncio.FIRST_COMPLETED
            )
            while done:
                ended = self._end_of(done.pop(), ended)
        return ended

    def _end_of(self, task: asyncio.Task[AttemptEnd], ended: AttemptEnd) -> AttemptEnd:
        """Return how attempts ended, of which this is the newest one."""
        try:
            self._hedges.pop(task, None)
            if not task.cancelled() and (ended is None or ended.is_err()):
                ended = task.result() or ended
            return ended
        finally:
            # An error that the task has raised refers to this frame.
            del task

    async def end(self) -> None:
        """End the attempts that are left, as the answer is over."""
        if not self._hedges:
            return
        for task, hedge in self._hedges.items():
            _drop(task, hedge)
        await asyncio.wait(self._hedges, timeout=END_LIMIT_S)
        self._hedges.clear()


def _drop(task: asyncio.Task[AttemptEnd], run: HedgedRun | None) -> None:
    """End an attempt and, in the same turn of the event loop, what its run does."""
    if run is not None:
        run.supersede()
    task.cancel()
