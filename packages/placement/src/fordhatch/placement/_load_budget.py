"""Keeps loads of weights below the rate that the weight store allows."""

from __future__ import annotations

from collections import deque

import attrs

from fordhatch.core import Timer

SAFETY_SHARE = 0.8
"""Share of the allowed rate that is used: orders may begin later than they are
sent, and an earlier planner may have sent some."""


@attrs.define(eq=False, repr=False)
class LoadBudget:
    """Loads that this planner has begun within the window."""

    timer: Timer
    window_s: float
    _begun: deque[float] = attrs.field(factory=deque)

    def take(self, loads_per_s: float, count: int) -> bool:
        """Take loads from the budget; returns False where they don't fit.

        Args:
            loads_per_s: The rate that the weight store allows.
            count: Loads that would begin now.
        """
        now_s = self.timer.now_s()
        while self._begun and self._begun[0] <= now_s - self.window_s:
            self._begun.popleft()
        allowed = loads_per_s * self.window_s * SAFETY_SHARE
        if len(self._begun) + count > allowed:
            return False
        self._begun.extend([now_s] * count)
        return True

    def fill(self, loads_per_s: float) -> None:
        """Count as if the whole window were used, by an earlier planner."""
        count = int(loads_per_s * self.window_s * SAFETY_SHARE)
        self._begun.extend([self.timer.now_s()] * count)
