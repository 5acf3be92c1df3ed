"""The collector's book and the choice of the collector."""

from __future__ import annotations

import pytest

from fordhatch.registry import NodeAddress
from fordhatch.serving.load._collector_choice import CollectorChoice, rank_collectors
from fordhatch.serving.load._load_book import LoadBook
from fordhatch.serving.load._shared_load import BackendLoad, SharedLoad, load_key
from fordhatch_lab._load_trial import ManualClock


def load(requests: int, tokens: int = 0) -> BackendLoad:
    return BackendLoad(requests, tokens)


def test_totals_are_the_sums_of_the_other_nodes() -> None:
    book = LoadBook()
    book.record("a", {1: load(2, 20), 2: load(1, 5)}, 1.0)
    book.record("b", {1: load(3, 40)}, 1.2)
    assert book.totals_without("a") == {1: load(3, 40)}
    assert book.totals_without("b") == {1: load(2, 20), 2: load(1, 5)}
    assert book.totals_without("c")[1] == load(5, 60)
    assert book.mean_age_s(1.3) == pytest.approx(0.2)


def test_a_node_that_restarts_replaces_its_report() -> None:
    """Otherwise the requests of its earlier start would count until the end."""
    book = LoadBook()
    book.record("a", {1: load(7)}, 1.0)
    book.record("a", {1: load(1)}, 1.1)
    assert book.totals_without("b") == {1: load(1)}
    book.record("a", {}, 1.2)
    assert book.totals_without("b") == {}


def test_the_report_of_a_suspended_node_is_dropped_after_a_second() -> None:
    book = LoadBook()
    book.record("a", {1: load(7)}, 1.0)
    book.record("b", {2: load(1)}, 1.9)
    assert book.has_reports(2.0)
    book.record("b", {2: load(1)}, 2.1)
    assert book.totals_without("c") == {2: load(1)}
    assert not book.has_reports(3.2)


def test_a_new_collector_waits_for_all_nodes() -> None:
    """Its first totals would lack most nodes, and groups would be overfilled."""
    book = LoadBook()
    assert not book.is_complete(5.0)
    book.record("a", {1: load(7)}, 5.0)
    assert not book.is_complete(5.3)
    assert book.is_complete(5.4)
    assert not book.is_complete(7.0)


def test_a_total_older_than_a_second_is_not_used() -> None:
    clock = ManualClock(10.0)
    shared = SharedLoad(clock, lambda _: True)
    assert not shared.is_used_for("llm")
    shared.apply_totals({load_key("i-1"): load(3, 30)}, 0.1, 9.8)
    assert shared.age_s() == pytest.approx(0.3)
    assert (shared.total_in_flight("i-1"), shared.total_tokens("i-1")) == (3.0, 30.0)
    # A suspended node's clock includes the suspension.
    clock.at_s = 10.75
    assert not shared.is_used_for("llm")
    assert (shared.total_in_flight("i-1"), shared.total_tokens("i-1")) == (0.0, 0.0)


def test_the_mean_follows_within_seconds() -> None:
    clock = ManualClock(10.0)
    shared = SharedLoad(clock, lambda _: True)
    shared.apply_totals({load_key("i-1"): load(10)}, 0.0, 10.0)
    assert shared.mean_in_flight("i-1") == 10.0
    for _ in range(5):
        clock.at_s += 0.2
        shared.apply_totals({}, 0.0, clock.at_s)
    assert shared.mean_in_flight("i-1") == pytest.approx(3.68, abs=0.01)
    for _ in range(50):
        clock.at_s += 0.2
        shared.apply_totals({}, 0.0, clock.at_s)
    assert shared._means == {}


def nodes(**weights: float) -> dict[str, NodeAddress]:
    return {n: NodeAddress(n, "10.0.0.1:1", "z1", w) for n, w in weights.items()}


def test_strong_nodes_collect_and_a_loss_keeps_the_order() -> None:
    table = nodes(a=1.0, b=0.1, c=0.9, d=0.8, e=0.2)
    ranked = rank_collectors(table)
    assert set(ranked[:3]) == {"a", "c", "d"}
    del table[ranked[0]]
    assert rank_collectors(table) == ranked[1:]


def test_the_next_in_rank_takes_over_and_sends_the_others_back() -> None:
    table = nodes(a=1.0, b=1.0, c=1.0)
    first, second, third = rank_collectors(table)
    acting, other = CollectorChoice(second), CollectorChoice(third)
    for found in (acting, other):
        assert found.choose(table, 0.0) == first
        found.record_failure(first, 0.0)
        assert found.choose(table, 0.1) == second
    # Only the acting collector tries the lost one again.
    assert acting.choose(table, 2.1) == first
    assert other.choose(table, 60.0) == second
    other.retry_all()
    assert other.choose(table, 60.0) == first


def test_without_any_collector_there_is_none_until_a_retry() -> None:
    table = nodes(a=1.0, b=1.0)
    found = CollectorChoice("z")
    for _ in range(2):
        found.record_failure(found.choose(table, 0.0), 0.0)
    assert found.choose(table, 0.1) is None
    assert found.choose(table, 2.1) is not None
    assert found.choose({}, 3.0) is None
