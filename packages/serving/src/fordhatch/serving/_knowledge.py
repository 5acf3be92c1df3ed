"""What a node may serve on what it knows of the configuration.

Three promises pull on this. A removed API key must stop working within a bound, where
the operators have made that strict. An accepted configuration must be in force within
seconds, so that a node that is cut off alone must stop. And callers want answers: in
an outage of the store for every node nothing newer can be in force, so refusing would
cost every caller of the outage and protect nobody.
"""

from __future__ import annotations

from enum import Enum

from fordhatch.catalog import SystemBounds

STALE_FRACTION = 0.7
"""Share of the time within which a change must be in force that a confirmation of the
configuration is good for. The rest covers a store that notifies late, by about a
second."""

AGEING_FRACTION = 0.5
"""The node asks for no new callers when its confirmation is older than this share;
the balancer needs about two seconds to notice."""

MAX_CERTAIN_AGE_S = 1.5
"""A node whose configuration was not confirmed for this long doesn't say that a
route or key is unknown: a newer configuration may know it. It is below the two
seconds within which a configuration is in force everywhere."""


class Freshness(Enum):
    """What a node's knowledge of the configuration is good for."""

    CERTAIN = "certain"
    """Serve, and deny what is not in the configuration."""
    GOOD = "good"
    """Serve, but do not say that a route or key is unknown."""
    AGEING = "ageing"
    """Serve, but ask for no new callers: others know more."""
    STALE = "stale"
    """Refuse: other nodes may serve."""


def classify_freshness(
    age_s: float, bounds: SystemBounds, *, is_outage_for_all: bool
) -> Freshness:
    """Return what a configuration is good for that was confirmed a while ago.

    Args:
        age_s: Time since the store confirmed the configuration, in seconds.
        bounds: The bounds of the system.
        is_outage_for_all: Whether no node reaches the store, as far as is known.
    """
    if age_s <= MAX_CERTAIN_AGE_S:
        return Freshness.CERTAIN
    if is_outage_for_all and not bounds.is_revocation_strict:
        return Freshness.GOOD
    limit_s = _limit_s(bounds)
    if age_s > limit_s * STALE_FRACTION:
        return Freshness.STALE
    return Freshness.GOOD if age_s <= limit_s * AGEING_FRACTION else Freshness.AGEING


def _limit_s(bounds: SystemBounds) -> float:
    """Return when a change must be in force, an outage of the store included."""
    apply_s = bounds.config_apply_s + bounds.outer_s
    if not bounds.is_revocation_strict:
        return apply_s
    return min(bounds.revoke_s, apply_s)
