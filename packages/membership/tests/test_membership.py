from __future__ import annotations

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from fordhatch.membership import (
    ALIVE,
    DEAD,
    LEAVING,
    SUSPECT,
    MembershipTable,
    choose_nodes,
    rendezvous_rank,
)
from fordhatch.protocol.messages import NodeRecord

STATES = [ALIVE, SUSPECT, LEAVING, DEAD]
NAMES = ["a", "b", "c", "d", "e", "f"]


def record(name: str, zone: str = "z", incarnation: int = 1, state: str = ALIVE):
    return NodeRecord(name, f"{name}:1", "r", zone, incarnation, state)


def table() -> MembershipTable:
    return MembershipTable(record("self"))


@settings(derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(NAMES), st.integers(1, 4), st.sampled_from(STATES)),
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_order_of_news_does_not_matter(news, rng) -> None:
    first, second = table(), table()
    for node in (first, second):
        for name in NAMES:
            node.merge(record(name, incarnation=0), 0.0)
    shuffled = list(news)
    rng.shuffle(shuffled)
    for order, node in ((news, first), (shuffled, second)):
        for name, incarnation, state in order:
            node.merge(record(name, incarnation=incarnation, state=state), 0.0)
    final = [{n: e.record for n, e in t.entries.items()} for t in (first, second)]
    assert final[0] == final[1]


def test_node_refutes_its_own_death() -> None:
    node = table()
    node.merge(record("self", incarnation=1, state=DEAD), 0.0)
    assert node.own.incarnation == 2
    assert node.own.state == ALIVE


def test_old_news_does_not_revive_a_dead_node() -> None:
    node = table()
    node.merge(record("a"), 0.0)
    node.merge(record("a", state=DEAD), 1.0)
    assert not node.merge(record("a", state=ALIVE), 2.0)
    assert node.merge(record("a", incarnation=2), 3.0)


def test_suspects_die_after_a_while() -> None:
    node = table()
    node.merge(record("a"), 0.0)
    node.merge(record("a", state=SUSPECT), 1.0)
    node.expire(3.0, suspect_s=3.0)
    assert node.find("a").state == SUSPECT
    node.expire(4.5, suspect_s=3.0)
    assert node.find("a").state == DEAD


@settings(derandomize=True)
@given(st.text(max_size=8), st.sets(st.sampled_from(NAMES), min_size=2))
def test_only_keys_of_a_lost_name_move(key, names) -> None:
    ranked = rendezvous_rank(key, names)
    for lost in names:
        rest = rendezvous_rank(key, names - {lost})
        assert rest == [name for name in ranked if name != lost]


@settings(derandomize=True)
@given(
    st.text(max_size=8),
    st.lists(st.sampled_from("xyz"), min_size=1, max_size=6),
    st.integers(1, 4),
)
def test_chosen_nodes_are_distinct_and_span_zones(key, zones, count) -> None:
    nodes = [record(NAMES[i], zone) for i, zone in enumerate(zones)]
    chosen = choose_nodes(key, nodes, count, zone="x")
    assert len(chosen) == min(count, len(nodes))
    assert len({n.node_id for n in chosen}) == len(chosen)
    if count > 1 and len(set(zones)) > 1 and len(nodes) >= count:
        assert any(n.zone != "x" for n in chosen)


def test_leaving_nodes_get_no_responsibilities() -> None:
    node = table()
    node.merge(record("a", state=LEAVING), 0.0)
    assert [n.node_id for n in node.usable()] == ["self"]
    node.declare(LEAVING)
    assert node.usable() == []
    assert attrs.evolve(node.own).state == LEAVING


def test_what_was_derived_is_forgotten_with_every_change() -> None:
    node = table()
    changes = [
        lambda: node.merge(record("a"), 0.0),
        lambda: node.merge(record("a", state=SUSPECT), 1.0),
        lambda: node.expire(10.0, suspect_s=3.0),
        lambda: node.expire(10_000.0, suspect_s=3.0),
        lambda: node.declare(LEAVING),
    ]
    for change in changes:
        before = node.derived("names", lambda: [n.node_id for n in node.not_dead()])
        assert node.derived("names", lambda: None) is before
        change()
        assert node.derived("names", lambda: "new") == "new"
        node.derived("names", lambda: "new")
        node._derived.clear()
