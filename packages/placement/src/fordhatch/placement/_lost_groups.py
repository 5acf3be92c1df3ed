"""How many groups of each model are missing on average because members were lost.

A group of twelve is lost three times as often as one of four, and heals more slowly, as
more of its domain must be ready. How often and how slowly differs from day to day, so
that it is observed: a lost group counts until another one of its model opens.
"""

from __future__ import annotations

import math
from collections import Counter, deque

import attrs

AVERAGE_S = 15.0
"""Time over which missing groups are averaged: losses come every few seconds in bad
times, and some of them must fall into it."""

FORGOTTEN_S = 12.0
"""A lost group that nothing has replaced for this long is no longer missing: the layout
has settled without it."""


ONE_LOSS = 0.25
"""Groups that are missing on average right after a single loss that took some four
seconds to heal."""


@attrs.define(eq=False, repr=False)
class LostGroups:
    """Groups that were lost and not replaced yet, by model, and their average."""

    _lost_s: dict[str, deque[float]] = attrs.field(factory=dict)
    """When the groups were lost that are missing, the oldest first."""
    _missing: dict[str, float] = attrs.field(factory=dict)
    _last_s: float = math.nan

    def lost(self, model: str, now_s: float) -> None:
        """Note that a group of a model was lost."""
        self._lost_s.setdefault(model, deque()).append(now_s)

    def opened(self, model: str) -> None:
        """Note that another group of a model has opened."""
        lost_s = self._lost_s.get(model)
        if lost_s:
            lost_s.popleft()

    def step(self, now_s: float) -> None:
        """Follow the average."""
        passed_s = 0.0 if math.isnan(self._last_s) else now_s - self._last_s
        weight = -math.expm1(-max(passed_s, 0.0) / AVERAGE_S)
        self._last_s = now_s
        for model, lost_s in self._lost_s.items():
            while lost_s and now_s - lost_s[0] > FORGOTTEN_S:
                lost_s.popleft()
            known = self._missing.get(model, 0.0)
            self._missing[model] = known + weight * (len(lost_s) - known)

    def missing(self) -> Counter[str]:
        """Return how many groups of each model are missing on average."""
        return Counter(self._missing)

    def beyond_chance(self) -> Counter[str]:
        """Return how many are missing beyond what a single loss explains.

        One loss says nothing of how often groups are lost: after it, groups of
        another model gave way for a third one of two.
        """
        return Counter(
            {model: max(m - ONE_LOSS, 0.0) for model, m in self._missing.items()}
        )

    def forget(self) -> None:
        """Forget everything; another planner goes on."""
        self._lost_s.clear()
        self._missing.clear()
        self._last_s = math.nan
