"""What is known of the work of models: from some nodes, soon, and with an age."""

from __future__ import annotations

import random

import attrs
import pytest
from test_layout import PROFILE

from fordhatch.catalog import ModelDemand
from fordhatch.placement import DemandBook

NODES = 89
BIG, SMALL = ("llm", "big"), ("llm", "small")
STEP_S = 0.05


def word(big: float, small: float) -> dict[tuple[str, str], ModelDemand]:
    """Return the word of one node, with a tenth of a second of work a request."""
    return {
        BIG: ModelDemand(big / NODES, 0.1 * big / NODES),
        SMALL: ModelDemand(small / NODES, 0.1 * small / NODES),
    }


def hear(
    book: DemandBook, big: float, small: float, from_s: float, until_s: float
) -> None:
    """Have sixteen of the nodes say the same each 0.4 s."""
    steps = round((until_s - from_s) / STEP_S)
    for step in range(steps):
        now_s = from_s + step * STEP_S
        if step % 8 == 0:
            for index in range(16):
                name = f"n{(step * 2 + index) % NODES}"
                book.heard(name, word(big, small), now_s)
        book.step(NODES, now_s)


def work(book: DemandBook) -> dict[str, float]:
    return book.busy_groups("llm", PROFILE, 48)


def test_some_nodes_tell_for_all() -> None:
    book = DemandBook()
    hear(book, 24.0, 158.0, 0.0, 4.0)
    found = work(book)
    assert found["big"] == pytest.approx(2.4, rel=0.15)
    assert found["small"] == pytest.approx(15.8, rel=0.15)


def test_a_burst_is_believed_within_two_seconds_and_kept_for_some() -> None:
    book = DemandBook()
    hear(book, 24.0, 60.0, 0.0, 5.0)
    before = work(book)["small"]
    hear(book, 24.0, 160.0, 5.0, 7.0)
    burst = work(book)["small"]
    assert burst > 2.2 * before
    hear(book, 24.0, 60.0, 7.0, 9.5)
    assert work(book)["small"] > 0.6 * burst
    hear(book, 24.0, 60.0, 9.5, 30.0)
    assert work(book)["small"] < 1.2 * before


def test_what_operators_declare_holds_while_hardly_anything_is_asked() -> None:
    book = DemandBook()
    declared = work(book)
    hear(book, 0.1, 0.4, 0.0, 4.0)
    for model, busy in work(book).items():
        assert busy == pytest.approx(declared[model], rel=0.1)


def test_numbers_of_groups_that_are_declared_go_before_what_is_asked() -> None:
    models = tuple(attrs.evolve(m, wanted_groups=3) for m in PROFILE.models)
    profile = attrs.evolve(PROFILE, models=models)
    book = DemandBook()
    hear(book, 24.0, 158.0, 0.0, 4.0)
    busy = book.busy_groups("llm", profile, 48)
    assert busy["big"] == busy["small"]


def test_groups_are_not_moved_on_the_first_words() -> None:
    book = DemandBook()
    assert not book.is_trusted(10.0)
    book.heard("n1", word(24.0, 158.0), 10.5)
    assert not book.is_trusted(11.0)
    assert book.is_trusted(12.0)


def test_where_nobody_says_anything_the_declared_shares_have_to_do() -> None:
    book = DemandBook()
    assert not book.is_trusted(10.0)
    assert book.is_trusted(13.5)


def test_a_new_planner_begins_anew() -> None:
    book = DemandBook()
    declared = work(book)
    hear(book, 24.0, 158.0, 0.0, 4.0)
    book.forget()
    assert work(book) == declared
    assert not book.is_trusted(4.1)


def test_waves_are_not_logged() -> None:
    book = DemandBook()
    assert book.has_moved("llm", {"big": 2.0, "small": 8.0})
    assert not book.has_moved("llm", {"big": 2.3, "small": 7.0})
    assert book.has_moved("llm", {"big": 2.3, "small": 12.0})


def test_models_that_nobody_asks_for_any_more_are_forgotten() -> None:
    book = DemandBook()
    hear(book, 24.0, 158.0, 0.0, 2.0)
    book.heard("n1", {("llm", "gone"): ModelDemand(5.0, 0.5)}, 2.0)
    book.step(NODES, 2.0)
    hear(book, 24.0, 158.0, 2.0, 120.0)
    assert set(book._averages) == {BIG, SMALL}


def test_chance_is_not_taken_for_bursts() -> None:
    """Few requests at each node, whose work spreads as far as it is long."""
    rng = random.Random(5)
    book = DemandBook()
    believed = []
    for step in range(1200):
        now_s = step * STEP_S
        if step % 8 == 0:
            for index in range(16):
                count = sum(rng.random() < 24.0 / NODES / 4 for _ in range(4))
                busy = sum(rng.expovariate(10.0) for _ in range(count))
                demand = {BIG: ModelDemand(float(count), busy)}
                book.heard(f"n{(step * 2 + index) % NODES}", demand, now_s)
        book.step(NODES, now_s)
        if now_s > 10.0:
            believed.append(book._averages[BIG].believed.busy_groups)
    # A fifth is what groups are not moved for.
    assert sum(believed) / len(believed) < 1.2 * 2.4
