"""What an experiment shows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import attrs

from fordhatch.core import Failure

from ._experiment import RequestClass
from ._store_drill import DrillMeasures


@attrs.define
class Outcome:
    """One request as its caller saw it."""

    kind: RequestClass
    asked_s: float
    first_s: float | None = None
    longest_gap_s: float = 0.0
    last_s: float | None = None
    is_whole: bool = False
    refusal: Failure | None = None

    def credit(self) -> float:
        """Return what it is worth to its caller, of ``kind.worth``."""
        if not self.is_whole or self.first_s is None:
            return 0.0
        in_time = self.first_s - self.asked_s <= self.kind.goal_s
        steady = self.longest_gap_s <= self.kind.gap_s
        return self.kind.worth if in_time and steady else self.kind.late_worth


@attrs.define
class Measures:
    """The figures of one run."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    healing_s: list[float] = attrs.field(factory=list)
    """From each loss until as many groups worked as before, or fewer were possible."""
    groups: list[tuple[float, dict[str, int]]] = attrs.field(factory=list)
    """Working groups by model, every half second."""
    stranded: list[tuple[float, int]] = attrs.field(factory=list)
    """Living engines that work in no group."""
    store_calls: Counter[str] = attrs.field(factory=Counter)
    peer_messages: int = 0
    peer_bytes: int = 0
    processor_s: float = 0.0
    """Of the whole emulation, not of the nodes alone."""
    violations: list[str] = attrs.field(factory=list)
    drills: list[DrillMeasures] = attrs.field(factory=list)
    duration_s: float = 0.0
    nodes: int = 0

    def worth(self) -> float:
        """Return credit earned by credit owed."""
        return _worth(self.outcomes)

    def worst_window(self, window_s: float = 2.0) -> float:
        """Return the worth of the worst window that has its share of the requests."""
        return min(map(_worth, self._full_windows(window_s)), default=0.0)

    def worth_in_windows(self, window_s: float = 2.0) -> float:
        """Return the worth of the requests in the windows that have their share."""
        return _worth([o for w in self._full_windows(window_s) for o in w])

    def _full_windows(self, window_s: float) -> list[list[Outcome]]:
        windows: dict[int, list[Outcome]] = {}
        for outcome in self.outcomes:
            windows.setdefault(int(outcome.asked_s / window_s), []).append(outcome)
        least = max(len(self.outcomes) / 40, 5)
        return [w for w in windows.values() if len(w) >= least]

    def served(self) -> float:
        """Return the share of requests with a whole answer."""
        whole = sum(o.is_whole for o in self.outcomes)
        return whole / len(self.outcomes) if self.outcomes else 0.0

    def first_event_s(self, share: float) -> float:
        """Return a quantile of the time to the first event."""
        times = sorted(o.first_s - o.asked_s for o in self.outcomes if o.first_s)
        return times[int(share * (len(times) - 1))] if times else 0.0

    def summary(self) -> dict[str, float]:
        """Return the figures for a table."""
        nodes = max(self.nodes, 1)
        seconds = max(self.duration_s, 1e-9)
        healed = sorted(self.healing_s)
        stranded = [n for _, n in self.stranded]
        return {
            "requests": len(self.outcomes),
            "worth": round(self.worth(), 4),
            "worst 2 s": round(self.worst_window(), 3),
            "served": round(self.served(), 4),
            "first event p50 s": round(self.first_event_s(0.5), 3),
            "first event p95 s": round(self.first_event_s(0.95), 3),
            "healing p50 s": round(healed[len(healed) // 2], 2) if healed else 0.0,
            "stranded engines": round(sum(stranded) / max(len(stranded), 1), 1),
            "store calls/s": round(sum(self.store_calls.values()) / seconds, 1),
            "messages/s and node": round(self.peer_messages / seconds / nodes, 2),
            "KB/s and node": round(self.peer_bytes / seconds / nodes / 1000, 2),
            "violations": len(self.violations),
        }


def _worth(outcomes: Sequence[Outcome]) -> float:
    """Return credit earned by credit owed."""
    owed = sum(o.kind.worth for o in outcomes)
    return sum(o.credit() for o in outcomes) / owed if owed else 0.0
