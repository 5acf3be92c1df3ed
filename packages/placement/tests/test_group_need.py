"""Distribution of groups where work and losses differ from the declared shares.

Two models have groups of twelve and of six and equal declared shares; the smaller one
gets nine tenths of the tokens. Each of six fabric domains of 27 backend servers holds
one group of twelve and two of six, or four of six.
"""

from __future__ import annotations

import pytest

from fordhatch.placement import group_need

DOMAINS = 6
LARGE_WORK, SMALL_WORK = 1.6, 6.4
"""Work in full groups: 24 requests per second of 67 ms, and 158 of 41 ms."""
ADVANTAGE = 1.3


def split(
    large_work: float, small_work: float, missing: float, start: int = DOMAINS
) -> int:
    """Return how many groups of twelve remain after all worthwhile conversions."""
    large, small = start, 4 * DOMAINS - 2 * start
    while large > 1:
        gain = group_need(small_work, small, missing)
        if gain < ADVANTAGE * group_need(large_work, large - 1, missing):
            return large
        large, small = large - 1, small + 2
    return large


def test_groups_follow_the_work_and_not_the_declared_half() -> None:
    assert split(LARGE_WORK, SMALL_WORK, 0.0) in (3, 4, 5)


def test_a_burst_of_the_smaller_model_moves_more_groups_to_it() -> None:
    calm = split(LARGE_WORK, SMALL_WORK, 0.3)
    burst = split(LARGE_WORK, 2.6 * SMALL_WORK, 0.3)
    assert 1 < burst < calm


def test_under_steady_losses_fewer_groups_are_converted() -> None:
    calm = split(LARGE_WORK, SMALL_WORK, 0.0)
    lossy = split(LARGE_WORK, SMALL_WORK, 1.5)
    assert lossy > calm


def test_a_wave_of_a_fifth_moves_at_most_one_group() -> None:
    low = split(LARGE_WORK * 1.2, SMALL_WORK * 0.8, 0.3)
    high = split(LARGE_WORK * 0.8, SMALL_WORK * 1.2, 0.3)
    assert 0 <= low - high <= 1


@pytest.mark.parametrize("missing", [0.0, 0.5, 2.0])
def test_a_wave_does_not_revert_a_conversion(
    missing: float,
) -> None:
    large = split(LARGE_WORK, SMALL_WORK, missing)
    small = 4 * DOMAINS - 2 * large
    # Two groups of six would have to give way for one of twelve.
    for wave in (0.85, 1.0, 1.15):
        gain = group_need(LARGE_WORK * wave, large, missing)
        loss = group_need(SMALL_WORK / wave, small - 1, missing)
        loss += group_need(SMALL_WORK / wave, small - 2, missing)
        assert gain < ADVANTAGE * loss


def test_a_first_group_is_worth_more_than_an_eighth_of_another_model() -> None:
    assert group_need(1.0, 0, 0.0) > group_need(4.0, 7, 0.0)


def test_each_further_group_is_worth_less() -> None:
    needs = [group_need(6.4, count, 0.4) for count in range(1, 30)]
    assert needs == sorted(needs, reverse=True)
    assert needs[-1] > 0.0


@pytest.mark.parametrize("work", [0.0, 1e-9, 1e6])
@pytest.mark.parametrize("missing", [0.0, 3.0, 1000.0])
@pytest.mark.parametrize("groups", [-3, 0, 1, 400])
def test_any_count_gives_a_finite_need(
    work: float, missing: float, groups: int
) -> None:
    assert 0.0 <= group_need(work, groups, missing) < float("inf")
