"""Event loop in virtual time on which processor time can be spent."""

from __future__ import annotations

import asyncio

import looptime

IDLE_CYCLES = 1
"""Cycles of the loop without any work before the clock moves on. The library's own 42
are for threads that are about to add work; nothing here uses any."""


class VirtualLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """Skips the times in which all tasks wait, and can be kept busy.

    Callbacks take no time of their own. ``spend`` lets the clock advance within one,
    as it does where a callback needs the processor: all timers that are due meanwhile
    fire late, and everything else waits for its turn.
    """

    _spent_s: float = 0.0

    def __init__(self) -> None:
        super().__init__(noop_cycles=IDLE_CYCLES)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return super().time() + self._spent_s

    def spend(self, duration_s: float) -> None:
        """Occupy the processor.

        Args:
            duration_s: Processor time, in seconds.
        """
        self._spent_s += duration_s


def spend_processor_time(duration_s: float) -> None:
    """Occupy the processor of the running virtual loop, if there is one.

    Args:
        duration_s: Processor time, in seconds.
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, VirtualLoop):
        loop.spend(duration_s)
