"""Choice of groups by many nodes, each of which sees few of the groups' requests.

There are 195 nodes in five availability zones, with two streams a second each. A stream
takes 0.75 s at its group. Zones have unequal numbers of groups: four in one zone, as
after the failure of a fabric domain, and twelve in the others. No node knows how many
requests the other nodes have in flight.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter

import attrs
import pytest

from fordhatch.catalog import (
    BackendServer,
    BackendState,
    Backpressure,
    GroupMembership,
    MemberState,
    PressureKind,
)
from fordhatch.core import Timer
from fordhatch.registry import BackendDirectory
from fordhatch.serving import BackendHealth, BackpressureTracker
from fordhatch.serving.groups._head_choice import HeadChoice
from fordhatch_lab import run_in_virtual_time

STREAM_S = 0.75
SIMULATION_S = 20.0
RATE_PER_NODE_PER_S = 2.0


@attrs.define
class ManualClock:
    at_s: float = 0.0

    def now_s(self) -> float:
        return self.at_s


class NoStalls:
    """A stall watch without silent groups."""

    def is_lost(self, head: BackendServer) -> bool:
        return False

    is_avoided = is_lost


@attrs.define
class Heads:
    """A directory with fixed heads."""

    heads: list[BackendServer]

    def open_heads(self, service: str, model: str) -> list[BackendServer]:
        return self.heads


def head(index: int, zone: str) -> BackendServer:
    membership = GroupMembership(f"m.{index}", index, 0, MemberState.OPEN)
    return BackendServer(
        f"i-{index}", "llm", "10.0.0.1:80", zone, BackendState.READY, 11,
        membership=membership,
    )  # fmt: skip


def simulate_load(nodes: int, groups_by_zone: list[int], seed: int) -> dict[str, float]:
    """Simulate requests, and return measures of the load.

    Returns:
        The fraction of requests that are late, and the requests per group of the
        busiest zone relative to the mean.
    """
    clock = ManualClock()
    rng = random.Random(seed)
    zones = [f"z{index}" for index in range(len(groups_by_zone))]
    heads = [
        head(100 * number + index, zone)
        for number, (zone, count) in enumerate(zip(zones, groups_by_zone, strict=True))
        for index in range(count)
    ]
    choices = [
        HeadChoice(
            zones[index % len(zones)], Heads(heads), BackendHealth(clock), NoStalls(),
            BackpressureTracker(clock, BackendDirectory(clock)),
            random.Random(f"{seed}/{index}"), lambda: nodes,
        )
        for index in range(nodes)
    ]  # fmt: skip
    at_head: Counter[str] = Counter()
    served: Counter[str] = Counter()
    ends: list[tuple[float, int, str]] = []
    late = total = 0
    while clock.at_s < SIMULATION_S:
        clock.at_s += rng.expovariate(RATE_PER_NODE_PER_S * nodes)
        while ends and ends[0][0] <= clock.at_s:
            _, node, name = heapq.heappop(ends)
            at_head[name] -= 1
            choices[node].health.in_flight[name] -= 1
        node = rng.randrange(nodes)
        found = choices[node].choose("llm", "m", ())
        choices[node].health.in_flight[found.backend_id] += 1
        at_head[found.backend_id] += 1
        served[found.zone] += 1
        total += 1
        late += at_head[found.backend_id] > found.slots
        heapq.heappush(ends, (clock.at_s + STREAM_S, node, found.backend_id))
    per_group = {z: served[z] / n for z, n in zip(zones, groups_by_zone, strict=True)}
    mean = total / sum(groups_by_zone)
    return {"late": late / total, "busiest": max(per_group.values()) / mean}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_zone_with_few_groups_is_not_overloaded_by_its_own_nodes(seed: int) -> None:
    """Sending all requests of the zone to its four groups gives 2.6 times the mean."""
    found = simulate_load(195, [4, 12, 12, 12, 12], seed)
    assert found["busiest"] < 1.3
    # Requests beyond a group's eleven slots are late; a third would be if the
    # unequal zones were not balanced.
    assert found["late"] < 0.06


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_nodes_choose_their_own_zone_at_equal_load(seed: int) -> None:
    clock = ManualClock()
    heads = Heads([head(index, f"z{index % 3}") for index in range(12)])
    choice = HeadChoice(
        "z1",
        heads,
        BackendHealth(clock),
        NoStalls(),
        BackpressureTracker(clock, BackendDirectory(clock)),
        random.Random(seed),
        lambda: 8,
    )
    found = Counter(choice.choose("llm", "m", ()).zone for _ in range(100))
    assert found["z1"] == 100


def test_a_request_in_flight_costs_more_than_another_zone() -> None:
    clock = ManualClock()
    health = BackendHealth(clock)
    heads = Heads([head(0, "z0"), head(1, "z1")])
    health.in_flight["i-0"] = 1
    for nodes in (1, 8, 195):
        choice = HeadChoice(
            "z0",
            heads,
            health,
            NoStalls(),
            BackpressureTracker(clock, BackendDirectory(clock)),
            random.Random(1),
            lambda n=nodes: n,
        )
        assert choice.choose("llm", "m", ()).backend_id == "i-1"


def test_a_blocked_head_is_not_chosen_even_as_the_last_one() -> None:
    clock = ManualClock()
    heads = Heads([head(0, "z0"), head(1, "z0")])
    pressure = BackpressureTracker(clock, BackendDirectory(clock))
    pressure.timer = Timer.from_seed(1)
    choice = HeadChoice(
        "z0", heads, BackendHealth(clock), NoStalls(), pressure, random.Random(1), int
    )

    async def choose_heads() -> list[BackendServer | None]:
        first, second = heads.heads
        pressure.process_answer(first, Backpressure(rest_s=5.0))
        found = [choice.choose("llm", "m", ())]
        pressure.process_answer(second, Backpressure(rest_s=2.0))
        found.append(choice.choose("llm", "m", ()))
        hold = choice.first_block("llm", "m", ())
        assert (hold.backend_id, hold.kind) == ("i-1", PressureKind.REST)
        assert 2.0 <= hold.free_s <= 2.3
        return found

    chosen, none = run_in_virtual_time(choose_heads())
    assert chosen.backend_id == "i-1"
    assert none is None
