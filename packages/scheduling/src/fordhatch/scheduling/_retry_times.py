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
"""Lower bound of the rate at which callers are asked back, in requests per second."""


@attrs.define(eq=False, repr=False)
class RetryTimes:
    """Spreads refused callers of a model over the time at which there is capacity.

    Each of them has its own place at the rate at which requests complete. Callers are
    placed behind those of the same and of lower levels.
    """

    _next_s: dict[int, float] = attrs.field(factory=dict)
    """The first free place of each level, in monotonic seconds."""

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
        """Return after which time a refused caller should retry, in seconds.

        Args:
            level: Level of its request; lower levels go first.
            free_in_s: Time until a request of that level would be served in time.
            left_s: Time that the caller has left.
            requests_per_s: Rate at which requests complete, of this node's part.
            spread: A number from 0 to 1, different for each caller.
            now_s: Current time in monotonic seconds.
        """
        step_s = 1.0 / max(requests_per_s, MIN_REQUESTS_PER_S)
        most_s = MAX_RETRY_FRACTION * max(left_s, 0.0)
        taken_s = max((t for q, t in self._next_s.items() if q <= level), default=now_s)
        place_s = max(now_s + max(free_in_s, MIN_RETRY_S), taken_s)
        retry_after_s = place_s + spread * step_s - now_s
        if retry_after_s <= most_s:
            self._next_s[level] = place_s + step_s
        else:
            retry_after_s = most_s * (1.0 - CAPPED_SPREAD * spread)
        return retry_after_s
