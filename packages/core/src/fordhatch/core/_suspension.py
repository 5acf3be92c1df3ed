"""Measures machine suspensions, which the monotonic clock does not count."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

MIN_SUSPENSION_S = 0.2
"""Smaller changes of the difference between the clocks are ignored.

The clocks are read some microseconds apart, and milliseconds apart when the process is
preempted between the two readings.
"""

CLOCK_SAMPLES = 3
"""Number of readings that confirm a difference between the clocks.

A process that is paused between two readings while the machine keeps running must not
detect a suspension; the smallest difference of several readings excludes such a pause.
"""


def _boot_s() -> float:
    """Return seconds since the machine booted, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(eq=False, repr=False)
class Suspension:
    """Accumulates the time for which the machine was suspended.

    The monotonic clock stops during a suspension. A node that used this clock alone
    would not notice that its configuration, its lease and its callers' deadlines have
    aged: it would accept API keys that were removed meanwhile, and would act as planner
    next to another planner.
    """

    monotonic_clock: Callable[[], float] = time.monotonic
    boot_clock: Callable[[], float] = _boot_s
    total_s: float = 0.0
    """Seconds of suspension detected by ``poll`` since the object was created."""
    _offset_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Record the current difference between the clocks as the baseline."""
        self._offset_s = min(self._difference_s() for _ in range(CLOCK_SAMPLES))

    def _difference_s(self) -> float:
        monotonic_s = self.monotonic_clock()
        return self.boot_clock() - monotonic_s

    def poll(self) -> float:
        """Read the clocks and update ``total_s``.

        Returns:
            Seconds for which the machine was suspended since the previous poll, usually
            0.
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
