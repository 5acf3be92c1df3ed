"""Operator of the soak test, who changes the configuration."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import aiohttp
import attrs
from fleet import Fleet, NodeProcess, declared_state
from soak_ledger import Ledger

ACTIVE_LIMIT_S = 8.0
"""Time in which a node must know the current revision once everything healed."""

APPLY_ATTEMPTS = 3


@attrs.define(eq=False, repr=False)
class Operator:
    """Applies changed configuration files."""

    fleet: Fleet
    rng: random.Random
    ledger: Ledger
    choose_node: Callable[[], NodeProcess]
    groups: int
    """Number of groups to declare."""
    revision: int = 0

    async def run(self, is_stopping: Callable[[], bool]) -> None:
        """Apply changed files at random intervals until the run stops."""
        while not is_stopping():
            await asyncio.sleep(self.rng.uniform(3.0, 8.0))
            await self.apply()

    async def apply_often(self) -> None:
        """Apply a few changes, one soon after the other."""
        for _ in range(self.rng.randrange(1, 4)):
            await self.apply()
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def apply(self) -> None:
        """Apply a changed file, with a few attempts."""
        document = declared_state(self.groups)
        document["workspaces"][0]["max_concurrent"] = 200 + self.rng.randrange(50)
        name = f"apply-{self.revision}-{self.rng.random()}"
        for _ in range(APPLY_ATTEMPTS):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                status, body = await self.fleet.apply(
                    self.choose_node(), document, self.revision, name
                )
                if status == 200:
                    self.revision = body["revision"]
                    self.ledger.outcomes["applied"] += 1
                    return
            await asyncio.sleep(1.0)
        self.ledger.outcomes["apply given up"] += 1
        await self._refresh_revision()

    async def _refresh_revision(self) -> None:
        """Read the current revision after an apply with an unknown outcome."""
        for node in self.fleet.nodes:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                found = await self.fleet.read(node, "/config")
                self.revision = max(self.revision, found.get("revision", 0))

    async def until_converged(self, nodes: int) -> None:
        """Wait until the first file is active on all nodes and served."""
        await self.fleet.until_converged(self.fleet.nodes[0], nodes)

    async def check_active(self) -> None:
        """Check that every node knows the current revision."""
        await self._refresh_revision()
        for node in self.fleet.nodes:
            query = f"/config?min_revision={self.revision}"
            found = await self.fleet.read(node, query)
            if found.get("revision", 0) < self.revision:
                self.ledger.add_violation(
                    f"{node.name} has {found} {ACTIVE_LIMIT_S} s after everything "
                    "healed"
                )
