"""A short run of the soak with a fixed seed; longer ones are run by hand."""

from __future__ import annotations

import pytest
from soak import soak

SEED, DURATION_S = 4, 12.0


@pytest.mark.parametrize("asks_less", [False, True])
async def test_a_short_soak_breaks_no_promise(asks_less) -> None:
    ledger = await soak(SEED, DURATION_S, asks_less=asks_less)
    assert ledger.violations == []
    assert ledger.outcomes["chat whole"]
    assert ledger.outcomes["bill whole"]
    assert ledger.faults
