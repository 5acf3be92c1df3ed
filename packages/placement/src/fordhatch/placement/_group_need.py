"""Value of one more group of a model to its callers."""

from __future__ import annotations

import math
from functools import lru_cache

MIN_GROUPS = 0.25
"""Number of groups assumed for a model without any, whose requests all fail and are
retried. With a quarter of a group, its first group takes precedence over the eighth of
another model, but not over models whose groups are overloaded."""

MAX_MISSING_GROUPS = 8
"""Most groups missing at once that the expected value covers: more are too rare to
matter, and the sum stays short with hundreds of groups."""

MAX_MISSING_FRACTION = 0.9
"""Largest fraction of the time for which a group counts as missing: where all groups of
a model are missing, none of them shows how long that lasts."""

CACHE_SIZE = 4096
"""Cached results: a step of the planner requests the same few many times."""

WORK_STEP = 0.05
"""Relative step to which work is rounded, so that cached results are reused."""


def late_work(busy_groups: float, groups: float) -> float:
    """Return how much of the work is late, in full groups.

    Waiting times grow about with the square of the groups' utilization.

    Args:
        busy_groups: The work, in full groups.
        groups: Number of groups.
    """
    return busy_groups * (busy_groups / max(groups, MIN_GROUPS)) ** 2


@lru_cache(maxsize=CACHE_SIZE)
def expected_late_work(
    busy_groups: float, groups: int, missing_fraction: float
) -> float:
    """Return the expected late work where groups are missing independently.

    Args:
        busy_groups: The work, in full groups.
        groups: Number of groups when none is missing.
        missing_fraction: Fraction of the time for which each group is missing.
    """
    available_fraction = 1.0 - missing_fraction
    probability = available_fraction**groups
    weighted = covered = 0.0
    for missing in range(min(groups, MAX_MISSING_GROUPS) + 1):
        weighted += probability * late_work(busy_groups, groups - missing)
        covered += probability
        probability *= (
            (groups - missing) / (missing + 1) * missing_fraction / available_fraction
        )
    return weighted / covered if covered > 0.0 else late_work(busy_groups, groups)


def group_need(busy_groups: float, groups: int, missing: float) -> float:
    """Return the value of one more group of a model, in full groups.

    Args:
        busy_groups: The work of the model's callers, in full groups.
        groups: Current number of groups, including those that are being formed.
        missing: Average number of groups missing after losses of members.
    """
    groups = max(groups, 0)
    fraction = min(round(missing / max(groups + missing, 1.0), 2), MAX_MISSING_FRACTION)
    work = _rounded(busy_groups)
    current = expected_late_work(work, groups, fraction)
    return current - expected_late_work(work, groups + 1, fraction)


def _rounded(work: float) -> float:
    """Round work to the nearest of the values for which results are cached."""
    if work <= 0.0:
        return 0.0
    return math.exp(WORK_STEP * round(math.log(work) / WORK_STEP))
