"""The first start of the whole system, in which groups are laid out from nothing."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from fordhatch.core import Timer

FREE_LOADS_S = 9.0
"""Time after the first start of the whole system in which loads are quick and not
limited, as long as no request has arrived. Traffic begins 12 s after the instances
start, or later."""

REGISTRATION_QUIET_S = 0.6
"""At the first start, the planner lays out groups when no backend server has
registered for this long. Backend servers register within about two seconds of each
other."""


@attrs.define(eq=False, repr=False)
class FirstStart:
    """Determines whether this is the first start, and who has registered by now."""

    timer: Timer
    is_first_start: bool
    """Whether the whole system starts for the first time."""
    has_traffic: Callable[[], bool]
    """Returns whether this node has served a request."""
    _started_s: float = -math.inf
    _known_count: int = 0
    _last_appeared_s: float = 0.0

    def begin(self) -> None:
        """Record the start of this node."""
        if self._started_s == -math.inf:
            self._started_s = self.timer.now_s()

    def are_loads_free(self) -> bool:
        """Return whether loads of weights are quick and not limited."""
        uptime_s = self.timer.now_s() - self._started_s
        early = uptime_s < FREE_LOADS_S and self.is_first_start
        return early and not self.has_traffic()

    def is_awaiting_backends(self, count: int) -> bool:
        """Return whether backend servers still register at the first start.

        Args:
            count: Number of registered backend servers.
        """
        now_s = self.timer.now_s()
        if count != self._known_count:
            self._known_count = count
            self._last_appeared_s = now_s
        unchanged_s = now_s - self._last_appeared_s
        return self.are_loads_free() and unchanged_s < REGISTRATION_QUIET_S
