"""The store is unavailable for seconds and is then restored from a backup."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.catalog import BackendState
from fordhatch.registry import SECRET_KEY, SHARED_TABLE, node_key
from fordhatch_lab import Experiment, LabSite, run_in_virtual_time
from fordhatch_standins import StoreCopy

WARM_UP_S = 25.0
"""Time until all groups are open: loads take up to 16 s."""

OUTAGE_S = 2.0
"""Duration of the outage before the store is restored."""

REWRITE_S = 1.8
"""Time within which operators and backend servers rewrite lost rows."""

APPLY_S = 2.0
"""Time within which nodes apply a configuration or the departure of a server."""

LEAVING_ID = "i-0001"
"""Id of the backend server that leaves."""

MAX_REWRITES = 8
"""Maximum number of rewriting calls: after an outage each node may access the store."""

LOST_VERSIONS = 40
"""Number of versions that the store assigns after the copy and loses."""


def simulate(scenario: Callable[[LabSite], Awaitable[None]], seed: int = 1) -> None:
    async def run() -> None:
        site = LabSite.create(Experiment(nodes=7, domains=1, seed=seed))
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        try:
            await scenario(site)
        finally:
            await site.close()

    run_in_virtual_time(run())


def write_unrelated(site: LabSite, count: int) -> None:
    """Advance the store's version by changes that no node follows."""
    for _ in range(count):
        site.store.put("others", "k", b"")


def configure(site: LabSite, version: int) -> None:
    data = json.loads(site.experiment.configuration())
    value = json.dumps({**data, "version": version}).encode()
    site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, value)


def versions(site: LabSite) -> set[int]:
    return {one.node.view.configuration.version for one in site.nodes}


async def restore_copy(
    site: LabSite, change: Callable[[LabSite], None] | None = None
) -> None:
    """Copy the store, change the configuration, and restore the copy after an outage.

    Args:
        site: The site.
        change: Change that is made before any node polls again; the store's version
            then advances past all lost versions.
    """
    copy = site.store.copy()
    write_unrelated(site, LOST_VERSIONS)
    configure(site, 5)
    await asyncio.sleep(1.0)
    assert versions(site) == {5}
    site.store.faults.is_down = True
    await asyncio.sleep(OUTAGE_S)
    lost = site.store.restore(copy)
    if change is not None:
        change(site)
        write_unrelated(site, 2 * LOST_VERSIONS)
    site.store.faults.is_down = False
    site.store.write_again(lost, REWRITE_S, site.rng)


def drain(site: LabSite) -> None:
    fleet = site.backends.fleet
    fleet.drain(fleet.engines[LEAVING_ID])


def states(site: LabSite) -> set[BackendState]:
    """Return the states that the nodes know for the leaving backend server."""
    return {one.node.view.directory.backends[LEAVING_ID].state for one in site.nodes}


def test_change_after_restore_takes_effect_in_time() -> None:
    async def scenario(site: LabSite) -> None:
        await restore_copy(site)
        await asyncio.sleep(REWRITE_S)
        configure(site, 7)
        await asyncio.sleep(APPLY_S)
        assert versions(site) == {7}

    simulate(scenario)


def test_a_change_under_a_version_that_was_given_out_twice_is_in_force() -> None:
    async def scenario(site: LabSite) -> None:
        await restore_copy(site, lambda site: configure(site, 7))
        await asyncio.sleep(APPLY_S)
        assert versions(site) == {7}

    simulate(scenario)


def test_departure_after_restore_takes_effect_in_time() -> None:
    async def scenario(site: LabSite) -> None:
        await restore_copy(site)
        await asyncio.sleep(0.5)
        drain(site)
        await asyncio.sleep(APPLY_S)
        assert states(site) == {BackendState.DRAINING}

    simulate(scenario)


def test_departure_under_a_version_given_out_twice_takes_effect() -> None:
    async def scenario(site: LabSite) -> None:
        await restore_copy(site, drain)
        await asyncio.sleep(APPLY_S)
        assert states(site) == {BackendState.DRAINING}

    simulate(scenario)


def test_nodes_serve_soon_after_restore() -> None:
    async def scenario(site: LabSite) -> None:
        await restore_copy(site)
        await asyncio.sleep(1.0)
        assert all(one.node.state.refusal() is None for one in site.nodes)

    simulate(scenario)


def test_restore_costs_no_more_calls_than_an_outage() -> None:
    """The bound is 1.5 times the calls after an outage of the same length."""
    seen: dict[bool, int] = {}

    def count(is_restored: bool) -> None:
        async def scenario(site: LabSite) -> None:
            if is_restored:
                await restore_copy(site)
            else:
                site.store.faults.is_down = True
                await asyncio.sleep(OUTAGE_S)
                site.store.faults.is_down = False
            before = site.store.calls
            await asyncio.sleep(5.0)
            seen[is_restored] = site.store.calls - before

        simulate(scenario)

    count(is_restored=False)
    count(is_restored=True)
    assert seen[True] <= 1.5 * seen[False]


def own_rows(site: LabSite) -> dict[str, bytes]:
    """Return the rows in the store that the nodes write."""
    found = site.store.rows.items()
    return {name[2]: r.value for name, r in found if name[0] == SHARED_TABLE}


def known_nodes(site: LabSite) -> list[set[str]]:
    return [set(one.node.view.shared.nodes) for one in site.nodes]


def test_own_rows_that_a_copy_lacks_are_written_again() -> None:
    """Only nodes can rewrite the rows of nodes, their secret, crashes and groups."""

    async def scenario(site: LabSite, at_start: StoreCopy) -> None:
        await asyncio.sleep(5.0)
        expected = own_rows(site)
        assert {SECRET_KEY, node_key("n000"), "crash/c/i-0001"} <= set(expected)
        known = known_nodes(site)
        site.store.faults.is_down = True
        await asyncio.sleep(OUTAGE_S)
        lost = site.store.restore(at_start)
        site.store.faults.is_down = False
        site.store.write_again(lost, REWRITE_S, site.rng)
        writes = site.store_calls()[f"write {SHARED_TABLE}"]
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert known_nodes(site) == known
        assert own_rows(site) == expected
        assert site.store_calls()[f"write {SHARED_TABLE}"] - writes <= MAX_REWRITES

    async def run() -> None:
        site = LabSite.create(Experiment(nodes=7, domains=1))
        at_start = site.store.copy()
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        value = b'{"stage": 2, "node_name": "n000"}'
        site.store.put(SHARED_TABLE, "crash/c/i-0001", value)
        try:
            await scenario(site, at_start)
        finally:
            await site.close()

    run_in_virtual_time(run())


def test_a_node_whose_row_only_the_lost_store_knew_registers_again() -> None:
    async def scenario(site: LabSite) -> None:
        copy = site.store.copy()
        name = site.nodes[3].node.settings.node_name
        del copy.rows[SHARED_TABLE, "", node_key(name)]
        for one in site.nodes:
            # As if the row had been written just before the store was lost.
            one.node.view.own.copy.rows.pop(node_key(name))
        site.store.restore(copy)
        await asyncio.sleep(4.0)
        assert node_key(name) in own_rows(site)
        assert all(name in one.node.view.shared.nodes for one in site.nodes)

    simulate(scenario)


def test_a_node_that_starts_after_the_return_knows_what_was_in_force() -> None:
    """The copy has an earlier configuration than the other nodes."""

    async def scenario(site: LabSite) -> None:
        copy = site.store.copy()
        configure(site, 5)
        await asyncio.sleep(1.0)
        site.store.faults.is_down = True
        await asyncio.sleep(OUTAGE_S)
        site.store.restore(copy)
        site.store.faults.is_down = False
        await asyncio.sleep(0.3)
        await site.restart(2)
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert versions(site) <= {0, 5}
        assert versions(site) == {5}

    simulate(scenario)
