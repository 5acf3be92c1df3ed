"""The store is unavailable for seconds, for all nodes or for some of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fordhatch_lab import Experiment, LabNode, LabSite, run_in_virtual_time

WARM_UP_S = 25.0
"""Time until all groups are open: loads take up to 16 s."""

LENIENT = Experiment(nodes=7, domains=1, is_revocation_strict=False)


def simulate(
    experiment: Experiment, scenario: Callable[[LabSite], Awaitable[None]]
) -> None:
    async def run() -> None:
        site = LabSite.create(experiment)
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        await scenario(site)
        await site.close()

    run_in_virtual_time(run())


def serving(site: LabSite) -> list[bool]:
    return [one.node.state.refusal() is None for one in site.nodes]


def test_all_nodes_serve_through_system_wide_outage() -> None:
    async def scenario(site: LabSite) -> None:
        site.store.faults.is_down = True
        for _ in range(24):
            await asyncio.sleep(0.5)
            assert all(serving(site))
            assert all(one.node.state.is_ready() for one in site.nodes)
        site.store.faults.is_down = False
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert all(serving(site))

    simulate(LENIENT, scenario)


def test_silent_store_is_treated_as_outage() -> None:
    async def scenario(site: LabSite) -> None:
        site.store.faults.is_silent = True
        for _ in range(20):
            await asyncio.sleep(0.5)
            assert all(serving(site))

    simulate(LENIENT, scenario)


def test_strict_revocation_stops_all_nodes_in_outage() -> None:
    async def scenario(site: LabSite) -> None:
        site.store.faults.is_down = True
        await asyncio.sleep(3.8)
        assert not any(serving(site))

    simulate(Experiment(nodes=7, domains=1), scenario)


def test_partitioned_nodes_stop_and_the_majority_serves() -> None:
    async def scenario(site: LabSite) -> None:
        cut = {one.node.settings.peer_address for one in site.nodes[:2]}
        site.network.cut = lambda a, b: (a in cut) is not (b in cut)
        for one in site.nodes[:2]:
            site.store.faults.turned_away.add(one.node.settings.node_name)
        await asyncio.sleep(7.0)
        assert serving(site) == [False, False, True, True, True, True, True]
        assert not site.nodes[0].node.state.is_ready()

    simulate(LENIENT, scenario)


def test_nodes_refused_by_the_store_follow_other_nodes() -> None:
    async def scenario(site: LabSite) -> None:
        for one in site.nodes[:3]:
            site.store.faults.turned_away.add(one.node.settings.node_name)
        for _ in range(20):
            await asyncio.sleep(0.5)
            assert all(serving(site))
            assert max(map(age_s, site.nodes)) < 2.0

    simulate(LENIENT, scenario)


def open_head_count(one: LabNode) -> int:
    directory = one.node.view.directory
    return sum(b.is_open_head for b in directory.backends.values())


def test_groups_whose_entries_lapsed_serve_on_after_a_restart_of_all() -> None:
    """All nodes are killed at the end of an outage in which entries expire.

    Heartbeats are sent every 1.2 s, so that the entries reappear one by one within that
    time after the outage.
    """

    async def scenario(site: LabSite) -> None:
        fleet = site.backends.fleet
        heads = sum(fleet.working_groups().values())
        assert heads > 0
        site.store.faults.is_down = True
        await asyncio.sleep(4.0)
        fleet.lapse_all()
        await site.restart_all()
        await asyncio.sleep(0.5)
        site.store.faults.is_down = False
        fleet.come_back(within_s=1.2)
        await asyncio.sleep(0.4)
        assert [open_head_count(one) for one in site.nodes] == [heads] * len(site.nodes)
        await asyncio.sleep(4.0)
        epochs = {e.place.epoch for e in fleet.engines.values() if e.place}
        assert sum(fleet.working_groups().values()) == heads
        assert max(epochs) < site.planner().node.lease.epoch_base * 1000
        assert fleet.violations == []

    simulate(LENIENT, scenario)


def test_who_does_not_come_back_after_the_outage_is_replaced() -> None:
    async def scenario(site: LabSite) -> None:
        fleet = site.backends.fleet
        site.store.faults.is_down = True
        await asyncio.sleep(2.0)
        fleet.lapse_all()
        dead = next(e for e in fleet.engines.values() if e.place and e.place.rank == 1)
        fleet.kill(dead)
        await site.restart_all()
        site.store.faults.is_down = False
        fleet.come_back(within_s=1.2)
        await asyncio.sleep(8.0)
        for one in site.nodes:
            assert dead.backend_id not in one.node.view.directory.backends
        members = [m for h in fleet.check_serving() for m in fleet.members(h)]
        assert dead not in members
        assert fleet.violations == []

    simulate(LENIENT, scenario)


def age_s(one: LabNode) -> float:
    return one.node.view.configuration_age_s()
