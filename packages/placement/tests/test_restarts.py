"""Backend servers that restart under their id, at any time.

Pattern: a backend server's process crashes and restarts before its entry lapses, with
the same id, address and staged weights. It answers every probe, but its group has
stopped.
"""

from __future__ import annotations

import pytest
from planning_site import Site, engines_of, head_and_member, run_scenario, standard_site

from fordhatch.adapter import BACKENDS_TABLE, GroupOrder, OrderKind
from fordhatch.registry import (
    SHARED_TABLE,
    GroupRecord,
    record_key,
)
from fordhatch_standins import EngineModel
from fordhatch_standins._engine_model import Place

REPLACED_WITHIN_S = 3.0
"""Survivors rejoin in 0.2 s, a restarted member joins with staged weights in 1.6 s, and
a group opens in 0.3 s. The head would break only after 5 s, and no entry lapses."""


async def start_reporting_site(site: Site, **options: int) -> None:
    site.fleet.tells_starts = True
    await standard_site(site, **options)


def group_of(engine: EngineModel) -> str:
    return engine.place.group if engine.place is not None else ""


def join_of(place: Place, member: EngineModel) -> GroupOrder:
    """Return the order with which a member had joined its group."""
    return GroupOrder(
        OrderKind.JOIN,
        place.group,
        place.epoch,
        model=place.model,
        members=place.members,
        fencing_token=member.highest_token,
    )


@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("model", ["big", "small"])
def test_a_group_whose_member_restarts_is_replaced_at_once(
    model: str, rank: int
) -> None:
    async def scenario(site: Site) -> None:
        await start_reporting_site(site)
        before = site.working()
        broken = head_and_member(site, model)[rank]
        group = group_of(broken)
        site.fleet.restart(broken)
        assert site.working() == before - 1
        took_s = await site.until(lambda: site.working() >= before, 8)
        assert took_s < REPLACED_WITHIN_S
        assert group not in {group_of(e) for e in site.fleet.engines.values()}

    run_scenario(scenario)


def test_a_join_order_for_an_earlier_start_completes_no_group() -> None:
    """The order reaches the later start, which joins the broken group."""

    async def scenario(site: Site) -> None:
        await start_reporting_site(site)
        before = site.working()
        head, member = head_and_member(site, "big")
        place = head.place
        site.fleet._carry_out(site.fleet.restart(member), join_of(place, member))
        await site.until(lambda: site.working() >= before, 8)
        assert group_of(head) != place.group

    run_scenario(scenario)


def test_a_new_planner_is_not_misled_by_a_late_join() -> None:
    """No running planner saw the restart; only the record names the earlier start."""

    async def scenario(site: Site) -> None:
        await start_reporting_site(site)
        await site.watch(3.0)
        before = site.working()
        for node in list(site.nodes.values()):
            await node.kill()
        site.nodes.clear()
        head, member = head_and_member(site, "big")
        place = head.place
        site.fleet._carry_out(site.fleet.restart(member), join_of(place, member))
        site.add_node("n9")
        await site.until(lambda: site.planner() is not None, 5)
        took_s = await site.until(lambda: site.working() >= before, 10)
        # The head breaks 5 s after the loss, and the lease took 1.4 s to lapse.
        assert took_s < REPLACED_WITHIN_S

    run_scenario(scenario)


@pytest.mark.parametrize("after_s", [0.05, 0.15, 0.3, 0.6, 1.0, 1.7, 1.9])
def test_a_member_that_restarts_while_its_group_forms(after_s: float) -> None:
    async def scenario(site: Site) -> None:
        await start_reporting_site(site, domains=1)
        before = site.working()
        _, member = head_and_member(site, "big")
        started = site.fleet.restart(member)
        await site.watch(after_s)
        site.fleet.restart(started)
        await site.until(lambda: site.working() >= before, 10)

    run_scenario(scenario)


def test_members_that_restart_during_an_outage_of_the_store() -> None:
    async def scenario(site: Site) -> None:
        await start_reporting_site(site)
        before = site.working()
        site.store.faults.is_down = True
        await site.watch(1.0)
        for engine in engines_of(site, "big")[1:6:2]:
            site.fleet.restart(engine)
        await site.watch(2.0)
        site.store.faults.is_down = False
        await site.until(lambda: site.working() >= before, 12)

    run_scenario(scenario)


def test_a_new_planner_knows_that_a_member_has_restarted() -> None:
    """The records of groups identify the start that was a member."""

    async def scenario(site: Site) -> None:
        await start_reporting_site(site)
        await site.watch(3.0)
        before = site.working()
        planner = site.planner()
        del site.nodes[planner.name]
        await planner.kill()
        _, member = head_and_member(site, "big")
        site.fleet.restart(member)
        site.add_node("n9")
        await site.until(lambda: site.working() >= before, 10)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("checks_fencing", [False, True])
def test_restarts_and_late_orders_in_any_order(seed: int, checks_fencing: bool) -> None:
    async def scenario(site: Site) -> None:
        site.fleet.checks_fencing = checks_fencing
        await start_reporting_site(site)
        site.fleet.faults.late_share = 0.25
        for _ in range(12):
            living = [e for e in site.fleet.engines.values() if not e.is_dead]
            engine = site.rng.choice(living)
            if site.rng.random() < 0.25:
                site.fleet.kill(engine)
                site.fleet.add(engine.domain)
            else:
                site.fleet.restart(engine)
            await site.watch(site.rng.uniform(0.05, 1.5))
        site.fleet.faults.late_share = 0.0
        await site.watch(20)
        assert site.working() > 0

    run_scenario(scenario, seed)


def test_an_old_record_does_not_move_a_head_out_of_its_group() -> None:
    """Guard against moving a head to another group while its own group is open.

    All nodes were lost in an outage of the store. The head's entry had lapsed, and two
    records named it: that of its group, and that of a group dissolved earlier. The
    record with the last name won, and a place that only a record names counted as proof
    that the head had left. The first planner after the outage therefore dissolved the
    group, released it in the same step, and moved the head.
    """

    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        head, _ = head_and_member(site, "small")
        place = head.place
        (node,) = site.nodes.values()
        known = node.view.directory.backends
        lost = site.fleet.add(head.domain)
        await site.watch(0.2)
        members = (known[head.backend_id], known[lost.backend_id])
        await node.kill()
        site.fleet.kill(lost)
        site.store.remove(BACKENDS_TABLE, lost.backend_id)
        site.store.remove(BACKENDS_TABLE, head.backend_id)
        before = GroupRecord("small.3", 3, members)
        site.store.put(SHARED_TABLE, record_key("small.3", 3), before.to_bytes())
        site.add_node("n0")
        await site.watch(1.5)
        site.fleet.come_back(within_s=0.5)
        await site.watch(6)
        assert head.place is place

    run_scenario(scenario)
