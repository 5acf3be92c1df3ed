"""How late an event loop counts as, from its ticks."""

from __future__ import annotations

import itertools

import pytest

from fordhatch.core import LoopWatch, Timer
from fordhatch.core._loop_watch import TICK_INTERVAL_S

PAUSE_S = 0.8


def watch_after(pauses_s: list[float]) -> LoopWatch:
    """Return a watch whose ticks were as far apart."""
    watch = LoopWatch(Timer())
    watch._ticks_s.extend(itertools.accumulate(pauses_s, initial=0.0))
    return watch


# Guards against a stop that leaves a process no time to exit, because most of its ticks
# are on time: it runs for a fifth of its time, in long slices.
def test_pauses_that_come_again_count_as_lateness() -> None:
    slices_s = 9 * [TICK_INTERVAL_S, TICK_INTERVAL_S + PAUSE_S]
    assert watch_after(slices_s).lateness_s() == pytest.approx(PAUSE_S)


# Guards against a stop that gives requests less time because the process was paused
# once.
def test_one_pause_does_not_count_as_lateness() -> None:
    pauses_s = 18 * [TICK_INTERVAL_S]
    pauses_s[9] += PAUSE_S
    assert watch_after(pauses_s).lateness_s() == pytest.approx(0.0)
