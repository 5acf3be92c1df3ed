"""A short run of the soak with a fixed seed; longer ones are run by hand."""

from __future__ import annotations

from soak import soak

SEED, DURATION_S = 4, 12.0


async def test_a_short_soak_breaks_no_promise() -> None:
    ledger = await soak(SEED, DURATION_S)
    assert ledger.violations == []
    assert ledger.outcomes["chat whole"]
    assert ledger.outcomes["bill whole"]
    assert ledger.faults
