"""The time for which the machine was suspended, which the steady clock leaves out."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

MIN_SUSPENSION_S = 0.2
"""A smaller difference of the clocks is none: it takes some microseconds to read one
after the other, and a process that has to wait for the processor in between reads the
second one later, by milliseconds."""

CLOCK_SAMPLES = 3
"""Times that the clocks are read before a difference is believed: a process that stands
still between both readings, but whose machine goes on, must not see one."""


def _boot_s() -> float:
    """Return seconds since the machine was started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(eq=False, repr=False)
class Suspension:
    """Adds up how long the machine was suspended since this was made.

    A machine that is suspended for some seconds finds its knowledge, its lease and its
    callers' deadlines as old as they were before, if it asks the steady clock alone. It
    would use API keys that were removed meanwhile, and plan beside another planner.
    """

    monotonic_clock: Callable[[], float] = time.monotonic
    boot_clock: Callable[[], float] = _boot_s
    total_s: float = 0.0
    """Seconds for which the machine was suspended, as far as ``look`` has seen."""
    _offset_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Take the clocks' present difference for none."""
        self._offset_s = min(self._difference_s() for _ in range(CLOCK_SAMPLES))

    def _difference_s(self) -> float:
        steady_s = self.monotonic_clock()
        return self.boot_clock() - steady_s

    def poll(self) -> float:
        """Read the clocks.

        Returns:
            Seconds for which the machine was suspended since the last look; nearly
            always 0.
        """
        if self._difference_s() - self._offset_s < MIN_SUSPENSION_S:
            return 0.0
        offset_s = min(self._difference_s() for _ in range(CLOCK_SAMPLES))
        suspended_s = offset_s - self._offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        self.total_s += suspended_s
        return suspended_s
