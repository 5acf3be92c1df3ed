"""Faults in which backend servers or the store send answers that are none."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import attrs
from fleet import Fleet
from soak_timeline import Timeline

FAULT_NAME = "answer_brokenly"


@attrs.define(eq=False, repr=False)
class BrokenFaults:
    """Lets a small share of answers be broken for some seconds, again and again.

    It draws apart from other faults, so that the others of a seed stay the same.
    """

    fleet: Fleet
    rng: random.Random
    faults: Counter[str]
    """Counts the faults by their name."""
    timeline: Timeline

    @classmethod
    def from_seed(
        cls, seed: int, fleet: Fleet, faults: Counter[str], timeline: Timeline
    ) -> BrokenFaults:
        """Return the faults of a run.

        Args:
            seed: Seed of the run.
            fleet: The processes.
            faults: Counts the faults of the run.
            timeline: Records when answers of backend servers were broken.
        """
        rng = random.Random(f"broken answers {seed}")
        return cls(fleet, rng, faults, timeline)

    async def run(self, is_stopping: Callable[[], bool]) -> None:
        """Bring faults about until the run stops."""
        while not is_stopping():
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            await self.answer_brokenly()

    async def answer_brokenly(self) -> None:
        """Let some answers of backend servers, or of the store, be none."""
        self.faults[FAULT_NAME] += 1
        of = self.rng.choice(("backends", "backends", "store"))
        if of == "store":
            await self._break_for_a_while(of)
            return
        with self.timeline.recorded_broken_answers():
            await self._break_for_a_while(of)

    async def _break_for_a_while(self, of: str) -> None:
        await self.fleet.act("broken", of=of, share=self.rng.uniform(0.01, 0.1))
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await self.fleet.act("broken", of=of, share=0.0)
