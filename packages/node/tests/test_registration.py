"""All nodes start at once, for the first time or after the loss of all nodes.

Without a random delay, every node would propose a shared secret by a store call.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch.registry import SECRET_KEY, SHARED_TABLE
from fordhatch_lab import Experiment, LabSite, run_in_virtual_time


@pytest.mark.parametrize("nodes", [7, 40])
def test_few_nodes_propose_a_secret_and_all_use_the_same(nodes: int) -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=nodes, domains=1))
        await site.start()
        await asyncio.sleep(5.0)
        row = site.store.rows[SHARED_TABLE, "", SECRET_KEY]
        assert {one.node.view.shared.secret for one in site.nodes} == {row.value}
        writes = site.store_calls()[f"write {SHARED_TABLE}"]
        # One call per node for its own row; without the random delay twice as many.
        assert writes < nodes + max(nodes / 3, 4)
        await site.restart_all()
        before = site.store_calls()[f"write {SHARED_TABLE}"]
        await asyncio.sleep(1.5)
        assert site.store.rows[SHARED_TABLE, "", SECRET_KEY] == row
        after = site.store_calls()[f"write {SHARED_TABLE}"]
        assert after - before <= nodes + 3
        await site.close()

    run_in_virtual_time(scenario())
