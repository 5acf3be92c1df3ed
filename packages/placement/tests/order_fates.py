"""Orders whose fate a test decides: answered, lost, or carried out late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

import attrs
from planning_site import PlanningNode, Site
from result import Err, Result

from fordhatch.adapter import GroupOrder, OrderReply
from fordhatch.core import Failure, Ran, ResultCode
from fordhatch_standins import MemoryBackendClient


class Fate(Enum):
    """What becomes of an order."""

    ANSWERED = "answered"
    LOST = "lost"
    """It is carried out and gets no answer."""
    KEPT = "kept"
    """It gets no answer, and is carried out when the test says so."""


Decide = Callable[[str, GroupOrder], Fate]
"""Returns the fate of an order to a backend server."""


@attrs.define(eq=False, repr=False)
class FatefulOrders:
    """A node's client whose orders get the answers that a test decides."""

    client: MemoryBackendClient
    decide: Decide
    kept: list[tuple[str, GroupOrder]]

    def __getattr__(self, name: str) -> object:
        """Return what the client does besides orders."""
        return getattr(self.client, name)

    async def order(
        self, address: str, registered_id: str, order: GroupOrder, *, timeout_s: float
    ) -> Result[OrderReply, Failure]:
        """Send an order, or keep it."""
        fate = self.decide(registered_id, order)
        if fate is not Fate.KEPT:
            got = await self.client.order(
                address, registered_id, order, timeout_s=timeout_s
            )
            if fate is Fate.ANSWERED:
                return got
        else:
            self.kept.append((registered_id, order))
        await asyncio.sleep(timeout_s)
        return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.MAYBE))


def carry_out(site: Site, kept: tuple[str, GroupOrder]) -> None:
    """Carry out an order that was kept."""
    backend_id, order = kept
    site.fleet._carry_out(site.fleet.engines[backend_id], order)


def add_staged(site: Site, domain: str) -> None:
    """Start an engine on a host that keeps the weights of the model."""
    engine = site.fleet.add(domain)
    engine.staged.append("small")
    site.fleet.make_cold(engine, 0.0)


async def replace(site: Site, node: PlanningNode) -> None:
    """Kill the planner and wait for the next one."""
    del site.nodes[node.name]
    await node.kill()
    await site.until(lambda: site.planner() is not None, 10)


def add_fateful_node(
    site: Site, name: str, decide: Decide, kept: list[tuple[str, GroupOrder]]
) -> PlanningNode:
    """Start a node whose orders get the answers that a test decides."""
    node = site.add_node(name)
    node.planner.order_sender.backends = FatefulOrders(node.backends, decide, kept)
    return node
