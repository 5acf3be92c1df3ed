"""How long recent answers took, by route."""

from __future__ import annotations

from collections import deque

import attrs

REMEMBERED_ANSWERS = 64
"""Answers of a route that are remembered. Their longest one is exceeded by about one
answer in as many."""


@attrs.define(eq=False, repr=False)
class AnswerTimes:
    """Remembers how long the newest complete answers of each route took."""

    _seconds: dict[str, deque[float]] = attrs.field(factory=dict)

    def record(self, route: str, took_s: float) -> None:
        """Record a complete answer.

        Args:
            route: The name of its route.
            took_s: Time from its first attempt to its end, in seconds.
        """
        if route not in self._seconds:
            self._seconds[route] = deque(maxlen=REMEMBERED_ANSWERS)
        self._seconds[route].append(took_s)

    def longest_s(self, route: str) -> float | None:
        """Return the longest time of those, in seconds; None before the first one."""
        return max(self._seconds.get(route, ()), default=None)
