"""Choice by the load of all nodes, under totals that are some tenths of a second old.

70 nodes choose among 36 groups of 17 slots, or 123 nodes among three plain servers of
eight. The figures of all ways compared are in docs/design/0016.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import pytest
from serving_site import configuration, route

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.catalog import CallFields, EngineProfile
from fordhatch.core import Timer
from fordhatch.registry import BackendDirectory
from fordhatch.serving import BackendHealth, BackpressureTracker
from fordhatch.serving.groups._head_choice import HeadChoice
from fordhatch.serving.load._memory_need import MemoryNeed
from fordhatch.serving.load._shared_load import BackendLoad, SharedLoad, load_key
from fordhatch_lab import LoadTrial, play_load, run_in_virtual_time
from fordhatch_lab._load_trial import FixedHeads, ManualClock, NoStalls, _entry
from fordhatch_standins import http_answer

TRIAL = LoadTrial(duration_s=8.0)
PLAIN = LoadTrial(
    nodes=123, heads_by_zone=(1, 1, 1), slots=8, service_s=0.05, use=0.6,
    crowded=0.5, late_s=0.02, duration_s=8.0,
)  # fmt: skip


@pytest.mark.parametrize("seed", [1, 2])
def test_stale_totals_do_not_send_all_nodes_to_one_head(seed: int) -> None:
    """The least loaded head of all gets 60 requests at a time for its 17 slots."""
    found = play_load(attrs.evolve(TRIAL, seed=seed))
    least = play_load(attrs.evolve(TRIAL, seed=seed, way="least"))
    assert found.max_requests <= 26 < least.max_requests
    assert found.late < 0.05
    assert found.other_zone_fraction < 0.05


@pytest.mark.parametrize("seed", [1, 2])
def test_half_of_the_heads_slower(seed: int) -> None:
    """By own requests alone, 0.1 of the requests wait behind slow groups."""
    trial = attrs.evolve(TRIAL, seed=seed, use=0.7, slow_heads=18, duration_s=16)
    assert play_load(trial).late < 0.02
    assert play_load(attrs.evolve(trial, way="own")).late > 0.05


@pytest.mark.parametrize("seed", [1, 2])
def test_lost_reports_cost_little(seed: int) -> None:
    trial = attrs.evolve(TRIAL, seed=seed, lost_reports=0.3)
    assert play_load(trial).late < 0.06


@pytest.mark.parametrize("seed", [1, 2])
def test_memory_is_not_overfilled_while_another_group_has_room(seed: int) -> None:
    """Prompts of 15,000 tokens fill 0.35 of all memory, unevenly."""
    trial = attrs.evolve(TRIAL, seed=seed, use=0.9, prompt_tokens=15_000)
    assert play_load(trial).overfilled == 0
    assert play_load(attrs.evolve(trial, way="least")).overfilled > 0


@pytest.mark.parametrize("seed", [1, 2])
def test_plain_servers_of_other_zones_are_used_before_callers_wait(seed: int) -> None:
    """Two thirds of the callers are in a zone with one of three servers."""
    found = play_load(attrs.evolve(PLAIN, seed=seed, way="plain_totals"))
    own = play_load(attrs.evolve(PLAIN, seed=seed, way="plain_own"))
    assert found.late < 0.6 * own.late


# Single choices.

HEADS = [_entry("z0", 0, 4), _entry("z0", 1, 4), _entry("z1", 2, 4)]
NEAR_A, NEAR_B, FAR = (head.backend_id for head in HEADS)


class CountedRandom(random.Random):
    """Counts random draws."""

    draws = 0

    def random(self) -> float:
        self.draws += 1
        return super().random()

    def sample(self, *args: object, **options: object) -> list:
        self.draws += 1
        return super().sample(*args, **options)


def choice(load: SharedLoad | None, rng: random.Random | None = None) -> HeadChoice:
    clock = ManualClock()
    return HeadChoice(
        "z0", FixedHeads(HEADS), BackendHealth(clock), NoStalls(),
        BackpressureTracker(clock, BackendDirectory(clock)),
        rng or random.Random(1), lambda: 8, load,
    )  # fmt: skip


def loaded(*, is_shared: bool = True, **by_id: tuple[int, int]) -> SharedLoad:
    load = SharedLoad(ManualClock(), lambda _: is_shared)
    names = {"near_a": NEAR_A, "near_b": NEAR_B, "far": FAR}
    others = {
        load_key(names[name]): BackendLoad(*counts) for name, counts in by_id.items()
    }
    load.apply_totals(others, 0.1, 0.0)
    return load


def test_a_service_that_does_not_call_for_it_is_served_exactly_as_before() -> None:
    before, after = CountedRandom(3), CountedRandom(3)
    old = choice(None, before)
    new = choice(loaded(is_shared=False, near_a=(9, 9)), after)
    for _ in range(20):
        assert old.choose("llm", "m", ()) is new.choose("llm", "m", ())
    assert before.draws == after.draws == 60


def test_without_recent_totals_the_choice_is_as_before() -> None:
    before, after = CountedRandom(3), CountedRandom(3)
    load = loaded(near_a=(9, 9))
    load.timer.at_s = 1.0
    need = MemoryNeed(10, 10)
    for _ in range(20):
        old = choice(None, before).choose("llm", "m", ())
        assert old is choice(load, after).choose("llm", "m", (), need)
    assert before.draws == after.draws


def test_another_zone_is_used_when_the_own_one_has_no_free_slot() -> None:
    free = choice(loaded(near_a=(3, 0), near_b=(4, 0)))
    assert free.choose("llm", "m", ()).backend_id == NEAR_A
    full = choice(loaded(near_a=(5, 0), near_b=(7, 0), far=(1, 0)))
    assert full.choose("llm", "m", ()).backend_id == FAR
    # Traffic between zones costs more than a short queue.
    fuller = choice(loaded(near_a=(4, 0), near_b=(7, 0), far=(4, 0)))
    assert fuller.choose("llm", "m", ()).backend_id == NEAR_A


def test_a_head_without_memory_is_left_out_while_another_has_room() -> None:
    need = MemoryNeed(tokens=30, capacity_tokens=100)
    found = choice(loaded(near_a=(1, 71), near_b=(1, 71), far=(4, 70)))
    assert found.choose("llm", "m", (), need).backend_id == FAR
    none = choice(loaded(near_a=(1, 71), near_b=(1, 80), far=(1, 80)))
    assert none.choose("llm", "m", (), need).backend_id == NEAR_A
    assert none.choose("llm", "m", (NEAR_A, NEAR_B, FAR), need) is None


@pytest.mark.parametrize(
    ("hint", "maximum", "tokens"),
    [(None, 0, 150), (None, 20, 120), (70, 90, 170), (700, 90, 190), (0, 90, 100)],
)
def test_expected_output(hint: int | None, maximum: int, tokens: int) -> None:
    fields = CallFields("r", None, (), "m", 100, maximum, length_hint_tokens=hint)
    profile = EngineProfile(
        4, 1000, 1, 0.01, 0.0, 0.0, 1e4, 0.0, 2048, 1.0, 1, 0, 0.0, 10.0, 50.0, ()
    )
    assert MemoryNeed.from_request(fields, profile) == MemoryNeed(tokens, 1000)


def test_own_requests_count_at_once() -> None:
    async def count() -> list[float]:
        load = SharedLoad(Timer.from_seed(1), lambda service: service == "llm")
        with load.counted("llm", NEAR_A, 30), load.counted("app", FAR, 0):
            found = [load.total_in_flight(NEAR_A), load.total_tokens(NEAR_A)]
            found.append(load.total_in_flight(FAR))
        return [*found, load.total_in_flight(NEAR_A), len(load.report())]

    assert run_in_virtual_time(count()) == [1.0, 30.0, 0.0, 0.0, 0]


async def test_requests_are_counted_while_they_are_at_a_backend_server(site) -> None:
    """Only of services with urgency classes, and with the caller's length hint."""
    load = site.callers.dispatch.plain.runs.load
    seen: list[tuple[float, float]] = []

    def counts(name: str, answer: Callable) -> Callable:
        async def script(request: object, writer: object) -> None:
            seen.append((load.total_in_flight(name), load.total_tokens(name)))
            await answer(request, writer)

        return script

    async def answers(request: object, writer: object) -> None:
        writer.write(http_answer(request, b"id: 1\ndata: t\n\n"))

    await site.add_backend(counts("i-a", answers), backend_id="i-a")
    await site.add_backend(counts("i-g", answers), backend_id="i-g", group="small.1")
    assert (await site.ask("/get/1")).status == 200
    assert (await site.ask("/stream/1")).status == 200
    assert seen == [(0.0, 0.0)] * 2
    routes = [
        route("/get/", "idempotent", "app", priority=1),
        route("/once/", "idempotent", "app", priority=2),
        route("/stream/", "streaming", "llm"),
        route("/single/", "streaming", "llm", priority=3),
    ]
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(2, routes=routes))
    await site.until(lambda: site.view.configuration.version == 2)
    await site.ask("/get/1")
    await site.ask("/stream/1", **{"X-Length-Hint": "20"})
    await site.ask("/stream/1", **{"X-Length-Hint": "90"})
    assert seen[2:] == [(1.0, 0.0), (1.0, 120.0), (1.0, 150.0)]
    assert not load.has_own()
