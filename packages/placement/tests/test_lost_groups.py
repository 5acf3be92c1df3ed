"""Average number of missing groups under single and steady losses."""

from __future__ import annotations

import pytest

from fordhatch.placement import LostGroups


def lose_steadily(
    lost_groups: LostGroups, every_s: float, replaced_after_s: float
) -> None:
    """Lose groups at a steady rate for a minute; each is replaced after a time."""
    opens: list[float] = []
    next_s = 0.0
    for step in range(1200):
        now_s = step * 0.05
        if now_s >= next_s:
            lost_groups.record_lost("m", now_s)
            opens.append(now_s + replaced_after_s)
            next_s += every_s
        while opens and opens[0] <= now_s:
            lost_groups.record_opened("m")
            opens.pop(0)
        lost_groups.step(now_s)


@pytest.mark.parametrize(
    ("every_s", "replaced_after_s"), [(3.0, 2.0), (1.5, 3.0), (6.0, 6.0)]
)
def test_the_average_is_rate_times_replacement_time(
    every_s: float, replaced_after_s: float
) -> None:
    lost_groups = LostGroups()
    lose_steadily(lost_groups, every_s, replaced_after_s)
    assert lost_groups.missing()["m"] == pytest.approx(
        replaced_after_s / every_s, rel=0.25
    )


def test_a_group_without_a_replacement_stops_counting() -> None:
    lost_groups = LostGroups()
    lost_groups.record_lost("m", 0.0)
    for step in range(1200):
        lost_groups.step(step * 0.05)
    assert lost_groups.missing()["m"] < 0.1


def test_groups_that_open_without_a_loss_do_not_count() -> None:
    lost_groups = LostGroups()
    lost_groups.record_opened("m")
    lost_groups.step(0.0)
    lost_groups.step(1.0)
    assert lost_groups.missing()["m"] == 0


def test_a_single_loss_does_not_count_as_a_rate() -> None:
    lost_groups = LostGroups()
    lost_groups.step(0.0)
    lost_groups.record_lost("m", 0.0)
    for step in range(1, 80):
        lost_groups.step(step * 0.05)
        assert lost_groups.missing_beyond_one_loss()["m"] == 0.0


def test_steady_losses_count_beyond_chance() -> None:
    lost_groups = LostGroups()
    lose_steadily(lost_groups, 1.5, 3.0)
    assert lost_groups.missing_beyond_one_loss()["m"] > 1.0
