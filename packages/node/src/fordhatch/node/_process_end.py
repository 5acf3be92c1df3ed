"""The end of a node's process: its last lines, and its exit within the grace period."""

from __future__ import annotations

import asyncio
import os
import sys
import threading
import time
import traceback
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NoReturn, Self

import attrs

from fordhatch.core import LineWriter, log_event
from fordhatch.serving import NodeState, RequestsInProgress, StopPlan

CLOSE_LIMIT_S = 0.4
"""Longest time in which the components of a node may close."""

LOG_LIMIT_S = 0.5
"""Longest wait for whoever reads the log, where no stop has set a time."""

MIN_LOG_S = 0.05
"""Least time for the last lines, also if the plan leaves none: the process may still be
there to write them."""

SWITCH_INTERVAL_S = 0.0001
"""How long another thread may run before the one that ends the process goes on."""

EXIT_FAILED = 1
"""Exit status if the node's main coroutine has raised an exception."""


@attrs.define(eq=False, repr=False)
class ProcessEnd:
    """Ends the process, once, from the event loop or from a thread.

    A process whose event loop gets to its end too late would be killed, and with it the
    lines of the requests that it still has. The thread ends it before that.
    """

    writer: LineWriter
    _requests: RequestsInProgress | None = None
    _until_s: float | None = None
    """When the process has to have ended, on the monotonic clock."""
    _ahead_s: float = 0.0
    """By how much the time of the plan is ahead of the monotonic clock."""
    _ending: threading.Lock = attrs.field(factory=threading.Lock)

    @classmethod
    def from_descriptor(cls, descriptor: int) -> Self:
        """Return the end of a process whose log goes to a descriptor."""
        writer = LineWriter(descriptor)
        writer.start()
        return cls(writer)

    def observe(self, requests: RequestsInProgress) -> None:
        """Log the ends of these requests as well, however the process ends."""
        self._requests = requests

    def limit(self, state: NodeState, plan: StopPlan) -> None:
        """End the process in time, even if the event loop doesn't.

        Args:
            state: The state of the node, which stops.
            plan: The plan of the stop.
        """
        self.observe(state.requests)
        self._ahead_s = state.timer.suspension.total_s
        self._until_s = plan.grace_until_s - self._ahead_s
        left_s = plan.exit_by_s - self._ahead_s - time.monotonic()
        watching = threading.Timer(left_s, self._end_late)
        watching.daemon = True
        watching.start()

    def _end_late(self) -> None:
        # Each write of a line lets the other thread go on.
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.exit(is_forced=True)

    async def close(
        self, state: NodeState, *closing: Callable[[], Awaitable[None]]
    ) -> None:
        """Close the components of a node in order, as far as there is time.

        Args:
            state: The state of the node, which has left.
            closing: The functions that close the components.
        """
        left_s = state.stop.close_limit_s(state.timer.now_s())
        limit_s = min(CLOSE_LIMIT_S, left_s)

        async def close_all() -> None:
            for close in closing:
                await close()

        # It is not cancelled: whatever swallows a cancellation would be waited for.
        task = asyncio.ensure_future(close_all())
        await asyncio.wait((task,), timeout=limit_s)
        if not task.done():
            # Every request is answered by now, so the process need not wait any longer.
            log_event("close_cut_short", limit_s=round(limit_s, 3))
        elif task.exception() is not None:
            log_event("close_failed", error=repr(task.exception()))

    def fail(self, error: Exception) -> NoReturn:
        """End the process because of an exception."""
        traceback.print_exception(error)
        log_event("node_failed", error=repr(error))
        self.exit(EXIT_FAILED)

    def exit(self, status: int = 0, *, is_forced: bool = False) -> NoReturn:
        """Log what is left to log, and end the process; the first call does.

        Args:
            status: Exit status.
            is_forced: Whether the event loop did not get to it in time.
        """
        if not self._ending.acquire(blocking=False):
            # The other thread ends the process.
            threading.Event().wait()
        log_end = partial(self._log_end, is_forced)
        for step in (self._log_unended, log_end, self._close_log, self._report_lost):
            try:
                step()
            except Exception as error:
                traceback.print_exception(error)
        # Nothing is left to do. An interpreter with little processor time takes longer
        # to clear its memory than is left of the grace period.
        os._exit(status)

    def _log_limit_s(self) -> float:
        if self._until_s is None:
            return LOG_LIMIT_S
        return max(self._until_s - time.monotonic() - MIN_LOG_S, MIN_LOG_S)

    def _close_log(self) -> None:
        self.writer.close(self._log_limit_s())

    def _log_unended(self) -> None:
        if self._requests is not None:
            self._requests.log_unended(time.monotonic() + self._ahead_s)

    def _log_end(self, is_forced: bool) -> None:
        requests = self._requests
        counts = self.writer.counts
        log_event(
            "node_stopped",
            forced=is_forced,
            accepted=requests.accepted_count if requests is not None else "",
            ended=requests.ended_count if requests is not None else "",
            relaying=requests.relaying_count if requests is not None else "",
            required_lines=counts.written_required,
            lines_dropped=counts.dropped,
            required_dropped=counts.dropped_required,
        )

    def _report_lost(self) -> None:
        """Tell of lost lines on another stream than the one that lost them."""
        counts = self.writer.counts
        if counts.dropped_required:
            print(
                f"fordhatchd: event=lines_lost count={counts.dropped} "
                f"required={counts.dropped_required}",
                file=sys.stderr,
                flush=True,
            )
