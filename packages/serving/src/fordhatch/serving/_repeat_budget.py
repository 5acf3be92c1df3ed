"""Keeps the sends beyond the first of each request within the system's budget."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import attrs

from fordhatch.catalog import SystemBounds
from fordhatch.core import Timer

SAFETY_SHARE = 0.85
"""Share of the budget that is used: sends are counted where they arrive, a little
later, and nodes learn of each other with a delay."""


START_SHARE = 0.3
"""Share of the slack that a node has at its start; it grows to the whole within one
window. An earlier start of the node may just have used its share."""


@attrs.define
class _Window:
    firsts: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)

    def trim(self, before_s: float) -> None:
        for moments in (self.firsts, self.repeats):
            while moments and moments[0] < before_s:
                moments.popleft()


@attrs.define(eq=False, repr=False)
class RepeatBudget:
    """This node's share of the budget for repeats, by service.

    The ratio counts this node's own requests; the slack, which is one number for the
    whole system, is divided among the nodes.
    """

    bounds: SystemBounds
    timer: Timer
    node_count: Callable[[], int]
    rounding: float = 0.0
    """From 0 to 1, another one on each node: the part of a repeat from which a node
    rounds its share up. With many nodes a share is two repeats or less than one: if
    all of them rounded down, 195 nodes would use none of the 126 repeats that they may
    use at a start, and 390 of 421 later. This way they use all of them, and spread
    about that by the root of a quarter of their number, by 7."""
    _windows: dict[str, _Window] = attrs.field(factory=dict)
    _started_s: float | None = None
    _node_counts: deque[tuple[float, int]] = attrs.field(factory=deque)

    def _window(self, service: str) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.trim(self.timer.now_s() - self.bounds.retry_window_s)
        return window

    def count_first(self, service: str) -> None:
        """Count a caller's request."""
        self._window(service).firsts.append(self.timer.now_s())

    def allowed(self, service: str) -> float:
        """Return how many repeats this node may have sent within the window."""
        earned = self.bounds.retry_budget_ratio * len(self._window(service).firsts)
        slack = self.bounds.retry_slack / self._most_nodes()
        return SAFETY_SHARE * (earned + slack * self._window_share())

    def _most_nodes(self) -> int:
        """Return the most nodes that there were within the window.

        A node that leaves has used its share, and others may not use it again.
        """
        now_s = self.timer.now_s()
        while self._node_counts and self._node_counts[0][0] < (
            now_s - self.bounds.retry_window_s
        ):
            self._node_counts.popleft()
        self._node_counts.append((now_s, max(self.node_count(), 1)))
        return max(count for _, count in self._node_counts)

    def _window_share(self) -> float:
        """Return the share of the slack that this node may use by now."""
        now_s = self.timer.now_s()
        if self._started_s is None:
            self._started_s = now_s
        uptime_s = now_s - self._started_s
        grown = (1.0 - START_SHARE) * uptime_s / self.bounds.retry_window_s
        return min(START_SHARE + grown, 1.0)

    def spend(self, service: str) -> bool:
        """Take one repeat; returns False where none is left."""
        window = self._window(service)
        if len(window.repeats) >= math.floor(self.allowed(service) + self.rounding):
            return False
        window.repeats.append(self.timer.now_s())
        return True
