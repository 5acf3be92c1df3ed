"""Orders that get no answer and are carried out seconds later."""

from __future__ import annotations

import asyncio

import pytest
from order_fates import Fate, add_fateful_node, add_staged, carry_out, replace
from planning_site import Site, SiteShape, run_scenario

from fordhatch.adapter import GroupOrder, OrderKind
from fordhatch_standins import EngineModel, ModelTimes

SMALL_ONLY = SiteShape({"small": ModelTimes(2, 12.0, 0.2)})
"""Groups of two that are ready before an order is sent again."""

MIN_LATE_S = 2.0
"""Shortest time from an order without an answer until it is carried out."""

DRAIN_S = 2.5
"""Time from the draining of an engine until it ends."""


def replace_engine(site: Site, engine: EngineModel) -> None:
    """Kill an engine, unless it has ended, and start another one in its domain."""
    if not engine.is_dead:
        site.fleet.kill(engine)
        add_staged(site, engine.domain)


# Guards against a group that is opened while a member may still take an earlier
# unanswered join of a newer group.
def test_a_group_is_not_opened_while_a_member_may_join_a_newer_one() -> None:
    async def scenario(site: Site) -> None:
        held: list[tuple[str, GroupOrder]] = []
        unanswered: set[tuple[str, int]] = set()

        def decide(backend_id: str, order: GroupOrder) -> Fate:
            """Keep one engine's first join of each of the first two groups."""
            key = order.group, order.epoch
            late = held[0][0] if held else order.members[-1:]
            is_kept = order.kind is OrderKind.JOIN and backend_id in late
            if not is_kept or key in unanswered or len(held) == 2:
                return Fate.ANSWERED
            unanswered.add(key)
            return Fate.KEPT

        for name in ("a", "b", "c"):
            add_fateful_node(site, name, decide, held)
        await site.until(lambda: site.planner() is not None, 10)
        await site.watch(3.0)
        for _ in range(3):
            add_staged(site, "d0")
        await site.until(lambda: len(held) == 1, 10)
        await site.watch(0.1)
        await replace(site, site.planner())
        await site.until(lambda: len(held) == 2, 10)
        await site.watch(0.2)
        carry_out(site, held[0])
        await site.watch(MIN_LATE_S)
        carry_out(site, held[1])
        await site.watch(8.0)
        assert site.working() == 1

    run_scenario(scenario, shape=SMALL_ONLY)


# Guards against a head that has left its group and takes it up again, by a join and an
# open that come late: it is open when it joins the next group.
@pytest.mark.parametrize("is_replaced", [True, False])
def test_a_head_that_joins_again_late_does_not_open(is_replaced: bool) -> None:
    async def scenario(site: Site) -> None:
        kept: list[tuple[str, GroupOrder]] = []
        next_joins: list[tuple[str, GroupOrder]] = []
        seen: set[tuple[str, OrderKind, int]] = set()

        def decide(backend_id: str, order: GroupOrder) -> Fate:
            """Keep the head's first join and open, and all joins of the next group."""
            key = backend_id, order.kind, order.epoch
            is_first, _ = key not in seen, seen.add(key)
            epoch = kept[0][1].epoch if kept else order.epoch
            if order.kind is OrderKind.JOIN and order.epoch > epoch:
                next_joins.append((backend_id, order))
                return Fate.KEPT
            is_head = backend_id == (order.members or (kept and kept[0][0],))[0]
            if is_first and order.kind is OrderKind.JOIN and is_head:
                return Fate.KEPT
            is_open = order.kind is OrderKind.OPEN
            return Fate.KEPT if is_open and is_first else Fate.ANSWERED

        for name in ("a", "b", "c"):
            add_fateful_node(site, name, decide, kept)
        await site.until(lambda: site.planner() is not None, 10)
        await site.watch(3.0)
        for _ in range(2):
            add_staged(site, "d0")

        def has(kind: OrderKind) -> bool:
            return any(order.kind is kind for _, order in kept)

        await site.until(lambda: has(OrderKind.OPEN), 10)
        planner = site.planner()
        if is_replaced:
            await replace(site, planner)
        else:
            await site.until(lambda: site.working() == 1, 10)
            group = next(iter(planner.view.directory.groups("llm").values()))
            planner.planner.supervisor.dissolve(group, "test")
        await site.until(lambda: next_joins, 10)
        head = site.fleet.engines[kept[0][0]]
        assert head.place is None
        carry_out(site, kept[0])
        await site.until(lambda: head.place.state == "ready", 10)
        carry_out(site, next(k for k in kept if k[1].kind is OrderKind.OPEN))
        await site.watch(1.0)
        for late in list(next_joins):
            carry_out(site, late)
        await site.watch(3.0)

    run_scenario(scenario, shape=SMALL_ONLY)


# Guards against a formation that is given up because its head's join got no answer and
# the other members, which joined at once, were ready.
def test_a_formation_waits_for_a_join_that_got_no_answer() -> None:
    async def scenario(site: Site) -> None:
        kept: list[tuple[str, GroupOrder]] = []

        def decide(backend_id: str, order: GroupOrder) -> Fate:
            is_head = backend_id == order.members[:1][0] if order.members else False
            return Fate.KEPT if is_head and not kept else Fate.ANSWERED

        add_fateful_node(site, "a", decide, kept)
        await site.until(lambda: site.planner() is not None, 10)
        await site.watch(3.0)
        for _ in range(2):
            add_staged(site, "d0")
        await site.until(lambda: kept, 10)
        assert await site.until(lambda: site.working() == 1, 10) < MIN_LATE_S

    run_scenario(scenario, shape=SMALL_ONLY)


# Guards against planners that open groups which they do not form: with late orders,
# lost engines and killed planners, a member of an open group takes another join.
@pytest.mark.parametrize("seed", [35, 64, 95, 151])
def test_planners_that_follow_each_other_keep_the_members_of_open_groups(seed) -> None:
    async def scenario(site: Site) -> None:
        rng = site.rng
        for name in "abc":
            site.add_node(name)
        for index in range(9):
            add_staged(site, f"d{index // 5}")
        site.fleet.faults.late_share = rng.choice([0.2, 0.35, 0.5])
        site.fleet.faults.lost_share = rng.choice([0, 0.3])
        for step in range(60):
            await site.watch(rng.uniform(0.05, 2.0))
            planner = site.planner()
            if planner is not None and rng.random() < 0.4:
                del site.nodes[planner.name]
                await planner.kill()
                site.add_node(f"n{step}")
            living = [e for e in site.fleet.engines.values() if not e.is_dead]
            kind = rng.random()
            if kind < 0.2:
                replace_engine(site, rng.choice(living))
            elif kind < 0.4:
                leaving = rng.choice(living)
                site.fleet.drain(leaving)
                loop = asyncio.get_running_loop()
                loop.call_later(DRAIN_S, replace_engine, site, leaving)

    run_scenario(scenario, seed, shape=SMALL_ONLY)
