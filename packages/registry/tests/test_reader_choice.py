"""Tests of the choice of the reader.

An availability zone has three strong nodes and forty weak ones of a tenth of their
weight. The reader of the zone answers all of them several times a second, so that a
weak node must not become the reader while a strong one is available.
"""

from __future__ import annotations

import pytest

from fordhatch.core import Timer
from fordhatch.registry import NodeAddress, ReaderChoice, planner_candidates


@pytest.fixture(autouse=True)
def fixed_clock(monkeypatch) -> None:
    monkeypatch.setattr(Timer, "now_s", lambda self: 100.0)


def nodes(strong: int, weak: int, salt: str) -> dict[str, NodeAddress]:
    found = {}
    for index in range(strong + weak):
        name = f"{salt}-{index}"
        weight = 2.0 if index < strong else 0.2
        found[name] = NodeAddress(name, f"10.0.0.{index}:1", "z1", weight, 0.0)
    return found


def choice(table: dict[str, NodeAddress], name: str) -> ReaderChoice:
    return ReaderChoice(name, "z1", lambda: table, Timer.from_seed(1))


@pytest.mark.parametrize("salt", [f"s{n}" for n in range(20)])
def test_a_strong_node_reads_for_its_zone(salt: str) -> None:
    table = nodes(3, 40, salt)
    one = choice(table, f"{salt}-42")
    assert one.choose().weight == 2.0


def test_weak_nodes_read_when_the_strong_ones_have_failed() -> None:
    table = nodes(3, 40, "s")
    one = choice(table, "s-42")
    for index in range(3):
        one.failed(table[f"s-{index}"])
    assert one.choose().weight == 0.2


def test_equal_nodes_agree_on_the_readers() -> None:
    table = nodes(0, 12, "s")
    found = {choice(table, name).choose() for name in table}
    names = {node.name for node in found if node is not None}
    # The system's reader queries the store, the zone's reader queries that node.
    assert len(names) <= 2


def test_a_change_of_the_node_table_takes_effect_at_once() -> None:
    tables = [nodes(3, 2, "s")]
    one = ReaderChoice("s-4", "z1", lambda: tables[0], Timer.from_seed(1))
    before = one.choose()
    tables[0] = {n: a for n, a in tables[0].items() if n != before.name}
    assert one.choose().name != before.name


# Guards against a weak node that plans for hundreds of backend servers.
def test_strong_nodes_are_the_first_to_plan() -> None:
    table = nodes(3, 40, "w")
    table["a"] = NodeAddress("a", "10.0.1.0:1", "z1", 0.2, 0.0)
    found = planner_candidates(table)
    assert found[:3] == ["w-0", "w-1", "w-2"]
    assert found[3] == "a"
    assert len(found) == 44


def test_equal_nodes_plan_in_the_order_of_their_names() -> None:
    table = nodes(3, 0, "s")
    assert planner_candidates(table) == ["s-0", "s-1", "s-2"]
    assert planner_candidates({}) == []
