"""Estimation of the demand for models from the reports of some nodes."""

from __future__ import annotations

import random

import attrs
import pytest
from test_layout import PROFILE

from fordhatch.catalog import ModelDemand
from fordhatch.placement import DemandEstimator

NODES = 89
BIG, SMALL = ("llm", "big"), ("llm", "small")
STEP_S = 0.05


def node_report(big: float, small: float) -> dict[tuple[str, str], ModelDemand]:
    """Return the report of one node, with 0.1 s of work per request."""
    return {
        BIG: ModelDemand(big / NODES, 0.1 * big / NODES),
        SMALL: ModelDemand(small / NODES, 0.1 * small / NODES),
    }


def record_reports(
    book: DemandEstimator, big: float, small: float, from_s: float, until_s: float
) -> None:
    """Record the same report from sixteen of the nodes every 0.4 s."""
    steps = round((until_s - from_s) / STEP_S)
    for step in range(steps):
        now_s = from_s + step * STEP_S
        if step % 8 == 0:
            for index in range(16):
                name = f"n{(step * 2 + index) % NODES}"
                book.record_report(name, node_report(big, small), now_s)
        book.step(NODES, now_s)


def busy_groups(book: DemandEstimator) -> dict[str, float]:
    return book.busy_groups("llm", PROFILE, 48)


def test_a_sample_of_nodes_stands_for_all() -> None:
    book = DemandEstimator()
    record_reports(book, 24.0, 158.0, 0.0, 4.0)
    found = busy_groups(book)
    assert found["big"] == pytest.approx(2.4, rel=0.15)
    assert found["small"] == pytest.approx(15.8, rel=0.15)


def test_a_burst_shows_within_two_seconds_and_lasts_for_some() -> None:
    book = DemandEstimator()
    record_reports(book, 24.0, 60.0, 0.0, 5.0)
    before = busy_groups(book)["small"]
    record_reports(book, 24.0, 160.0, 5.0, 7.0)
    burst = busy_groups(book)["small"]
    assert burst > 2.2 * before
    record_reports(book, 24.0, 60.0, 7.0, 9.5)
    assert busy_groups(book)["small"] > 0.6 * burst
    record_reports(book, 24.0, 60.0, 9.5, 30.0)
    assert busy_groups(book)["small"] < 1.2 * before


def test_declared_shares_decide_while_there_are_few_requests() -> None:
    book = DemandEstimator()
    declared = busy_groups(book)
    record_reports(book, 0.1, 0.4, 0.0, 4.0)
    for model, busy in busy_groups(book).items():
        assert busy == pytest.approx(declared[model], rel=0.1)


def test_declared_numbers_of_groups_take_precedence_over_demand() -> None:
    models = tuple(attrs.evolve(m, declared_groups=3) for m in PROFILE.models)
    profile = attrs.evolve(PROFILE, models=models)
    book = DemandEstimator()
    record_reports(book, 24.0, 158.0, 0.0, 4.0)
    busy = book.busy_groups("llm", profile, 48)
    assert busy["big"] == busy["small"]


def test_groups_are_not_moved_on_the_first_reports() -> None:
    book = DemandEstimator()
    assert not book.is_trusted(10.0)
    book.record_report("n1", node_report(24.0, 158.0), 10.5)
    assert not book.is_trusted(11.0)
    assert book.is_trusted(12.0)


def test_declared_shares_are_used_without_reports() -> None:
    book = DemandEstimator()
    assert not book.is_trusted(10.0)
    assert book.is_trusted(13.5)


def test_a_new_planner_starts_without_an_estimate() -> None:
    book = DemandEstimator()
    declared = busy_groups(book)
    record_reports(book, 24.0, 158.0, 0.0, 4.0)
    book.forget()
    assert busy_groups(book) == declared
    assert not book.is_trusted(4.1)


def test_waves_are_not_logged() -> None:
    book = DemandEstimator()
    assert book.has_changed("llm", {"big": 2.0, "small": 8.0})
    assert not book.has_changed("llm", {"big": 2.3, "small": 7.0})
    assert book.has_changed("llm", {"big": 2.3, "small": 12.0})


def test_models_without_requests_are_dropped() -> None:
    book = DemandEstimator()
    record_reports(book, 24.0, 158.0, 0.0, 2.0)
    book.record_report("n1", {("llm", "gone"): ModelDemand(5.0, 0.5)}, 2.0)
    book.step(NODES, 2.0)
    record_reports(book, 24.0, 158.0, 2.0, 120.0)
    assert set(book._averages) == {BIG, SMALL}


def test_noise_does_not_count_as_a_burst() -> None:
    """Few requests at each node, with exponentially distributed work."""
    rng = random.Random(5)
    book = DemandEstimator()
    estimates = []
    for step in range(1200):
        now_s = step * STEP_S
        if step % 8 == 0:
            for index in range(16):
                count = sum(rng.random() < 24.0 / NODES / 4 for _ in range(4))
                busy = sum(rng.expovariate(10.0) for _ in range(count))
                demand = {BIG: ModelDemand(float(count), busy)}
                book.record_report(f"n{(step * 2 + index) % NODES}", demand, now_s)
        book.step(NODES, now_s)
        if now_s > 10.0:
            estimates.append(book._averages[BIG].estimate.busy_groups)
    # A difference of a fifth moves no groups.
    assert sum(estimates) / len(estimates) < 1.2 * 2.4
