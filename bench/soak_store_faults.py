"""Faults of the store in the soak test, one of which ends all nodes as well."""

from __future__ import annotations

import asyncio
import random

import attrs
from fleet import Fleet
from soak_node_faults import NodeFaults

RESTORE_FRACTION = 0.5
"""Fraction of store outages that end with a restored backup."""


@attrs.define(eq=False, repr=False)
class StoreFaults:
    """Brings about faults of the store, and ends them."""

    fleet: Fleet
    rng: random.Random
    nodes: NodeFaults
    _is_store_healthy: bool = True

    async def trouble_store(self) -> None:
        """Let the store be silent or busy for some seconds; restore it at times."""
        if not self._is_store_healthy:
            return
        self._is_store_healthy = False
        await self.fleet.act("fail_store", how=self.rng.choice(["silent", "busy"]))
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        await self.fleet.act("heal_store", older=self.rng.random() < RESTORE_FRACTION)
        self._is_store_healthy = True

    async def lose_all_nodes(self) -> None:
        """Kill all nodes within an outage of the store, and restart them."""
        if not self._is_store_healthy or self.nodes.busy:
            return
        nodes = list(self.fleet.nodes)
        self.nodes.busy.update(n.name for n in nodes)
        self._is_store_healthy = False
        await self.fleet.act("fail_store", how="busy")
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        await self.fleet.act("lapse_all")
        for node in nodes:
            await self.nodes.kill(node)
        await asyncio.gather(*(self.nodes.restart(node) for node in nodes))
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self.fleet.act("heal_store")
        await self.fleet.act("come_back")
        self._is_store_healthy = True

    async def lose_store_answers(self) -> None:
        """Lose the next answers of the store to writes."""
        await self.fleet.act("lose_answers", count=self.rng.randrange(1, 4))
