"""Tests that distinguish a system-wide outage of the store from an isolated node.

Systems have from 7 to 9 nodes up to a planned 340. Outages last 4 to 9 s; without
evidence, the copy of the configuration is valid for 4.9 s.
"""

from __future__ import annotations

import math

import pytest

from fordhatch.registry import NodeReport, OutageEvidence, min_witnesses

NOW_S = 100.0


def evidence(ages_s: dict[str, float | None], asked_s: float = NOW_S) -> OutageEvidence:
    found = OutageEvidence()
    for name, age_s in ages_s.items():
        found.record(name, NodeReport(asked_s, age_s))
    return found


@pytest.mark.parametrize(
    ("nodes", "needed"), [(1, 0), (2, 1), (7, 3), (8, 3), (9, 4), (340, 5)]
)
def test_half_of_a_small_system_must_have_lost_the_store(
    nodes: int, needed: int
) -> None:
    assert min_witnesses(nodes) == needed


def test_enough_witnesses_show_a_system_wide_outage() -> None:
    assert evidence({"a": 4.0, "b": 3.0, "c": 5.0}).is_system_wide(NOW_S, 7)


def test_two_of_seven_that_are_cut_off_together_are_no_outage() -> None:
    found = evidence({"a": 4.0, "b": None, "c": None})
    assert not found.is_system_wide(NOW_S, 7)


def test_most_queried_nodes_must_answer() -> None:
    found = evidence(dict.fromkeys("abcde", 4.0) | dict.fromkeys("fghijk", None))
    assert not found.is_system_wide(NOW_S, 340)


def test_old_reports_do_not_count() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    assert not found.is_system_wide(NOW_S + 2.6, 7)


def test_a_node_without_known_nodes_has_no_evidence() -> None:
    assert not OutageEvidence().is_system_wide(NOW_S, 0)


def test_the_stores_recovery_may_reach_one_node_first() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    found.record("d", NodeReport(NOW_S, 0.1))
    assert found.is_system_wide(NOW_S + 0.5, 7)


def test_a_node_that_stays_behind_a_fresh_one_is_isolated() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    found.record("d", NodeReport(NOW_S, 0.1))
    for name in ("a", "b", "c"):
        found.record(name, NodeReport(NOW_S + 1.6, 5.0))
    assert not found.is_system_wide(NOW_S + 1.6, 7)


def test_a_fresh_report_from_the_start_of_an_outage_expires() -> None:
    """Confirmations are 0.3 to 1 s apart when the store becomes unavailable.

    The first node that queries others finds some that were confirmed a second ago.
    They are queried again, or their reports expire; only a node that stays fresh is
    evidence against an outage.
    """
    found = evidence({"a": 1.6, "b": 1.7, "c": 0.9})
    for round_s in (0.8, 1.6, 2.4):
        for name in ("a", "b", "d"):
            found.record(name, NodeReport(NOW_S + round_s, 1.6 + round_s))
    assert not found.is_system_wide(NOW_S + 2.4, 7)
    for name in ("a", "b", "d"):
        found.record(name, NodeReport(NOW_S + 3.2, 4.8))
    assert found.is_system_wide(NOW_S + 3.2, 7)


def test_a_stale_report_replaces_an_earlier_fresh_one() -> None:
    found = evidence({"a": 1.6, "b": 1.7, "c": 0.9})
    for name in ("a", "b", "c"):
        found.record(name, NodeReport(NOW_S + 1.6, 3.0))
    assert found.is_system_wide(NOW_S + 1.7, 7)


def test_a_confirmation_discards_the_reports() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    found.clear()
    assert not found.is_system_wide(NOW_S, 7)


def test_nodes_that_have_just_started_are_witnesses() -> None:
    """Three of seven nodes restart during an outage after one node was replaced.

    The row of the replaced node remains; the restarted nodes have no tables yet.
    """
    found = evidence({"a": 4.0, "b": math.inf, "c": math.inf, "d": math.inf, "e": None})
    assert found.is_system_wide(NOW_S, 8)
