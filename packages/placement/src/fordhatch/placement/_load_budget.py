"""Rate limit for loads of weights from the weight store."""

from __future__ import annotations

from collections import deque

import attrs

from fordhatch.core import Timer

USED_FRACTION = 0.8
"""Fraction of the allowed rate that is used: loads may begin after their orders are
sent, and an earlier planner may have sent some."""


@attrs.define(eq=False, repr=False)
class LoadBudget:
    """Count the loads that this planner has started within the window."""

    timer: Timer
    window_s: float
    _started_s: deque[float] = attrs.field(factory=deque)

    def try_reserve(self, loads_per_s: float, count: int) -> bool:
        """Reserve loads if the rate allows them.

        Args:
            loads_per_s: The rate that the weight store allows.
            count: Number of loads to start now.

        Returns:
            Whether the loads were reserved.
        """
        now_s = self.timer.now_s()
        while self._started_s and self._started_s[0] <= now_s - self.window_s:
            self._started_s.popleft()
        allowed = loads_per_s * self.window_s * USED_FRACTION
        if len(self._started_s) + count > allowed:
            return False
        self._started_s.extend([now_s] * count)
        return True

    def mark_used(self, loads_per_s: float) -> None:
        """Mark the window as used up by an earlier planner."""
        count = int(loads_per_s * self.window_s * USED_FRACTION)
        self._started_s.extend([self.timer.now_s()] * count)
