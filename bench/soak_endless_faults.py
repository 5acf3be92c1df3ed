"""Faults in which backend servers send bytes without end."""

from __future__ import annotations

import asyncio
import random

import attrs
from fleet import Fleet

from fordhatch_standins import EndlessKind


@attrs.define(eq=False, repr=False)
class EndlessFaults:
    """Lets some answers of backend servers have no end for some seconds."""

    fleet: Fleet
    rng: random.Random

    async def send_without_end(self) -> None:
        """Send one kind of answer without end, as a share of all answers."""
        kind = self.rng.choice(list(EndlessKind))
        await self.fleet.act("endless", share=self.rng.uniform(0.02, 0.2), kinds=[kind])
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        await self.fleet.act("endless", share=0.0)

    async def mix_without_end(self) -> None:
        """Send all kinds of answers without end."""
        await self.fleet.act("endless", share=self.rng.uniform(0.02, 0.2))
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        await self.fleet.act("endless", share=0.0)
