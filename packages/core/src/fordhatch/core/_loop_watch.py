"""How late the event loop is, and since when something may have waited for it."""

from __future__ import annotations

import heapq
import itertools
from collections import deque

import attrs

from ._timer import Timer

TICK_INTERVAL_S = 0.1
"""Time between two ticks. What has happened is taken to be older by up to two."""

REMEMBERED_TICKS = 20
"""Ticks from which the lateness is taken: those of the last two seconds."""


@attrs.define(eq=False, repr=False)
class LoopWatch:
    """Ticks, and remembers how late the ticks were.

    A process that gets little processor time, or was stopped for a while, handles what
    has happened late, and can't see how late. It happened after the last tick that was
    on time.
    """

    timer: Timer
    _ticks_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=REMEMBERED_TICKS))

    async def run(self) -> None:
        """Tick until cancelled."""
        async for now_s in self.timer.ticks(TICK_INTERVAL_S, fraction=0.0):
            self._ticks_s.append(now_s)

    def earliest_s(self) -> float:
        """Return the earliest time at which something handled now may have happened.

        It is the time of the tick before the newest one, in monotonic seconds: after a
        pause, the newest one may come before what has waited meanwhile.
        """
        ticks_s = list(self._ticks_s)[-2:]
        return ticks_s[0] if ticks_s else self.timer.now_s()

    def lateness_s(self) -> float:
        """Return by how much the newest ticks were late, in seconds.

        It is the second longest pause: one does not count as little processor time. A
        process that runs in slices has most of its ticks on time.
        """
        pauses_s = [b - a for a, b in itertools.pairwise(self._ticks_s)]
        second_s = min(heapq.nlargest(2, [0.0, 0.0, *pauses_s]))
        return max(second_s - TICK_INTERVAL_S, 0.0)
