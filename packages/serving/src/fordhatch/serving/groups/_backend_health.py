"""Recent requests, failures and response times of each backend server."""

from __future__ import annotations

from collections import Counter

import attrs

from fordhatch.core import Timer

FIRST_PENALTY_S = 0.5
"""How long a backend server is avoided after one failure, in seconds."""

MAX_PENALTY_S = 6.0
"""Longest time that consecutive failures keep a backend server avoided, in seconds."""


SMOOTHING = 0.3
"""Weight of the newest observation in moving averages; about five observations
count."""

SLOW_RATIO = 1.6
"""A head is slow from this ratio of the measured event interval to the interval that
the engine's formula gives. The formula leaves out the prompts that are read in
between."""

SLOWNESS_VALIDITY_S = 4.0
"""How long an observation of slowness counts, in seconds. A slow backend server gets
few requests, so without an expiry its recovery would never be observed."""


TIE_BREAK_FRACTION = 0.1
"""Random part of a choice's cost, in requests in flight; it spreads requests over
equally loaded backend servers."""


@attrs.define
class _Record:
    failures: int = 0
    avoid_until_s: float = 0.0
    typical_s: float = 0.0
    slowness: float = 1.0
    slowness_seen_s: float = 0.0


@attrs.define(eq=False, repr=False)
class BackendHealth:
    """Requests in flight, failures and typical response times by backend server."""

    timer: Timer
    in_flight: Counter[str] = attrs.field(factory=Counter)
    _records: dict[str, _Record] = attrs.field(factory=dict)

    def record_failure(self, backend_id: str) -> None:
        """Record a failure; the penalty doubles with each consecutive one."""
        record = self._records.setdefault(backend_id, _Record())
        record.failures += 1
        penalty_s = FIRST_PENALTY_S * 2 ** (record.failures - 1)
        until_s = self.timer.now_s() + min(penalty_s, MAX_PENALTY_S)
        record.avoid_until_s = max(record.avoid_until_s, until_s)

    def record_success(self, backend_id: str, took_s: float) -> None:
        """Record a complete answer.

        Args:
            backend_id: The backend server that answered.
            took_s: Time from the request to the end of the answer, in seconds.
        """
        record = self._records.setdefault(backend_id, _Record())
        record.failures = 0
        record.avoid_until_s = 0.0
        weight = SMOOTHING if record.typical_s else 1.0
        record.typical_s += weight * (took_s - record.typical_s)

    def is_avoided(self, backend_id: str) -> bool:
        """Return whether recent failures make other backend servers preferred."""
        record = self._records.get(backend_id)
        return record is not None and record.avoid_until_s > self.timer.now_s()

    def typical_s(self, backend_id: str) -> float:
        """Return the typical response time in seconds; 0 if it is unknown."""
        record = self._records.get(backend_id)
        return record.typical_s if record is not None else 0.0

    def record_event_interval(
        self, backend_id: str, pause_s: float, expected_s: float
    ) -> None:
        """Record the time between two events of a stream.

        Args:
            backend_id: The head that sent the events.
            pause_s: Measured interval, in seconds.
            expected_s: Interval that the engine's formula gives, in seconds.
        """
        record = self._records.setdefault(backend_id, _Record())
        ratio = pause_s / max(expected_s, 0.001)
        record.slowness += SMOOTHING * (ratio - record.slowness)
        record.slowness_seen_s = self.timer.now_s()

    def slowness(self, backend_id: str) -> float:
        """Return how many times slower than expected a head is; 1 if it is not slow."""
        record = self._records.get(backend_id)
        if record is None or record.slowness < SLOW_RATIO:
            return 1.0
        if self.timer.now_s() - record.slowness_seen_s > SLOWNESS_VALIDITY_S:
            return 1.0
        return record.slowness

    def keep_only(self, backend_ids: set[str]) -> None:
        """Drop the state of backend servers that are no longer listed."""
        for backend_id in set(self._records) - backend_ids:
            del self._records[backend_id]
        for backend_id in [b for b, n in self.in_flight.items() if n <= 0]:
            del self.in_flight[backend_id]
