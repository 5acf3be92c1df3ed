"""Average number of missing groups of each model after losses of members.

A group of twelve is lost three times as often as one of four and takes longer to
replace, since more of its domain must be ready. Rates of loss and replacement vary, so
they are observed: a lost group counts as missing until another of its model opens.
"""

from __future__ import annotations

import math
from collections import Counter, deque

import attrs

AVERAGING_TIME_S = 15.0
"""Averaging time of missing groups: with losses every few seconds, it must cover some
of them."""

MAX_MISSING_S = 12.0
"""A lost group without a replacement for this long no longer counts as missing: the
layout has settled without it."""

SINGLE_LOSS_AVERAGE = 0.25
"""Average of missing groups right after a single loss with a replacement after about
four seconds."""


@attrs.define(eq=False, repr=False)
class LostGroups:
    """Track lost groups without a replacement, by model, and their average number."""

    _lost_at_s: dict[str, deque[float]] = attrs.field(factory=dict)
    """Times of loss of the groups that are missing, the oldest first."""
    _missing: dict[str, float] = attrs.field(factory=dict)
    _last_step_s: float = math.nan

    def record_lost(self, model: str, now_s: float) -> None:
        """Record the loss of a group."""
        self._lost_at_s.setdefault(model, deque()).append(now_s)

    def record_opened(self, model: str) -> None:
        """Record that a group has opened; it replaces the oldest lost one."""
        lost_at_s = self._lost_at_s.get(model)
        if lost_at_s:
            lost_at_s.popleft()

    def step(self, now_s: float) -> None:
        """Update the averages."""
        passed_s = 0.0 if math.isnan(self._last_step_s) else now_s - self._last_step_s
        weight = -math.expm1(-max(passed_s, 0.0) / AVERAGING_TIME_S)
        self._last_step_s = now_s
        for model, lost_at_s in self._lost_at_s.items():
            while lost_at_s and now_s - lost_at_s[0] > MAX_MISSING_S:
                lost_at_s.popleft()
            average = self._missing.get(model, 0.0)
            self._missing[model] = average + weight * (len(lost_at_s) - average)

    def missing(self) -> Counter[str]:
        """Return the average number of missing groups of each model."""
        return Counter(self._missing)

    def missing_beyond_one_loss(self) -> Counter[str]:
        """Return the average number of missing groups, less the effect of one loss.

        A single loss does not indicate a rate of losses. Without this correction,
        groups of another model were given up for a third group of a model that has
        work for two.
        """
        return Counter(
            {
                model: max(m - SINGLE_LOSS_AVERAGE, 0.0)
                for model, m in self._missing.items()
            }
        )

    def forget(self) -> None:
        """Clear all state when another planner takes over."""
        self._lost_at_s.clear()
        self._missing.clear()
        self._last_step_s = math.nan
