"""Decisions under scarcity, each test with the load that it is named for.

One node decides for all callers of a model, whose groups run 17 requests each; a caller
that is refused retries once, at the time it was told.
"""

from __future__ import annotations

import pytest
from scarce_model import (
    HOLD_S,
    SLOTS,
    Call,
    Group,
    ScarceModel,
    bound,
    fraction,
    jain,
    poisson,
    served_within,
)

from fordhatch.scheduling import REFUSAL_FRACTION

GROUP_PER_S = SLOTS / HOLD_S
RANKS = 3


def load(per_s: float, until_s: float, seed: int) -> list[Call]:
    """Return callers of three urgencies in equal parts."""
    return [
        call
        for rank in range(RANKS)
        for call in poisson(per_s / RANKS, 0, until_s, 10 * seed + rank, rank=rank)
    ]


def check(model: ScarceModel, calls: list[Call], per_s: float) -> None:
    """Assert what holds under every load."""
    by_rank = [fraction(calls, rank=rank) for rank in range(model.ranks)]
    assert by_rank == sorted(by_rank, reverse=True), "less urgent requests preferred"
    assert served_within(calls) >= 0.95 * bound(calls, per_s)
    refused_late = sum(
        any(s > REFUSAL_FRACTION * 0.25 for s in c.refused_s) for c in calls
    )
    assert refused_late < 0.01 * len(calls)
    assert sum(len(c.refused_s) > 1 for c in calls) < 0.05 * len(calls)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("rank", range(RANKS))
def test_one_class_bursts_to_two_and_a_half_times_its_rate(rank, seed) -> None:
    per_s = 8 * GROUP_PER_S
    burst = poisson(1.5 * 0.8 * per_s / RANKS, 4, 9, 10 * seed + 5, rank=rank)
    model = ScarceModel([Group() for _ in range(8)], RANKS)
    calls = model.run(load(0.8 * per_s, 12, seed) + burst)
    check(model, calls, per_s)
    assert fraction(calls, rank=0) > 0.99


@pytest.mark.parametrize("seed", [1, 2])
def test_one_workspace_asks_for_ten_times_its_share(seed) -> None:
    per_s = 6 * GROUP_PER_S
    others = [
        call
        for name in "abcdefghi"
        for call in poisson(0.09 * per_s, 0, 10, 100 * seed + ord(name), workspace=name)
    ]
    excess = poisson(per_s, 2, 6, seed, workspace="excess")
    model = ScarceModel([Group() for _ in range(6)])
    calls = model.run(others + excess)
    check(model, calls, per_s)
    parts = [fraction(calls, workspace=name) for name in "abcdefghi"]
    assert min(parts) > 0.95
    share = 0.1 * per_s * 4.0
    served = fraction(calls, workspace="excess") * len(excess)
    assert jain([*parts, min(served / share, 1.0)]) > 0.95
    # Work-conserving: the excess gets what the others leave, beyond its own share.
    assert served > 1.5 * share


@pytest.mark.parametrize("seed", [1, 2])
def test_a_third_of_the_slots_is_lost(seed) -> None:
    model = ScarceModel([Group() for _ in range(9)], RANKS)
    model.at(3.0, lambda: [model.groups.pop() for _ in range(3)])
    calls = model.run(load(0.8 * 9 * GROUP_PER_S, 8, seed))
    check(model, [c for c in calls if c.at_s >= 3.0], 6 * GROUP_PER_S)
    assert fraction(calls, rank=0) > 0.98


@pytest.mark.parametrize("seed", [1, 2])
def test_a_herd_of_retries_at_once(seed) -> None:
    per_s = 6 * GROUP_PER_S
    herd = [Call(3.0, rank=2, is_abusive=bool(n % 2)) for n in range(250)]
    model = ScarceModel([Group() for _ in range(6)], RANKS)
    calls = model.run(load(0.8 * per_s, 8, seed) + herd)
    check(model, calls, per_s)
    assert fraction(calls, rank=0) == 1.0
    returns_s = sorted(c.attempt_s for c in herd if c.refused_s and not c.is_abusive)
    assert returns_s[-1] - returns_s[0] > 0.5, "refused callers return together"


@pytest.mark.parametrize("seed", [1, 2])
def test_half_of_the_groups_are_five_times_slower(seed) -> None:
    groups = [Group() for _ in range(4)] + [Group(5.0) for _ in range(4)]
    model = ScarceModel(groups, RANKS)
    per_s = 4.8 * GROUP_PER_S
    calls = model.run(load(1.1 * per_s, 8, seed))
    check(model, calls, per_s)
    assert fraction(calls, rank=0) > 0.98


def test_nobody_waits_or_is_refused_while_there_is_spare_capacity() -> None:
    model = ScarceModel([Group() for _ in range(6)])
    calls = model.run(
        poisson(0.5 * 6 * GROUP_PER_S, 0, 8, 3, workspace="most")
        + poisson(0.02 * 6 * GROUP_PER_S, 0, 8, 4, workspace="little")
    )
    assert not any(c.refused_s for c in calls)
    assert fraction(calls) == 1.0
    assert model.peak_waiting <= 1
