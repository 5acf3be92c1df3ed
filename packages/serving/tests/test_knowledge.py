"""Pattern: an outage of the store that outlasts what a confirmation is good for.

Outages of 4 to 9 s come on today's deployments. Where the removal of keys is strict
(revoked within 5 s) requests are refused from 3.5 s on; where it is not, a change is in
force within 2 s, 7 s in trouble of the store, and 4.9 s of that is what is used.
"""

from __future__ import annotations

import attrs
import pytest
from planning_site import BOUNDS

from fordhatch.adapter import decode_settings
from fordhatch.serving._knowledge import Freshness, classify_freshness

STRICT = attrs.evolve(decode_settings(BOUNDS).bounds, is_revocation_strict=True)
LENIENT = attrs.evolve(STRICT, is_revocation_strict=False)


@pytest.mark.parametrize(
    ("age_s", "alone", "for_all"),
    [
        (0.3, Freshness.CERTAIN, Freshness.CERTAIN),
        (1.6, Freshness.GOOD, Freshness.GOOD),
        (3.4, Freshness.GOOD, Freshness.GOOD),
        (3.6, Freshness.AGEING, Freshness.GOOD),
        (5.0, Freshness.STALE, Freshness.GOOD),
        (60.0, Freshness.STALE, Freshness.GOOD),
    ],
)
def test_an_outage_for_all_stops_nobody(
    age_s: float, alone: Freshness, for_all: Freshness
) -> None:
    assert classify_freshness(age_s, LENIENT, is_outage_for_all=False) is alone
    assert classify_freshness(age_s, LENIENT, is_outage_for_all=True) is for_all


@pytest.mark.parametrize("is_for_all", [False, True])
def test_a_strict_removal_of_keys_is_kept_in_any_outage(is_for_all: bool) -> None:
    for age_s, expected in (
        (2.4, Freshness.GOOD),
        (3.0, Freshness.AGEING),
        (3.6, Freshness.STALE),
    ):
        found = classify_freshness(age_s, STRICT, is_outage_for_all=is_for_all)
        assert found is expected, age_s


def test_what_is_unknown_is_denied_by_certain_knowledge_only() -> None:
    found = classify_freshness(1.6, LENIENT, is_outage_for_all=True)
    assert found is not Freshness.CERTAIN
