"""Pattern: many nodes, each of which sees few of the requests that groups have.

195 nodes in five availability zones with two streams a second each; a stream takes
0.75 s at its group. Losses leave zones with unequal numbers of groups: four in one, as
after a fabric domain has gone dark, and twelve in the others. Nothing tells a node what
the others have in flight.
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
from fordhatch.serving import BackendHealth, PressureBook
from fordhatch.serving._head_choice import HeadChoice
from fordhatch_lab import run_in_virtual_time

STREAM_S = 0.75
PLAY_S = 20.0
PER_NODE_S = 2.0


@attrs.define
class HandClock:
    at_s: float = 0.0

    def now_s(self) -> float:
        return self.at_s


class NoStalls:
    """No group has fallen silent."""

    def is_lost(self, head: BackendServer) -> bool:
        return False

    is_avoided = is_lost


@attrs.define
class Heads:
    """Stands in for the directory."""

    heads: list[BackendServer]

    def open_heads(self, service: str, model: str) -> list[BackendServer]:
        return self.heads


def head(index: int, zone: str) -> BackendServer:
    place = GroupMembership(f"m.{index}", index, 0, MemberState.OPEN)
    return BackendServer(
        f"i-{index}", "llm", "10.0.0.1:80", zone, BackendState.READY, 11,
        membership=place,
    )  # fmt: skip


def most_in_flight(
    nodes: int, groups_by_zone: list[int], seed: int
) -> dict[str, float]:
    """Return the mean of each zone's most requests at one group, and over all."""
    clock = HandClock()
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
            PressureBook(clock, BackendDirectory(clock)),
            random.Random(f"{seed}/{index}"), lambda: nodes,
        )
        for index in range(nodes)
    ]  # fmt: skip
    at_head: Counter[str] = Counter()
    served: Counter[str] = Counter()
    ends: list[tuple[float, int, str]] = []
    late = total = 0
    while clock.at_s < PLAY_S:
        clock.at_s += rng.expovariate(PER_NODE_S * nodes)
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
def test_a_zone_with_few_groups_is_not_drowned_by_its_own_nodes(seed: int) -> None:
    """All requests of the zone at its four groups would be 2.6 times the mean."""
    found = most_in_flight(195, [4, 12, 12, 12, 12], seed)
    assert found["busiest"] < 1.3
    # More than a group's eleven places: with unequal zones a third would wait.
    assert found["late"] < 0.06


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_nodes_still_keep_to_their_zone_where_that_costs_nothing(seed: int) -> None:
    clock = HandClock()
    heads = Heads([head(index, f"z{index % 3}") for index in range(12)])
    choice = HeadChoice(
        "z1",
        heads,
        BackendHealth(clock),
        NoStalls(),
        PressureBook(clock, BackendDirectory(clock)),
        random.Random(seed),
        lambda: 8,
    )
    found = Counter(choice.choose("llm", "m", ()).zone for _ in range(100))
    assert found["z1"] == 100


def test_own_requests_weigh_more_than_a_zone() -> None:
    clock = HandClock()
    health = BackendHealth(clock)
    heads = Heads([head(0, "z0"), head(1, "z1")])
    health.in_flight["i-0"] = 1
    for nodes in (1, 8, 195):
        choice = HeadChoice(
            "z0",
            heads,
            health,
            NoStalls(),
            PressureBook(clock, BackendDirectory(clock)),
            random.Random(1),
            lambda n=nodes: n,
        )
        assert choice.choose("llm", "m", ()).backend_id == "i-1"


def test_a_head_that_is_held_is_not_chosen_also_as_the_last_one() -> None:
    clock = HandClock()
    heads = Heads([head(0, "z0"), head(1, "z0")])
    pressure = PressureBook(clock, BackendDirectory(clock))
    pressure.timer = Timer.from_seed(1)
    choice = HeadChoice(
        "z0", heads, BackendHealth(clock), NoStalls(), pressure, random.Random(1), int
    )

    async def ask() -> list[BackendServer | None]:
        first, second = heads.heads
        pressure.heard(first, Backpressure(rest_s=5.0))
        found = [choice.choose("llm", "m", ())]
        pressure.heard(second, Backpressure(rest_s=2.0))
        found.append(choice.choose("llm", "m", ()))
        hold = choice.first_hold("llm", "m", ())
        assert (hold.backend_id, hold.kind) == ("i-1", PressureKind.REST)
        assert 2.0 <= hold.free_s <= 2.3
        return found

    chosen, none = run_in_virtual_time(ask())
    assert chosen.backend_id == "i-1"
    assert none is None
