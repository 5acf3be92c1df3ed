"""How a stop divides the grace period."""

from __future__ import annotations

import pytest

from fordhatch.serving._stop_plan import GRACE_RESERVE_S, StopPlan


# Guards against a plan that cuts requests in the first five sixths of the grace period
# because the process is slow, or that leaves it no time to exit.
@pytest.mark.parametrize("grace_s", [3.0, 4.0, 8.0, 30.0])
@pytest.mark.parametrize("age_s", [0.0, 0.2, 0.5])
@pytest.mark.parametrize("lateness_s", [0.0, 0.1, 0.4, 3.0])
def test_requests_have_five_sixths_or_all_but_the_reserve(
    grace_s: float, age_s: float, lateness_s: float
) -> None:
    plan = StopPlan.from_grace(100.0, 100.0 + age_s, grace_s, lateness_s)
    fair_s = 100.0 + age_s + 5.0 / 6.0 * grace_s
    latest_s = 100.0 + grace_s - GRACE_RESERVE_S
    assert min(fair_s, latest_s) - 1e-9 <= plan.answers_until_s <= latest_s + 1e-9
