"""Outages of the store that outlast the confirmation of the configuration.

Outages of the store last 4 to 9 s. With strict removal of keys (revoked within 5 s)
requests are refused from 3.5 s on. Otherwise a change is in effect within 2 s, or 7 s
during faults of the store, and requests are served for 4.9 s of those.
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
def test_a_system_wide_outage_stops_no_node(
    age_s: float, alone: Freshness, for_all: Freshness
) -> None:
    assert classify_freshness(age_s, LENIENT, is_system_wide_outage=False) is alone
    assert classify_freshness(age_s, LENIENT, is_system_wide_outage=True) is for_all


@pytest.mark.parametrize("is_for_all", [False, True])
def test_a_strict_removal_of_keys_is_kept_in_any_outage(is_for_all: bool) -> None:
    for age_s, expected in (
        (2.4, Freshness.GOOD),
        (3.0, Freshness.AGEING),
        (3.6, Freshness.STALE),
    ):
        found = classify_freshness(age_s, STRICT, is_system_wide_outage=is_for_all)
        assert found is expected, age_s


def test_unknown_keys_are_denied_by_a_certain_configuration_only() -> None:
    found = classify_freshness(1.6, LENIENT, is_system_wide_outage=True)
    assert found is not Freshness.CERTAIN
