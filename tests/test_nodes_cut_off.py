"""Separate processes: a node whose links to all backend servers are cut."""

from __future__ import annotations

import asyncio

import pytest
from cut_links import LinkCut
from demo import chat, expected
from fleet import API_KEY, Fleet, NodeProcess, declared_state

NODES, ENGINES = 3, 4
SETTLED_S = 3.0
"""Time from the beginning of the cut on which every request has to be served."""
REQUESTS = 10


async def bill(fleet: Fleet, node: NodeProcess, text: str) -> int:
    """Send a request that must not run twice; return the status of the answer."""
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"{node.url}/services/yard/billing/1"
    async with fleet.session.post(url, json={"text": text}, headers=headers) as reply:
        return reply.status


# Guards against a node that refuses its callers because it has no link to a backend
# server of its own, although the other nodes reach them all.
@pytest.mark.parametrize("kind", [LinkCut.HANG, LinkCut.REFUSE, LinkCut.RESET])
async def test_callers_of_a_node_without_links_to_backend_servers_are_served(
    kind: LinkCut,
) -> None:
    async with Fleet.create(can_cut_links=True) as fleet:
        await fleet.start_standins(engines=ENGINES, spare=0)
        for index in range(NODES):
            await fleet.start_node(fleet.settings(index))
        first, cut, _ = fleet.nodes
        await fleet.apply(first, declared_state(groups=1), 0, "apply-1")
        await fleet.until_converged(first, NODES)
        cut.cut_links(kind)
        await asyncio.sleep(SETTLED_S)
        for number in range(REQUESTS):
            text = f"request {number}"
            assert await chat(fleet, cut, text, stream=True) == expected(text)
            assert await bill(fleet, cut, text) == 200
        counts = await fleet.counts()
        assert counts["violations"] == []
        cut.cut_links(LinkCut.NONE)
        assert await chat(fleet, cut, "later", stream=False) == expected("later")
