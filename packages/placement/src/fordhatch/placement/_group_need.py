"""What one more group of a model is worth to its callers."""

from __future__ import annotations

import math
from functools import lru_cache

LEAST_GROUPS = 0.25
"""What a model without a group counts as. Without one nobody is served, and callers
that come back make it worse; with a quarter of one the first group goes before the
eighth of another model, but not before all others are in trouble."""

MOST_MISSING = 8
"""Groups that may be missing at once in the sum over what may happen; more are so
seldom that they change nothing, and the sum stays short where there are hundreds."""

MOST_MISSING_SHARE = 0.9
"""A model's groups are never taken to be missing for more of the time than this: where
all are, none of the others tells how long that lasts."""

KNOWN_NEEDS = 4096
"""Results that are kept: a step of the planner asks for the same few many times."""

WORK_STEP = 0.05
"""Work is told apart in steps of this share, so that results are found again."""


def lateness(busy_groups: float, groups: float) -> float:
    """Return how much of the work is late, in full groups.

    Callers' waits grow about with the square of how busy groups are.

    Args:
        busy_groups: Full groups that the work fills.
        groups: Groups that there are.
    """
    return busy_groups * (busy_groups / max(groups, LEAST_GROUPS)) ** 2


@lru_cache(maxsize=KNOWN_NEEDS)
def expected_lateness(busy_groups: float, groups: int, missing_share: float) -> float:
    """Return the lateness where each group may be missing, one apart from the others.

    Args:
        busy_groups: Full groups that the work fills.
        groups: Groups that there are when none is missing.
        missing_share: Share of the time for which a group is missing.
    """
    there = 1.0 - missing_share
    chance = there**groups
    total = rest = 0.0
    for missing in range(min(groups, MOST_MISSING) + 1):
        total += chance * lateness(busy_groups, groups - missing)
        rest += chance
        chance *= (groups - missing) / (missing + 1) * missing_share / there
    return total / rest if rest > 0.0 else lateness(busy_groups, groups)


def group_need(busy_groups: float, groups: int, missing: float) -> float:
    """Return what one more group of a model is worth, in full groups.

    Args:
        busy_groups: Full groups that the work of the model's callers fills.
        groups: Groups that there are now, those on their way included.
        missing: Groups that are missing on average because members were lost.
    """
    groups = max(groups, 0)
    share = min(round(missing / max(groups + missing, 1.0), 2), MOST_MISSING_SHARE)
    work = _in_steps(busy_groups)
    saved = expected_lateness(work, groups, share)
    return saved - expected_lateness(work, groups + 1, share)


def _in_steps(work: float) -> float:
    """Return a nearby value of those by which results are found again."""
    if work <= 0.0:
        return 0.0
    return math.exp(WORK_STEP * round(math.log(work) / WORK_STEP))
