"""The signal that tells a node's process to stop."""

from __future__ import annotations

import asyncio
import signal
from typing import Self

import attrs

from fordhatch.core import LoopWatch, TaskSet, Timer

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@attrs.define(eq=False, repr=False)
class StopSignal:
    """Waits for a signal to stop, and knows when it may have come."""

    watch: LoopWatch
    _received: asyncio.Event = attrs.field(factory=asyncio.Event)
    _since_s: float | None = None
    """The earliest time at which the first signal may have come."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def listen(
        cls, timer: Timer, numbers: tuple[signal.Signals, ...] = STOP_SIGNALS
    ) -> Self:
        """Listen for the signals; a running event loop is required.

        Args:
            timer: The node's timer.
            numbers: The signals that tell the process to stop.
        """
        stop = cls(LoopWatch(timer))
        loop = asyncio.get_running_loop()
        for number in numbers:
            loop.add_signal_handler(number, stop._receive)
        stop._tasks.spawn(stop.watch.run(), "loop-watch")
        return stop

    def _receive(self) -> None:
        if self._since_s is None:
            self._since_s = self.watch.earliest_s()
        self._received.set()

    async def wait(self) -> float:
        """Wait for a signal.

        Returns:
            The earliest time at which it may have come, in monotonic seconds.
        """
        await self._received.wait()
        return self._since_s

    def lateness_s(self) -> float:
        """Return how late the event loop has been lately, in seconds."""
        return self.watch.lateness_s()

    async def close(self) -> None:
        """Stop watching the event loop."""
        await self._tasks.close()
