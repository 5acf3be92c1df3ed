"""Groups with a member that is lost, and with one that only stands still."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from planning_site import (
    PlanningNode,
    Site,
    engines_of,
    head_and_member,
    run_scenario,
    standard_site,
)

from fordhatch.serving import StallWatch
from fordhatch_standins import EngineModel

SETTLE_S = 8.0
"""Time after which a group that was taken for lost would have been dissolved."""


def watch_of(node: PlanningNode) -> StallWatch:
    """Return a stall watch on a node, which probes as the node's planner does."""
    view = node.view
    return StallWatch(
        node.name,
        node.lease.timer,
        node.store,
        node.planner.losses.prober,
        view.shared,
        view.directory,
    )


def report_silence(node: PlanningNode, watch: StallWatch, head: EngineModel) -> None:
    """Report a head that sent no event, as a node's streams do."""
    watch.report_silence(node.view.directory.backends[head.backend_id])


def run_with_watch(
    scenario: Callable[[Site, PlanningNode, StallWatch], Awaitable[None]],
) -> None:
    """Run a scenario on a settled site whose second node watches the groups."""

    async def run(site: Site) -> None:
        await standard_site(site, nodes=3)
        node = next(n for n in site.nodes.values() if n is not site.planner())
        watch = watch_of(node)
        try:
            await scenario(site, node, watch)
        finally:
            await watch.close()

    run_scenario(run)


# Guards against groups of slow machines that are taken for lost: they were told to all
# nodes and dissolved, which broke their streams.
@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("still_s", [0.3, 0.5, 1.0, 1.5, 2.0])
def test_a_member_that_stands_still_keeps_its_group(rank: int, still_s: float) -> None:
    async def scenario(site: Site, node: PlanningNode, watch: StallWatch) -> None:
        head, member = head_and_member(site, "big")
        place = head.place
        (head, member)[rank].stop_reading(still_s)
        report_silence(node, watch, head)
        end_s = asyncio.get_running_loop().time() + SETTLE_S
        while asyncio.get_running_loop().time() < end_s:
            await site.watch(0.1)
            assert place.group not in {key[0] for key in node.view.shared.suspicions}
        assert not watch.has_found_lost(node.view.directory.backends[head.backend_id])
        assert head.place is place
        assert place.state == "open"

    run_with_watch(scenario)


@pytest.mark.parametrize("still_s", [0.5, 2.0])
def test_all_members_that_stand_still_keep_their_groups(still_s: float) -> None:
    async def scenario(site: Site, node: PlanningNode, watch: StallWatch) -> None:
        engines = engines_of(site, "big") + engines_of(site, "small")
        places = [e.place for e in engines]
        for engine in engines:
            engine.stop_reading(still_s)
        for engine in engines:
            if engine.place.rank == 0:
                report_silence(node, watch, engine)
        await site.watch(SETTLE_S)
        assert [e.place for e in engines] == places

    run_with_watch(scenario)


async def dissolve_after(
    site: Site, node: PlanningNode, watch: StallWatch, lose: Callable
) -> float:
    """Lose a member and return after how many seconds the head has left its group."""
    head, member = head_and_member(site, "big")
    place = head.place
    lose(member)
    report_silence(node, watch, head)
    return await site.until(lambda: head.place is not place, 10)


# Guards against lost members that are found late because slow ones are waited for.
@pytest.mark.parametrize("way", ["crash", "kill"])
def test_a_member_that_is_lost_is_found_at_once(way: str) -> None:
    async def scenario(site: Site, node: PlanningNode, watch: StallWatch) -> None:
        lose = site.fleet.crash if way == "crash" else site.fleet.kill
        took_s = await dissolve_after(site, node, watch, lose)
        assert took_s < 1.3

    run_with_watch(scenario)


def test_a_member_that_never_goes_on_is_found_within_the_stall_time() -> None:
    async def scenario(site: Site, node: PlanningNode, watch: StallWatch) -> None:
        took_s = await dissolve_after(
            site, node, watch, lambda member: member.stop_reading(60.0)
        )
        assert took_s < site.fleet.stall_s + 1.0

    run_with_watch(scenario)
