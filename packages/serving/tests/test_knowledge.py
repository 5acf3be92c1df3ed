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
from fordhatch.serving._knowledge import Knowledge, judge_knowledge

STRICT = attrs.evolve(decode_settings(BOUNDS).bounds, is_revocation_strict=True)
LENIENT = attrs.evolve(STRICT, is_revocation_strict=False)


@pytest.mark.parametrize(
    ("age_s", "alone", "for_all"),
    [
        (0.3, Knowledge.CERTAIN, Knowledge.CERTAIN),
        (1.6, Knowledge.GOOD, Knowledge.GOOD),
        (3.4, Knowledge.GOOD, Knowledge.GOOD),
        (3.6, Knowledge.AGEING, Knowledge.GOOD),
        (5.0, Knowledge.STALE, Knowledge.GOOD),
        (60.0, Knowledge.STALE, Knowledge.GOOD),
    ],
)
def test_an_outage_for_all_stops_nobody(
    age_s: float, alone: Knowledge, for_all: Knowledge
) -> None:
    assert judge_knowledge(age_s, LENIENT, is_outage_for_all=False) is alone
    assert judge_knowledge(age_s, LENIENT, is_outage_for_all=True) is for_all


@pytest.mark.parametrize("is_for_all", [False, True])
def test_a_strict_removal_of_keys_is_kept_in_any_outage(is_for_all: bool) -> None:
    for age_s, expected in (
        (2.4, Knowledge.GOOD),
        (3.0, Knowledge.AGEING),
        (3.6, Knowledge.STALE),
    ):
        found = judge_knowledge(age_s, STRICT, is_outage_for_all=is_for_all)
        assert found is expected, age_s


def test_what_is_unknown_is_denied_by_certain_knowledge_only() -> None:
    found = judge_knowledge(1.6, LENIENT, is_outage_for_all=True)
    assert found is not Knowledge.CERTAIN
