"""Freshness of a node's configuration, and what the node may serve with it.

Three requirements conflict here. A removed API key must stop working within a bound, if
the operators made that strict. An accepted configuration must be in effect within
seconds, so a node that is cut off alone must stop. Callers need answers: in a
system-wide outage of the store no newer configuration can be in effect, so refusing
would fail every request without protecting anything.
"""

from __future__ import annotations

from enum import Enum

from fordhatch.catalog import SystemBounds

STALE_FRACTION = 0.7
"""Fraction of the time limit for a change to take effect, after which a confirmation of
the configuration is stale. The rest covers notifications of the store that are about a
second late."""

AGEING_FRACTION = 0.5
"""Fraction of that limit after which the node reports that it is not ready for new
callers; the balancer needs about two seconds to notice."""

MAX_CERTAIN_AGE_S = 1.5
"""Oldest confirmation with which a node reports a route or key as unknown: later, a
newer configuration may know it. It is below the two seconds within which a
configuration is in effect everywhere."""


class Freshness(Enum):
    """Freshness of a node's configuration, by what the node may do with it."""

    CERTAIN = "certain"
    """Serve, and reject routes and keys that are not in the configuration."""
    GOOD = "good"
    """Serve, but don't report a route or key as unknown."""
    AGEING = "ageing"
    """Serve, but report not ready for new callers: other nodes may have a newer
    configuration."""
    STALE = "stale"
    """Refuse requests: other nodes may serve them."""


def classify_freshness(
    age_s: float, bounds: SystemBounds, *, is_system_wide_outage: bool
) -> Freshness:
    """Return the freshness of a configuration from the age of its confirmation.

    Args:
        age_s: Time since the store confirmed the configuration, in seconds.
        bounds: The bounds of the system.
        is_system_wide_outage: Whether there is evidence that no node reaches the store.
    """
    if age_s <= MAX_CERTAIN_AGE_S:
        return Freshness.CERTAIN
    if is_system_wide_outage and not bounds.is_revocation_strict:
        return Freshness.GOOD
    limit_s = _limit_s(bounds)
    if age_s > limit_s * STALE_FRACTION:
        return Freshness.STALE
    return Freshness.GOOD if age_s <= limit_s * AGEING_FRACTION else Freshness.AGEING


def _limit_s(bounds: SystemBounds) -> float:
    """Return the time within which a change must take effect, in seconds.

    It includes an outage of the store.
    """
    apply_s = bounds.config_apply_s + bounds.outer_s
    if not bounds.is_revocation_strict:
        return apply_s
    return min(bounds.revoke_s, apply_s)
