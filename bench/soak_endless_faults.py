"""Faults in which backend servers or the store send bytes without end."""

from __future__ import annotations

import asyncio
import random

import attrs
from fleet import Fleet
from soak_timeline import Timeline

from fordhatch_standins import EndlessKind


@attrs.define(eq=False, repr=False)
class EndlessFaults:
    """Lets some answers have no end for some seconds."""

    fleet: Fleet
    rng: random.Random
    timeline: Timeline
    """Records when answers of backend servers have no end."""

    async def send_without_end(self) -> None:
        """Let a share of the backend servers' answers have no end, all of one kind."""
        kind = self.rng.choice(list(EndlessKind))
        with self.timeline.recorded_broken_answers():
            share = self.rng.uniform(0.02, 0.2)
            await self.fleet.act("endless", share=share, kinds=[kind])
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))
            await self.fleet.act("endless", share=0.0)

    async def mix_without_end(self) -> None:
        """Let a share of the backend servers' answers have no end, of all kinds."""
        with self.timeline.recorded_broken_answers():
            await self.fleet.act("endless", share=self.rng.uniform(0.02, 0.2))
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))
            await self.fleet.act("endless", share=0.0)

    async def store_without_end(self) -> None:
        """Let answers of the store have no end."""
        share = self.rng.uniform(0.02, 0.2)
        await self.fleet.act("endless", of="store", share=share)
        await asyncio.sleep(self.rng.uniform(2.0, 8.0))
        await self.fleet.act("endless", of="store", share=0.0)
