"""Short soak runs with a fixed seed; longer runs are started by hand."""

from __future__ import annotations

import pytest
from soak import soak
from soak_broken_faults import FAULT_NAME

SEED, DURATION_S = 4, 12.0


@pytest.mark.parametrize("asks_less", [False, True])
async def test_a_short_soak_violates_no_guarantee(asks_less) -> None:
    ledger = await soak(SEED, DURATION_S, asks_less=asks_less)
    assert ledger.violations == []
    assert ledger.outcomes["chat whole"]
    assert ledger.outcomes["bill whole"]
    assert ledger.outcomes["kept stream: whole"]
    assert ledger.faults[FAULT_NAME]


async def test_a_short_soak_on_the_platform_violates_no_guarantee() -> None:
    ledger = await soak(SEED, DURATION_S, on_platform=True)
    assert ledger.violations == []
    assert ledger.outcomes["kept stream: whole"]
    assert ledger.outcomes["kept plain: whole"]
    assert ledger.faults[FAULT_NAME]
