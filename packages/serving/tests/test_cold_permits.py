"""A cold backend server never gets more requests than it tolerates.

The bound for any one second is one and a half times its limit, plus five, whatever
nodes and links are lost. Well above it the server crashes.
"""

from __future__ import annotations

import random

import pytest
from cold_nodes import COLD_S, ColdNodes
from hypothesis import given, settings
from hypothesis import strategies as st

from fordhatch.serving import ServerLimit
from fordhatch.serving.limits._cold_budget import (
    ARRIVAL_SPREAD_S,
    ISSUER_RANKS,
    ColdBudget,
)
from fordhatch.serving.limits._permit_issuer import issuers

DRIFT = 0.01
DELAY_S = 0.1
"""Requests arrive up to this time after their permit; with the drift of the clocks this
stays within the spread that the budget allows for."""


def site(nodes: int, cold_per_s: float = 17.0, seed: int = 1, **changes) -> ColdNodes:
    found = ColdNodes(cold_per_s, random.Random(seed))
    for index in range(nodes):
        found.start(f"n{index}", drift=DRIFT, **changes)
    return found


def ranked(nodes: ColdNodes) -> list[str]:
    return issuers("i-1", nodes.permits, len(nodes.permits))


@given(
    limit=st.floats(0.25, 1000.0),
    overrun=st.floats(1.0, 3.0),
    slack=st.floats(4.0, 20.0),
)
def test_all_buckets_together_hold_and_refill_less_than_the_bound(
    limit, overrun, slack
) -> None:
    budget, ranks = ColdBudget(overrun, slack), range(200)
    rates_per_s = [budget.rate_per_s(limit, rank) for rank in ranks]
    held = sum(budget.bucket_permits(rank) for rank in ranks if rates_per_s[rank])
    total = held + (1.0 + ARRIVAL_SPREAD_S) * sum(rates_per_s)
    assert total <= overrun * limit + slack + 1e-6


STEP = st.tuples(
    st.sampled_from(["all", "issuers", "half", "none", "random"]),
    st.sampled_from([0.0, 0.05, 0.4]),
    st.sampled_from([0.0, 0.3]),
    st.sampled_from([0.05, 0.5, 1.5, 4.0]),
    st.sampled_from([5.0, 60.0, 400.0]),
    st.booleans(),
)
"""Which links are cut, lost and doubled messages, idle time before the callers come,
their rate, and whether a node restarts."""


def cut(nodes: ColdNodes, which: str) -> None:
    names, first = list(nodes.permits), set(ranked(nodes)[:ISSUER_RANKS])
    for index, name in enumerate(names):
        reachable = {
            "all": first,
            "none": set(),
            "issuers": set(sorted(first)[index % 3 : index % 3 + 1]),
            "half": first if index % 2 else set(),
            "random": {n for n in first if nodes.rng.random() < 0.5},
        }[which]
        nodes.unreachable[name] = first - reachable


@settings(max_examples=80, deadline=None)
@given(
    count=st.integers(1, 40),
    cold_per_s=st.sampled_from([1.0, 4.0, 17.0, 40.0]),
    seed=st.integers(0, 1000),
    steps=st.lists(STEP, min_size=1, max_size=5),
)
def test_the_bound_holds_for_any_split_of_the_nodes(
    count, cold_per_s, seed, steps
) -> None:
    nodes = site(count, cold_per_s, seed)
    for which, lost, doubled, idle_s, per_s, restarts in steps:
        cut(nodes, which)
        nodes.lost, nodes.doubled = lost, doubled
        nodes.advance(idle_s)
        nodes.presume_cold()
        if restarts:
            nodes.start(nodes.rng.choice(list(nodes.permits)), drift=DRIFT)
            nodes.presume_cold()
        names = list(nodes.permits)
        for _ in range(int(1.5 * per_s)):
            nodes.advance(1.0 / per_s)
            name = nodes.rng.choice(names)
            nodes.want(name, nodes.rng.uniform(0.0, DELAY_S))
    assert nodes.worst() <= nodes.bound()


@pytest.mark.parametrize("cold_per_s", [1.0, 17.0])
def test_the_bound_holds_while_every_node_asks_another_issuer_or_none(
    cold_per_s,
) -> None:
    nodes = site(74, cold_per_s)
    for index, name in enumerate(nodes.permits):
        kept = ranked(nodes)[: ISSUER_RANKS + 1][index % 4]
        nodes.unreachable[name] = set(nodes.permits) - {kept}
    nodes.advance(5.0)
    nodes.presume_cold()
    for _ in range(28):
        nodes.advance(0.1)
        for name in nodes.permits:
            nodes.want(name)
    assert nodes.worst() <= nodes.bound()
    assert len(nodes.arrivals_s) >= 1.5 * cold_per_s


def test_one_issuer_for_all_nodes_uses_most_of_the_limit() -> None:
    nodes = site(8)
    nodes.presume_cold()
    while nodes.now_s < 2.9:
        nodes.advance(0.002)
        nodes.want(nodes.rng.choice(list(nodes.permits)))
    assert 0.75 * 17.0 <= len(nodes.arrivals_s) / 2.9 <= 17.0


def test_the_limit_ends_at_all_nodes_without_a_message() -> None:
    nodes = site(8)
    nodes.presume_cold()
    nodes.advance(0.5)
    assert not all(nodes.want(name) for name in list(nodes.permits) * 4)
    nodes.lost = 1.0
    nodes.advance(COLD_S)
    assert all(nodes.want(name) for name in list(nodes.permits) * 20)


def test_an_issuer_whose_copy_shows_the_server_as_warm_learns_from_the_request() -> (
    None
):
    nodes = site(8)
    first = ranked(nodes)[0]
    nodes.advance(1.0)
    for name in nodes.permits:
        if name != first:
            nodes.cold(name).presume_zone_cold("z1")
    for _ in range(100):
        nodes.advance(0.01)
        for name in ranked(nodes)[1:]:
            nodes.want(name)
    assert nodes.cold(first).states()
    assert len(nodes.arrivals_s) <= 17.0 + 1.0


def test_an_issuer_that_knows_better_lets_the_request_pass() -> None:
    nodes = site(8)
    first, other = ranked(nodes)[0], ranked(nodes)[5]
    nodes.cold(other).presume_zone_cold("z1")
    nodes.advance(0.1)
    backend = nodes.cold(first).directory.backends["i-1"]
    nodes.cold(first).observe_answer(backend, 0.0)
    assert all(nodes.want(other) for _ in range(50))


def test_the_smaller_of_the_declared_and_the_cold_limit_applies() -> None:
    nodes = site(1)
    permits = nodes.permits["n0"]
    nodes.presume_cold()
    declared = ServerLimit("i-1", 2.0, permits.timer.now_s())
    permits.pressure.apply_limit(declared)
    while nodes.now_s < 2.9:
        nodes.advance(0.01)
        nodes.want("n0")
    assert 4 <= len(nodes.arrivals_s) <= 2.0 * 2.9 + 1.0


def test_a_node_that_learns_late_stays_within_the_limit_from_then_on() -> None:
    nodes = site(8)
    late = ranked(nodes)[4]
    for name in nodes.permits:
        if name != late:
            nodes.cold(name).presume_zone_cold("z1")
    nodes.advance(0.1)
    assert all(nodes.want(late) for _ in range(5))
    backend = nodes.cold(late).directory.backends["i-1"]
    nodes.cold(late).observe_answer(backend, COLD_S)
    sent_early = len(nodes.arrivals_s)
    while nodes.now_s < 2.5:
        nodes.advance(0.004)
        nodes.want(nodes.rng.choice(list(nodes.permits)))
    assert nodes.worst() <= nodes.bound()
    assert len(nodes.arrivals_s) - sent_early <= 17.0 * 2.5


def test_a_node_that_others_do_not_list_sends_nothing_without_an_issuer() -> None:
    """Any number of nodes that start at once may not be listed yet."""
    nodes = site(5)
    permits = nodes.permits["n0"]
    permits.nodes = lambda: []
    nodes.presume_cold()
    nodes.advance(2.0)
    assert not nodes.want("n0")
    # Nor does a node issue that is not an issuer by its own list.
    asked = ServerLimit("i-1", 17.0, permits.timer.now_s())
    assert not permits.issue_to("n1", asked).is_granted
