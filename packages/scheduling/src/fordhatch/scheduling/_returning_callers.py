"""Recognizes callers who were refused before by the time they have left."""

from __future__ import annotations

import attrs

USUAL_FRACTION = 0.98
"""A deadline of at least this fraction of the usual one counts as the usual one."""

RETURNING_FRACTION = 0.95
"""Below this fraction of the usual deadline the caller has spent time on an attempt."""

MIN_SAMPLES = 20
"""Number of a route's requests before any of them is taken for a retry."""

MIN_USUAL = 0.6
"""Smallest fraction of a route's requests with the usual deadline. Where deadlines
differ more than that, they say nothing about earlier attempts."""

MIN_USUAL_KEPT = 0.2
"""Below this fraction with the usual deadline another one is determined, so that a
single long deadline does not stay the usual one."""

FIRST_USUAL = 0.5
"""Fraction with the usual deadline that is assumed before any request."""

SMOOTHING = 0.02
"""Weight of the newest request in the fraction with the usual deadline."""


@attrs.define
class ReturningCallers:
    """The deadlines of one route's requests.

    Callers of a route start with the same deadline and state the time that they have
    left. A retry is not marked otherwise. A wrong guess has no effect beyond this: the
    request is not refused while anything serves.
    """

    usual_s: float = 0.0
    """The usual deadline, in seconds: the longest one since it was determined anew."""
    _samples: int = 0
    _usual_fraction: float = FIRST_USUAL
    """Moving average of the fraction with the usual deadline."""

    def record(self, deadline_s: float | None) -> bool:
        """Record a request's deadline, and return whether it is taken for a retry.

        Args:
            deadline_s: Time that the caller has left, in seconds; None if not stated.
        """
        if deadline_s is None or not 0 < deadline_s < float("inf"):
            return False
        is_longer = deadline_s * USUAL_FRACTION > self.usual_s
        if is_longer or self._usual_fraction < MIN_USUAL_KEPT:
            self.usual_s = deadline_s
            self._samples, self._usual_fraction = 0, FIRST_USUAL
        is_usual = deadline_s >= USUAL_FRACTION * self.usual_s
        self._samples += 1
        self._usual_fraction += SMOOTHING * (is_usual - self._usual_fraction)
        if self._samples < MIN_SAMPLES or self._usual_fraction < MIN_USUAL:
            return False
        return deadline_s < RETURNING_FRACTION * self.usual_s
