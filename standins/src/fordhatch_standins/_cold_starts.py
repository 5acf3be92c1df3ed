"""Cold engines, which tolerate few requests, and checks that they get no more."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

RATE_WINDOW_S = 1.0
"""Time over which the requests to a cold engine are counted."""


@attrs.define(eq=False, repr=False)
class ColdStarts:
    """Counts the requests to cold engines, by id."""

    per_s: float = 0.0
    """Requests a second that a cold engine tolerates; 0 for any number."""
    overrun: float = 1.5
    slack: float = 5.0
    """A second may contain ``overrun`` times the tolerated requests plus ``slack``."""
    crash_factor: float = 1.5
    """An engine crashes above this multiple of the bound."""
    tells_in_answers: bool = True
    """Whether answers to requests and to health checks report the coldness."""
    breaches: list[str] = attrs.field(factory=list)
    worst: int = 0
    """Largest number of requests to one cold engine within one second."""
    requests: int = 0
    """Number of requests to cold engines."""
    crashes: int = 0
    _arrivals_s: dict[str, deque[float]] = attrs.field(factory=dict)

    @property
    def bound(self) -> float:
        """Maximum number of requests within one second."""
        return self.overrun * self.per_s + self.slack

    def arrived(self, backend_id: str, left_s: float) -> bool:
        """Record a request and return whether it crashes the engine.

        Args:
            backend_id: Id of the engine, which runs the request.
            left_s: Time until the engine is warm, in seconds; 0 if it is.
        """
        if not self.per_s or left_s <= 0.0:
            self._arrivals_s.pop(backend_id, None)
            return False
        now_s = asyncio.get_running_loop().time()
        recent_s = self._arrivals_s.setdefault(backend_id, deque())
        recent_s.append(now_s)
        while recent_s[0] <= now_s - RATE_WINDOW_S:
            recent_s.popleft()
        self.requests += 1
        self.worst = max(self.worst, len(recent_s))
        if len(recent_s) > self.bound:
            self.breaches.append(
                f"{backend_id}: {len(recent_s)} requests within a second at "
                f"{now_s:.1f} s while cold, {self.bound:.1f} are allowed"
            )
        is_crash = len(recent_s) > self.crash_factor * self.bound
        self.crashes += is_crash
        return is_crash
