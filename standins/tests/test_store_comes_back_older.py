"""Pattern: the store is away for a moment, and comes back from an older copy."""

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
"""Loads take up to 16 s; the groups are open by then."""

AWAY_S = 2.0
"""How long the store is away before it comes back."""

AGAIN_S = 1.8
"""Within this time operators and backend servers write again what is lost."""

APPLY_S = 2.0
"""Within this time a change is in force, and nothing goes to a server that leaves."""

LEAVING = "i-0001"
"""The backend server that leaves."""

MOST_READERS = 8
"""Calls that write again: nodes may ask the store themselves after an outage."""

LOST_VERSIONS = 40
"""Versions that the store gives out after it was copied, and loses."""


def play(scenario: Callable[[LabSite], Awaitable[None]], seed: int = 1) -> None:
    async def run() -> None:
        site = LabSite.create(Experiment(nodes=7, domains=1, seed=seed))
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        try:
            await scenario(site)
        finally:
            await site.close()

    run_in_virtual_time(run())


def write_others(site: LabSite, count: int) -> None:
    """Move the store's counter on by changes that no node follows."""
    for _ in range(count):
        site.store.put("others", "k", b"")


def configure(site: LabSite, version: int) -> None:
    data = json.loads(site.experiment.configuration())
    value = json.dumps({**data, "version": version}).encode()
    site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, value)


def versions(site: LabSite) -> set[int]:
    return {one.node.view.configuration.version for one in site.nodes}


async def lose(site: LabSite, change: Callable[[LabSite], None] | None = None) -> None:
    """Copy the store, change something, and have it come back as it was copied.

    Args:
        site: The site.
        change: Made before any node asks again; the store's counter then passes all
            versions that it has lost.
    """
    copy = site.store.copy()
    write_others(site, LOST_VERSIONS)
    configure(site, 5)
    await asyncio.sleep(1.0)
    assert versions(site) == {5}
    site.store.faults.is_down = True
    await asyncio.sleep(AWAY_S)
    lost = site.store.restore(copy)
    if change is not None:
        change(site)
        write_others(site, 2 * LOST_VERSIONS)
    site.store.faults.is_down = False
    site.store.write_again(lost, AGAIN_S, site.rng)


def drain(site: LabSite) -> None:
    fleet = site.backends.fleet
    fleet.drain(fleet.engines[LEAVING])


def states(site: LabSite) -> set[BackendState]:
    """Return what the nodes know of the backend server that leaves."""
    return {one.node.view.directory.backends[LEAVING].state for one in site.nodes}


def test_a_change_after_the_store_came_back_older_is_in_force_in_time() -> None:
    async def scenario(site: LabSite) -> None:
        await lose(site)
        await asyncio.sleep(AGAIN_S)
        configure(site, 7)
        await asyncio.sleep(APPLY_S)
        assert versions(site) == {7}

    play(scenario)


def test_a_change_under_a_version_that_was_given_out_twice_is_in_force() -> None:
    async def scenario(site: LabSite) -> None:
        await lose(site, lambda site: configure(site, 7))
        await asyncio.sleep(APPLY_S)
        assert versions(site) == {7}

    play(scenario)


def test_who_leaves_after_the_store_came_back_older_is_left_in_time() -> None:
    async def scenario(site: LabSite) -> None:
        await lose(site)
        await asyncio.sleep(0.5)
        drain(site)
        await asyncio.sleep(APPLY_S)
        assert states(site) == {BackendState.DRAINING}

    play(scenario)


def test_who_leaves_under_a_version_that_was_given_out_twice_is_left() -> None:
    async def scenario(site: LabSite) -> None:
        await lose(site, drain)
        await asyncio.sleep(APPLY_S)
        assert states(site) == {BackendState.DRAINING}

    play(scenario)


def test_nodes_serve_soon_after_the_store_came_back_older() -> None:
    async def scenario(site: LabSite) -> None:
        await lose(site)
        await asyncio.sleep(1.0)
        assert all(one.node.state.refusal() is None for one in site.nodes)

    play(scenario)


def test_a_return_from_a_copy_costs_no_more_calls_than_one_without() -> None:
    """Bound: one and a half times the calls after an outage of the same length."""
    seen: dict[bool, int] = {}

    def count(is_older: bool) -> None:
        async def scenario(site: LabSite) -> None:
            if is_older:
                await lose(site)
            else:
                site.store.faults.is_down = True
                await asyncio.sleep(AWAY_S)
                site.store.faults.is_down = False
            before = site.store.calls
            await asyncio.sleep(5.0)
            seen[is_older] = site.store.calls - before

        play(scenario)

    count(is_older=False)
    count(is_older=True)
    assert seen[True] <= 1.5 * seen[False]


def own_rows(site: LabSite) -> dict[str, bytes]:
    """Return the system's own rows in the store."""
    found = site.store.rows.items()
    return {name[2]: r.value for name, r in found if name[0] == SHARED_TABLE}


def known_nodes(site: LabSite) -> list[set[str]]:
    return [set(one.node.view.shared.nodes) for one in site.nodes]


def test_own_rows_that_a_copy_lacks_are_written_again() -> None:
    """Rows of nodes, their secret, crashes, groups: nobody else writes them again."""

    async def scenario(site: LabSite, at_start: StoreCopy) -> None:
        await asyncio.sleep(5.0)
        expected = own_rows(site)
        assert {SECRET_KEY, node_key("n000"), "crash/c/i-0001"} <= set(expected)
        known = known_nodes(site)
        site.store.faults.is_down = True
        await asyncio.sleep(AWAY_S)
        lost = site.store.restore(at_start)
        site.store.faults.is_down = False
        site.store.write_again(lost, AGAIN_S, site.rng)
        writes = site.store_calls()[f"write {SHARED_TABLE}"]
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert known_nodes(site) == known
        assert own_rows(site) == expected
        assert site.store_calls()[f"write {SHARED_TABLE}"] - writes <= MOST_READERS

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
            # As if the row had come in the last moment before the store was lost.
            one.node.view.own.copy.rows.pop(node_key(name))
        site.store.restore(copy)
        await asyncio.sleep(4.0)
        assert node_key(name) in own_rows(site)
        assert all(name in one.node.view.shared.nodes for one in site.nodes)

    play(scenario)


def test_a_node_that_starts_after_the_return_knows_what_was_in_force() -> None:
    """The copy shows an earlier configuration; the other nodes know better."""

    async def scenario(site: LabSite) -> None:
        copy = site.store.copy()
        configure(site, 5)
        await asyncio.sleep(1.0)
        site.store.faults.is_down = True
        await asyncio.sleep(AWAY_S)
        site.store.restore(copy)
        site.store.faults.is_down = False
        await asyncio.sleep(0.3)
        await site.restart(2)
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert versions(site) <= {0, 5}
        assert versions(site) == {5}

    play(scenario)
