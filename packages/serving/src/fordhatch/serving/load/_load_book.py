"""The collector's book: the load that each node has reported, and the totals."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from ._shared_load import BackendLoad

REPORT_VALIDITY_S = 1.0
"""A node's report is dropped when it is older than this: the node has terminated, is
suspended or reports to another collector."""

GATHER_S = 0.35
"""Time that a new collector needs for a report from every node: the interval between
reports with its jitter, and their time on the way."""


@attrs.frozen
class _Report:
    at_s: float
    loads: Mapping[int, BackendLoad]


@attrs.define(eq=False, repr=False)
class LoadBook:
    """Reports by node, and their sums by key of the backend server."""

    _reports: dict[str, _Report] = attrs.field(factory=dict)
    """By node, the oldest report first."""
    _sums: dict[int, BackendLoad] = attrs.field(factory=dict)
    _sum_at_s: float = 0.0
    """Sum of the times of all reports, in monotonic seconds."""
    _since_s: float = math.inf
    """When the first report arrived while there was none, in monotonic seconds."""

    def record(self, node: str, loads: Mapping[int, BackendLoad], now_s: float) -> None:
        """Replace a node's report.

        Args:
            node: The node.
            loads: Its requests in flight by key of the backend server.
            now_s: Monotonic seconds.
        """
        self._expire(now_s)
        if not self._reports:
            self._since_s = now_s
        self._drop(node)
        self._reports[node] = _Report(now_s, loads)
        self._sum_at_s += now_s
        for backend_id, load in loads.items():
            total = self._sums.setdefault(backend_id, BackendLoad())
            total.requests += load.requests
            total.tokens += load.tokens

    def has_reports(self, now_s: float) -> bool:
        """Return whether any node has reported recently."""
        self._expire(now_s)
        return bool(self._reports)

    def count(self) -> int:
        """Return the number of nodes whose reports are in the book."""
        return len(self._reports)

    def is_complete(self, now_s: float) -> bool:
        """Return whether every node has had the time to report.

        Args:
            now_s: Monotonic seconds.
        """
        self._expire(now_s)
        return bool(self._reports) and now_s - self._since_s >= GATHER_S

    def totals_without(self, node: str) -> dict[int, BackendLoad]:
        """Return the totals by key, without one node's report."""
        report = self._reports.get(node)
        own = report.loads if report is not None else {}
        totals = {}
        for backend_id, load in self._sums.items():
            mine = own.get(backend_id)
            if mine is None:
                totals[backend_id] = BackendLoad(load.requests, load.tokens)
            elif load.requests > mine.requests:
                totals[backend_id] = BackendLoad(
                    load.requests - mine.requests, load.tokens - mine.tokens
                )
        return totals

    def mean_age_s(self, now_s: float) -> float:
        """Return the mean age of all reports in seconds; 0 without any."""
        if not self._reports:
            return 0.0
        return max(now_s - self._sum_at_s / len(self._reports), 0.0)

    def _expire(self, now_s: float) -> None:
        while self._reports:
            node = next(iter(self._reports))
            if now_s - self._reports[node].at_s <= REPORT_VALIDITY_S:
                return
            self._drop(node)

    def _drop(self, node: str) -> None:
        report = self._reports.pop(node, None)
        if report is None:
            return
        self._sum_at_s -= report.at_s
        for backend_id, load in report.loads.items():
            total = self._sums[backend_id]
            total.requests -= load.requests
            total.tokens -= load.tokens
            if total.requests == 0:
                del self._sums[backend_id]
