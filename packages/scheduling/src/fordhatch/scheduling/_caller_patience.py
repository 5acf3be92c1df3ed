"""How long callers wait for the next event of a stream before they give up.

The rule is the callers' own; see docs/UNDER-LOAD.md.
"""

from __future__ import annotations

MIN_PATIENCE_S = 2.0
"""Shortest time without an event after which callers give up a stream."""

GOAL_MULTIPLE = 4.0
"""Callers wait for at least this multiple of the latency objective."""

GAP_MULTIPLE = 8.0
"""Callers wait for at least this multiple of the allowed pause between two events."""


def stream_patience_s(goal_s: float, max_gap_s: float | None) -> float:
    """Return how long a caller waits for an event, in seconds.

    Args:
        goal_s: Latency objective of the route.
        max_gap_s: Allowed pause between two events; None if it is not limited.
    """
    gap_s = max_gap_s if max_gap_s is not None else 0.0
    return max(MIN_PATIENCE_S, GOAL_MULTIPLE * goal_s, GAP_MULTIPLE * gap_s)
