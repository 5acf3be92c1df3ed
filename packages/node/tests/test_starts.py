"""Pattern: nodes start, one by one or all at once, and the price is calls to the store.

After the loss of all nodes each of them starts. Where a start reads every table at the
store and watches each of them, it costs eight to nine calls, a third of a bad day's.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import Experiment, LabSite, run_in_virtual_time

CALLS_PER_START = 3
"""Its row, the table that names the others, and sometimes a look at the lease."""


async def until_ready(site: LabSite) -> float:
    """Wait until every node can serve; returns how long that took."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not all(
        one.node.view.configuration.current and one.node.view.backends.is_loaded
        for one in site.nodes
    ):
        assert loop.time() - began_s < 5.0
        await asyncio.sleep(0.005)
    return loop.time() - began_s


def test_a_node_that_starts_has_its_tables_from_another_one() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=12, domains=1))
        await site.start()
        await asyncio.sleep(8.0)
        last = site.nodes[-1]
        assert not last.node.lease.is_held()
        await site._end(last)
        await site._add_node(11, is_first_start=False)
        assert await until_ready(site) < 0.2
        await asyncio.sleep(1.0)
        assert site.nodes[-1].store.calls.total() <= CALLS_PER_START
        await site.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("nodes", [7, 30])
def test_when_all_start_at_once_few_read_every_table(nodes: int) -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=nodes, domains=1))
        await site.start()
        await asyncio.sleep(8.0)
        before = site.store_calls()
        await asyncio.sleep(5.0)
        calm = site.store_calls() - before
        before = site.store_calls()
        await site.restart_all()
        assert await until_ready(site) < 0.3
        await asyncio.sleep(5.0)
        calls = (site.store_calls() - before).total() - calm.total()
        # Besides, somebody reads everything, and the planner looks for its groups.
        assert calls <= CALLS_PER_START * nodes + 20
        await site.close()

    run_in_virtual_time(scenario())


def test_a_node_that_starts_alone_has_its_tables_from_the_store() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=4, domains=1))
        await site.start()
        await asyncio.sleep(8.0)
        for one in list(site.nodes):
            await site._end(one)
        await site._add_node(2, is_first_start=False)
        # The rows of the others are still there, and nobody answers.
        assert await until_ready(site) < 2.0
        await site.close()

    run_in_virtual_time(scenario())


def test_nodes_that_all_start_while_the_store_is_away_ask_it_seldom() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=20, domains=1))
        await site.start()
        await asyncio.sleep(12.0)
        site.store.faults.is_down = True
        await site.restart_all()
        before = site.store_calls()
        await asyncio.sleep(6.0)
        # One table thrice a second, its row ever more seldom, no look at the lease.
        assert (site.store_calls() - before).total() <= 20 * 6.0 * 4
        site.store.faults.is_down = False
        assert await until_ready(site) < 0.8
        await site.close()

    run_in_virtual_time(scenario())
