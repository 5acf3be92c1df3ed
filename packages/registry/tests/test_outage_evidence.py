"""Pattern: the store is away, for every node or for this one alone.

Today's deployments have 7 to 9 nodes; the plan has 340. An outage lasts 4 to 9 s there,
and knowledge of the configuration is good for 4.9 s without evidence.
"""

from __future__ import annotations

import math

import pytest

from fordhatch.registry import NodeWord, OutageEvidence, witnesses_needed

NOW_S = 100.0


def evidence(ages_s: dict[str, float | None], asked_s: float = NOW_S) -> OutageEvidence:
    found = OutageEvidence()
    for name, age_s in ages_s.items():
        found.note(name, NodeWord(asked_s, age_s))
    return found


@pytest.mark.parametrize(
    ("nodes", "needed"), [(1, 0), (2, 1), (7, 3), (8, 3), (9, 4), (340, 5)]
)
def test_half_of_a_small_system_must_have_lost_the_store(
    nodes: int, needed: int
) -> None:
    assert witnesses_needed(nodes) == needed


def test_enough_witnesses_show_an_outage_for_all() -> None:
    assert evidence({"a": 4.0, "b": 3.0, "c": 5.0}).is_for_all(NOW_S, 7)


def test_two_of_seven_that_are_cut_off_together_are_no_outage() -> None:
    found = evidence({"a": 4.0, "b": None, "c": None})
    assert not found.is_for_all(NOW_S, 7)


def test_most_of_those_asked_must_answer() -> None:
    found = evidence(dict.fromkeys("abcde", 4.0) | dict.fromkeys("fghijk", None))
    assert not found.is_for_all(NOW_S, 340)


def test_old_words_do_not_count() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    assert not found.is_for_all(NOW_S + 2.6, 7)


def test_a_node_that_knows_nothing_of_others_has_no_evidence() -> None:
    assert not OutageEvidence().is_for_all(NOW_S, 0)


def test_the_stores_return_may_reach_one_node_first() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    found.note("d", NodeWord(NOW_S, 0.1))
    assert found.is_for_all(NOW_S + 0.5, 7)


def test_who_stays_behind_while_others_know_more_is_cut_off() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    found.note("d", NodeWord(NOW_S, 0.1))
    for name in ("a", "b", "c"):
        found.note(name, NodeWord(NOW_S + 1.6, 5.0))
    assert not found.is_for_all(NOW_S + 1.6, 7)


def test_who_was_fresh_as_the_outage_began_does_not_count_for_ever() -> None:
    """Pattern: confirmations are 0.3 to 1 s apart when the store goes away.

    The first node to ask meets others that were confirmed a second ago. They are
    asked again, or their word grows old; only somebody who stays fresh knows more.
    """
    found = evidence({"a": 1.6, "b": 1.7, "c": 0.9})
    for round_s in (0.8, 1.6, 2.4):
        for name in ("a", "b", "d"):
            found.note(name, NodeWord(NOW_S + round_s, 1.6 + round_s))
    assert not found.is_for_all(NOW_S + 2.4, 7)
    for name in ("a", "b", "d"):
        found.note(name, NodeWord(NOW_S + 3.2, 4.8))
    assert found.is_for_all(NOW_S + 3.2, 7)


def test_a_node_that_is_asked_again_and_stale_by_then_is_no_contrary_word() -> None:
    found = evidence({"a": 1.6, "b": 1.7, "c": 0.9})
    for name in ("a", "b", "c"):
        found.note(name, NodeWord(NOW_S + 1.6, 3.0))
    assert found.is_for_all(NOW_S + 1.7, 7)


def test_a_confirmation_ends_what_was_heard() -> None:
    found = evidence({"a": 4.0, "b": 3.0, "c": 5.0})
    found.confirmed()
    assert not found.is_for_all(NOW_S, 7)


def test_nodes_that_have_just_started_are_witnesses() -> None:
    """Pattern: three of seven nodes are restarted during an outage, one was replaced.

    The replaced one's row is still there; the restarted ones have read nothing.
    """
    found = evidence({"a": 4.0, "b": math.inf, "c": math.inf, "d": math.inf, "e": None})
    assert found.is_for_all(NOW_S, 8)
