"""Measurements of an experiment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import attrs

from fordhatch.core import Failure

from ._experiment import RequestClass
from ._outage_run import OutageMeasures


@attrs.define
class Outcome:
    """One request as observed by its caller."""

    kind: RequestClass
    asked_s: float
    first_s: float | None = None
    longest_gap_s: float = 0.0
    last_s: float | None = None
    is_whole: bool = False
    refusal: Failure | None = None
    node_name: str = ""
    """Node that got the first attempt."""
    is_first_served: bool = False
    """Whether the first attempt got a complete answer."""

    def credit(self) -> float:
        """Return the value of the answer to its caller, at most ``kind.worth``."""
        if not self.is_whole or self.first_s is None:
            return 0.0
        in_time = self.first_s - self.asked_s <= self.kind.objective_s
        steady = self.longest_gap_s <= self.kind.max_gap_s
        return self.kind.worth if in_time and steady else self.kind.late_worth


@attrs.define
class Measures:
    """The measurements of one run."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    healing_s: list[float] = attrs.field(factory=list)
    """Time from each crash of a member until as many groups worked as before it."""
    groups: list[tuple[float, dict[str, int]]] = attrs.field(factory=list)
    """Samples of the time and the number of working groups by model."""
    stranded: list[tuple[float, int]] = attrs.field(factory=list)
    """Samples of the time and the number of running engines outside working groups."""
    store_calls: Counter[str] = attrs.field(factory=Counter)
    peer_messages: int = 0
    peer_bytes: int = 0
    processor_s: float = 0.0
    """Processor time of the complete emulation, including the stand-ins."""
    violations: list[str] = attrs.field(factory=list)
    outages: list[OutageMeasures] = attrs.field(factory=list)
    duration_s: float = 0.0
    nodes: int = 0

    def worth(self) -> float:
        """Return the earned fraction of the possible credit."""
        return _worth(self.outcomes)

    def worst_window(self, window_s: float = 2.0) -> float:
        """Return the lowest worth of any window with enough requests."""
        return min(map(_worth, self._full_windows(window_s)), default=0.0)

    def worth_in_windows(self, window_s: float = 2.0) -> float:
        """Return the worth of the requests in all windows with enough requests."""
        return _worth([o for w in self._full_windows(window_s) for o in w])

    def _full_windows(self, window_s: float) -> list[list[Outcome]]:
        windows: dict[int, list[Outcome]] = {}
        for outcome in self.outcomes:
            windows.setdefault(int(outcome.asked_s / window_s), []).append(outcome)
        min_count = max(len(self.outcomes) / 40, 5)
        return [w for w in windows.values() if len(w) >= min_count]

    def served(self) -> float:
        """Return the fraction of requests with a complete answer."""
        complete = sum(o.is_whole for o in self.outcomes)
        return complete / len(self.outcomes) if self.outcomes else 0.0

    def first_event_s(self, share: float) -> float:
        """Return the ``share`` quantile of the time to the first event."""
        times = sorted(o.first_s - o.asked_s for o in self.outcomes if o.first_s)
        return times[int(share * (len(times) - 1))] if times else 0.0

    def summary(self) -> dict[str, float]:
        """Return the figures of the report's table, by column."""
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
    """Return the earned fraction of the possible credit."""
    owed = sum(o.kind.worth for o in outcomes)
    return sum(o.credit() for o in outcomes) / owed if owed else 0.0
