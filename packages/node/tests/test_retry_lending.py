"""Nodes that lend each other parts of the retry budget."""

from __future__ import annotations

import asyncio
import json

import attrs

from fordhatch.registry import SHARED_TABLE, node_key
from fordhatch_lab import Experiment, LabNode, LabSite, run_in_virtual_time

SERVICE = "llm"
SLACK = 136.0
SETTLED_S = 30.0


@attrs.define
class Fields:
    request_id: str = "r1"


@attrs.define
class Request:
    service: str = SERVICE
    fields: Fields = attrs.field(factory=Fields)
    retry: object = None

    def left_s(self, now_s: float) -> float:
        return 8.0


async def started_site(nodes: int = 4) -> LabSite:
    site = LabSite.create(Experiment(nodes=nodes, domains=1))
    await site.start()
    await asyncio.sleep(SETTLED_S)
    return site


async def spend(node: LabNode, for_s: float) -> int:
    """Use whatever is left at a node, for some seconds."""
    count = 0
    for _ in range(round(for_s / 0.1)):
        while await node.node.path.budget.acquire(Request()):
            count += 1
        await asyncio.sleep(0.1)
    return count


# Guards against a budget of which a node with all the need gets its own part alone.
def test_a_node_with_all_the_need_gets_nearly_all_of_the_slack() -> None:
    async def scenario() -> int:
        site = await started_site()
        spent = await spend(site.nodes[0], 3.0)
        await site.close()
        return spent

    assert 0.9 * SLACK <= run_in_virtual_time(scenario()) <= SLACK


def test_a_start_borrows_from_nodes_that_have_been_up_for_long() -> None:
    async def scenario() -> int:
        site = await started_site()
        await site.restart(0)
        await asyncio.sleep(2.0)
        spent = await spend(site.nodes[-1], 2.0)
        await site.close()
        return spent

    # The part of the node that has restarted is held back.
    assert 0.8 * SLACK <= run_in_virtual_time(scenario()) <= 0.9 * SLACK


def test_a_node_that_is_cut_off_from_the_others_keeps_its_own_part() -> None:
    async def scenario() -> int:
        site = await started_site()
        address = site.nodes[0].node.settings.peer_address
        site.network.cut = lambda a, b: address in (a, b)
        site.store.faults.turned_away = {site.nodes[0].name}
        spent = await spend(site.nodes[0], 2.0)
        await site.close()
        return spent

    assert run_in_virtual_time(scenario()) == int(0.49 * SLACK / 4)


# Guards against a fleet in which nodes of an older build divide all of the slack among
# the nodes, and the others take from the store besides.
def test_an_older_node_is_not_asked_and_the_store_is_left_alone() -> None:
    async def scenario() -> tuple[int, int]:
        site = await started_site()
        older = site.nodes[-1]
        key = node_key(older.name)
        row = json.loads(site.store.rows[SHARED_TABLE, "", key].value)
        del row["lends"]
        site.store.put(SHARED_TABLE, key, json.dumps(row).encode())
        await asyncio.sleep(3.0)
        asked = older.node.path.budget.state(SERVICE).spent
        spent = await spend(site.nodes[0], 2.0)
        lent = older.node.path.budget.state(SERVICE).spent - asked
        await site.close()
        return spent, lent

    spent, lent = run_in_virtual_time(scenario())
    assert lent == 0
    assert 0.49 * SLACK / 2 <= spent <= 0.49 * SLACK * 3 / 4
