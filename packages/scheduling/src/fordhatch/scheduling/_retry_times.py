"""Times at which refused callers are told to retry."""

from __future__ import annotations

import attrs

MAX_RETRY_FRACTION = 1.0 / 3.0
"""Callers honour a retry time up to this fraction of their remaining time."""

MIN_RETRY_S = 0.05
"""Shortest retry time, in seconds: a retry that comes at once finds the same queue."""

CAPPED_SPREAD = 0.5
"""Part of the longest retry time over which callers are spread who would have to wait
longer than that."""

MIN_REQUESTS_PER_S = 0.5
"""Lower bound of the rate of retries, in requests per second: while nothing completes,
retries are two seconds apart."""


@attrs.define(eq=False, repr=False)
class RetryTimes:
    """Spreads the retries of a model's refused callers over time.

    Each caller reserves a retry time of its own, at the rate at which requests
    complete, after those reserved for the same and for lower levels.
    """

    _next_s: dict[int, float] = attrs.field(factory=dict)
    """Earliest retry time of each level that is not reserved, in monotonic seconds."""

    def book(
        self,
        level: int,
        *,
        free_in_s: float,
        left_s: float,
        requests_per_s: float,
        spread: float,
        now_s: float,
    ) -> float:
        """Reserve a retry time, and return the time until then, in seconds.

        If that is longer than the caller is asked to wait, nothing is reserved, and the
        result is a random time close to the longest one.

        Args:
            level: Level of its request; lower levels go first.
            free_in_s: Time until a request of that level would be served in time.
            left_s: Time that the caller has left.
            requests_per_s: Rate at which requests complete, of this node's part.
            spread: A random number from 0 to 1, drawn for each caller.
            now_s: Current time in monotonic seconds.
        """
        step_s = 1.0 / max(requests_per_s, MIN_REQUESTS_PER_S)
        most_s = MAX_RETRY_FRACTION * max(left_s, 0.0)
        reserved = (at_s for other, at_s in self._next_s.items() if other <= level)
        free_s = max(reserved, default=now_s)
        retry_s = max(now_s + max(free_in_s, MIN_RETRY_S), free_s)
        retry_after_s = retry_s + spread * step_s - now_s
        if retry_after_s <= most_s:
            self._next_s[level] = retry_s + step_s
        else:
            retry_after_s = most_s * (1.0 - CAPPED_SPREAD * spread)
        return retry_after_s
