"""Nodes start, one by one or all at once, with few calls to the store.

After the loss of all nodes every one of them starts. If a start reads every table from
the store and watches each of them, it costs eight to nine calls, a third of the calls
of a day with many faults.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import Experiment, LabSite, run_in_virtual_time

CALLS_PER_START = 3
"""The node's own row, the table of nodes, and sometimes a read of the lease."""


async def wait_until_ready(site: LabSite) -> float:
    """Wait until every node can serve, and return how long that took in seconds."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not all(
        one.node.view.configuration.current and one.node.view.backends.is_loaded
        for one in site.nodes
    ):
        assert loop.time() - began_s < 5.0
        await asyncio.sleep(0.005)
    return loop.time() - began_s


def test_starting_node_gets_its_tables_from_another_node() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=12, domains=1))
        await site.start()
        await asyncio.sleep(8.0)
        last = site.nodes[-1]
        assert not last.node.lease.is_held()
        await site._end(last)
        await site._add_node(11, is_first_start=False)
        assert await wait_until_ready(site) < 0.2
        await asyncio.sleep(1.0)
        assert site.nodes[-1].store.calls.total() <= CALLS_PER_START
        await site.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("nodes", [7, 30])
def test_when_all_nodes_start_at_once_few_read_every_table(nodes: int) -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=nodes, domains=1))
        await site.start()
        await asyncio.sleep(8.0)
        before = site.store_calls()
        await asyncio.sleep(5.0)
        calm = site.store_calls() - before
        before = site.store_calls()
        await site.restart_all()
        assert await wait_until_ready(site) < 0.3
        await asyncio.sleep(5.0)
        calls = (site.store_calls() - before).total() - calm.total()
        # In addition, one node reads every table, and the planner reads its groups.
        assert calls <= CALLS_PER_START * nodes + 20
        await site.close()

    run_in_virtual_time(scenario())


def test_node_that_starts_alone_gets_its_tables_from_the_store() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=4, domains=1))
        await site.start()
        await asyncio.sleep(8.0)
        for one in list(site.nodes):
            await site._end(one)
        await site._add_node(2, is_first_start=False)
        # The rows of the other nodes still exist, but none of these nodes replies.
        assert await wait_until_ready(site) < 2.0
        await site.close()

    run_in_virtual_time(scenario())


def test_nodes_that_all_start_during_a_store_outage_rarely_call_it() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=20, domains=1))
        await site.start()
        await asyncio.sleep(12.0)
        site.store.faults.is_down = True
        await site.restart_all()
        before = site.store_calls()
        await asyncio.sleep(6.0)
        # One table three times a second, its row with growing pauses, no lease read.
        assert (site.store_calls() - before).total() <= 20 * 6.0 * 4
        site.store.faults.is_down = False
        assert await wait_until_ready(site) < 0.8
        await site.close()

    run_in_virtual_time(scenario())
