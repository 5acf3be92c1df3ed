"""What this node has seen of backend servers lately."""

from __future__ import annotations

from collections import Counter

import attrs

from fordhatch.core import Timer

PENALTY_FIRST_S = 0.5
"""How long a backend server is avoided after one failure."""

PENALTY_MOST_S = 6.0
"""Longest time that failures in a row keep a backend server avoided."""


SMOOTHING = 0.3
"""Weight of the newest observation in averages: about five count."""

SLOW_FROM = 1.6
"""A head that takes this many times longer between events than the engine's formula
says is slow; the formula leaves out the prompts that are read in between."""

SLOW_FOR_S = 4.0
"""How long an observation of slowness counts: a slow backend server gets few requests
and would otherwise never be seen to have recovered."""


TIE_SHARE = 0.1
"""Random part of a choice's cost, in requests in flight: equals take turns."""


@attrs.define
class _Record:
    failures: int = 0
    avoid_until_s: float = 0.0
    typical_s: float = 0.0
    slowness: float = 1.0
    slowness_seen_s: float = 0.0


@attrs.define(eq=False, repr=False)
class BackendHealth:
    """Requests in flight, failures and usual answer times by backend server."""

    timer: Timer
    in_flight: Counter[str] = attrs.field(factory=Counter)
    _records: dict[str, _Record] = attrs.field(factory=dict)

    def failed(self, backend_id: str) -> None:
        """Count a failure; failures in a row count more."""
        record = self._records.setdefault(backend_id, _Record())
        record.failures += 1
        penalty_s = PENALTY_FIRST_S * 2 ** (record.failures - 1)
        until_s = self.timer.now_s() + min(penalty_s, PENALTY_MOST_S)
        record.avoid_until_s = max(record.avoid_until_s, until_s)

    def succeeded(self, backend_id: str, took_s: float) -> None:
        """Count a complete answer."""
        record = self._records.setdefault(backend_id, _Record())
        record.failures = 0
        record.avoid_until_s = 0.0
        weight = SMOOTHING if record.typical_s else 1.0
        record.typical_s += weight * (took_s - record.typical_s)

    def is_avoided(self, backend_id: str) -> bool:
        """Return whether failures are so recent that others go first."""
        record = self._records.get(backend_id)
        return record is not None and record.avoid_until_s > self.timer.now_s()

    def typical_s(self, backend_id: str) -> float:
        """Return the usual time of an answer, in seconds; 0 where unknown."""
        record = self._records.get(backend_id)
        return record.typical_s if record is not None else 0.0

    def note_pause(self, backend_id: str, pause_s: float, expected_s: float) -> None:
        """Note the time between two events of a stream, and what it should be."""
        record = self._records.setdefault(backend_id, _Record())
        ratio = pause_s / max(expected_s, 0.001)
        record.slowness += SMOOTHING * (ratio - record.slowness)
        record.slowness_seen_s = self.timer.now_s()

    def slowness(self, backend_id: str) -> float:
        """Return how many times slower than usual a head is; 1 for one that is not."""
        record = self._records.get(backend_id)
        if record is None or record.slowness < SLOW_FROM:
            return 1.0
        if self.timer.now_s() - record.slowness_seen_s > SLOW_FOR_S:
            return 1.0
        return record.slowness

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget backend servers that are gone."""
        for backend_id in set(self._records) - backend_ids:
            del self._records[backend_id]
        for backend_id in [b for b, n in self.in_flight.items() if n <= 0]:
            del self.in_flight[backend_id]
