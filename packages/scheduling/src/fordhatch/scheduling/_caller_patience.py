"""How long callers wait for the first event of a stream."""

from __future__ import annotations

MIN_PATIENCE_S = 2.0
"""Callers do not give up a stream earlier than this after the last event."""

GOAL_MULTIPLE = 4.0
"""Multiple of the latency objective that callers wait."""

GAP_MULTIPLE = 8.0
"""Multiple of the allowed pause between two events that callers wait."""


def stream_patience_s(goal_s: float, max_gap_s: float | None) -> float:
    """Return how long a caller waits for an event, in seconds.

    Args:
        goal_s: Latency objective of the route.
        max_gap_s: Allowed pause between two events; None for none.
    """
    gap_s = max_gap_s if max_gap_s is not None else 0.0
    return max(MIN_PATIENCE_S, GOAL_MULTIPLE * goal_s, GAP_MULTIPLE * gap_s)
