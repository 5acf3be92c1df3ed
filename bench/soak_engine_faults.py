"""Faults of engines in the soak test."""

from __future__ import annotations

import asyncio
import random

import attrs
from fleet import ZONES, Fleet

SPARE_ENGINES = 12
"""Engines that are added in one run at the most."""

PAUSE_RANGE_S = (0.3, 2.0)
"""Range of the time for which a backend server stands still."""

MOST_PAUSES = 6
"""Backend servers that stand still in one fault at the most, one after the other."""

PLAIN_FRACTION = 0.15
"""Fraction of the pauses that concern the plain servers."""


@attrs.define(eq=False, repr=False)
class EngineFaults:
    """Brings about faults of random engines, and ends them."""

    fleet: Fleet
    rng: random.Random
    bad_message: str = ""
    """The message that crashes engines now, if any; callers send it before others."""
    _spares_used: int = 0
    _bad_messages: int = 0

    async def _engine(self) -> str:
        return self.rng.choice((await self.fleet.counts())["engines"])

    async def kill_engine(self) -> None:
        """Crash an engine; another one is added later."""
        if self._spares_used >= SPARE_ENGINES:
            return
        await self.fleet.act("kill", backend=await self._engine())
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        await self._add_engine()

    async def _add_engine(self) -> None:
        port = self.fleet.spare_port + self._spares_used
        self._spares_used += 1
        zone = self.rng.choice(ZONES)
        await self.fleet.act("add", port=port, domain="fabric-0", zone=zone)

    async def drain_engine(self) -> None:
        """Drain an engine, end it, and add another one."""
        if self._spares_used >= SPARE_ENGINES:
            return
        name = await self._engine()
        await self.fleet.act("drain", backend=name)
        await asyncio.sleep(4.0)
        if name in (await self.fleet.counts())["engines"]:
            await self.fleet.act("kill", backend=name)
        await self._add_engine()

    async def slow_engine(self) -> None:
        """Slow an engine down for some seconds."""
        name = await self._engine()
        await self.fleet.act("slow", backend=name, factor=self.rng.uniform(2.0, 8.0))
        await asyncio.sleep(self.rng.uniform(1.0, 6.0))
        await self.fleet.act("slow", backend=name, factor=1.0)

    async def pause_engines(self) -> None:
        """Let one engine after another stand still, and go on; at times the plain ones.

        All of its work pauses, in half of the cases its answers to probes as well.
        """
        for _ in range(self.rng.randrange(1, MOST_PAUSES + 1)):
            pause_s = self.rng.uniform(*PAUSE_RANGE_S)
            is_plain = self.rng.random() < PLAIN_FRACTION
            await self.fleet.act(
                "stand_still",
                backend="" if is_plain else await self._engine(),
                for_s=pause_s,
                mutes_probes=self.rng.random() < 0.5,
            )
            await asyncio.sleep(self.rng.uniform(0.0, pause_s))

    async def limit_engine(self) -> None:
        """Let an engine report a rate limit for some seconds."""
        name, per_s = await self._engine(), self.rng.uniform(0.5, 3.0)
        await self.fleet.act("limit", backend=name, per_s=per_s)
        await asyncio.sleep(self.rng.uniform(4.0, 9.0))
        await self.fleet.act("limit", backend=name, per_s=None)

    async def rest_engine(self) -> None:
        """Let an engine request a back-off for some seconds."""
        name, backoff_s = await self._engine(), self.rng.uniform(0.5, 3.0)
        await self.fleet.act("rest", backend=name, for_s=backoff_s, share=0.6)
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        await self.fleet.act("rest", backend=name, for_s=None, share=1.0)

    async def late_orders(self) -> None:
        """Carry out some orders late and unanswered for some seconds."""
        await self.fleet.act("late_orders", share=0.4)
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        await self.fleet.act("late_orders", share=0.0)

    async def lose_calls(self) -> None:
        """Lose some calls between nodes and engines for some seconds."""
        await self.fleet.act("lose_calls", share=0.3)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        await self.fleet.act("lose_calls", share=0.0)

    async def crash_under_message(self) -> None:
        """Let engines crash under one message of many chats for some seconds."""
        if self.bad_message:
            return
        self._bad_messages += 1
        self.bad_message = f"bad message {self._bad_messages}"
        await self.fleet.act("crash_under", parts=[self.bad_message])
        await asyncio.sleep(self.rng.uniform(3.0, 9.0))
        self.bad_message = ""
        await self.fleet.act("crash_under", parts=[])

    async def reject_requests(self) -> None:
        """Let engines reject most requests for some seconds."""
        await self.fleet.act("shed", share=self.rng.uniform(0.4, 0.9))
        await asyncio.sleep(self.rng.uniform(3.0, 12.0))
        await self.fleet.act("shed", share=0.0)

    async def end_answers_with_connections(self) -> None:
        """Let some answers have no length and end with their connection for a while."""
        await self.fleet.act("lengthless", share=self.rng.uniform(0.3, 1.0))
        await asyncio.sleep(self.rng.uniform(2.0, 8.0))
        await self.fleet.act("lengthless", share=0.0)

    async def restart_plain_servers(self) -> None:
        """Crash the plain servers; others start at their addresses at once."""
        await self.fleet.act("restart_plain")
