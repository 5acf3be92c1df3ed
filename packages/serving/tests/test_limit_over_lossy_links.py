"""The limit of a backend server while messages between the nodes are lost."""

from __future__ import annotations

import random

import pytest
from test_permits_stateful import WINDOW_S, Clock, LimitedServer, run_to_completion

from fordhatch.catalog import Backpressure
from fordhatch.registry import BackendDirectory
from fordhatch.serving import BackpressureTracker, Permits
from fordhatch.serving.limits._permit_issuer import PermitIssuer
from fordhatch_lab import allowed
from fordhatch_lab._limit_ways import SERVER


# Guards against permits that nodes give themselves beside those of the issuers because
# some messages to all of these were lost.
def test_four_nodes_keep_to_a_limit_while_a_third_of_the_messages_is_lost() -> None:
    machine = LimitedServer()
    machine.begin(nodes=4, limit_per_s=12.0, seed=0)
    for _ in range(5):
        machine.links(lost=0.0, doubled=0.0)
    machine.links(lost=0.3, doubled=0.0)
    for for_s, per_s, busy in ((0.5, 2.0, 1), (0.5, 2.0, 1), (6.0, 60.0, 4)):
        machine.callers_want(for_s=for_s, per_s=per_s, busy=busy)
    machine.the_sum_holds()


def granted_in_window(nodes: int, limit_per_s: float, reached: dict[str, set]) -> int:
    """Return the most permits of a window if all nodes want as many as they can get.

    Args:
        nodes: Number of nodes.
        limit_per_s: The limit that all of them know.
        reached: Names of the nodes that each node reaches.
    """
    clock = Clock(random.Random(0))
    permits: dict[str, Permits] = {}

    def node(name: str) -> Permits:
        async def request(to, limit):
            return permits[to].issue_to(name, limit) if to in reached[name] else None

        pressure = BackpressureTracker(clock, BackendDirectory(clock))
        pressure.process_answer(SERVER, Backpressure(limit_per_s=limit_per_s))
        issuer = PermitIssuer(name, random.Random(name))
        return Permits(name, clock, pressure, issuer, lambda: permits, request)

    for index in range(nodes):
        permits[f"n{index}"] = node(f"n{index}")
    granted = []
    for _ in range(int(5 * WINDOW_S / 0.02)):
        clock.true_s += 0.02
        for one in permits.values():
            if run_to_completion(one.acquire(SERVER)):
                granted.append(clock.true_s)
    return max(
        (sum(at <= s < at + WINDOW_S for s in granted) for at in granted), default=0
    )


# Guards against a bound that only holds if every node reaches an issuer: tries every
# way in which two to four nodes can reach or not reach each other as a whole.
@pytest.mark.parametrize("limit_per_s", [0.0, 1.1, 3.0, 12.0])
@pytest.mark.parametrize("nodes", [2, 3, 4])
def test_nodes_that_reach_any_of_the_others_keep_to_a_limit(
    nodes: int, limit_per_s: float
) -> None:
    names = [f"n{index}" for index in range(nodes)]
    for cut in range(2**nodes):
        alone = {name for index, name in enumerate(names) if cut >> index & 1}
        reached = {n: set() if n in alone else set(names) - alone for n in names}
        found = granted_in_window(nodes, limit_per_s, reached)
        assert found <= allowed(limit_per_s), (sorted(alone), found)
