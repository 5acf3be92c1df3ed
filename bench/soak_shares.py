"""Holds processes to a share of a core, by stopping and continuing them."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable, Sequence

import attrs
from soak_timeline import ProcessLife, Span

SHARES = (0.5, 0.2)
"""Fractions of the time in which a process may run."""

PERIOD_RANGE_S = (0.01, 0.3)
"""Range of the time in which a process runs once and is stopped once."""

LENGTH_RANGE_S = (2.0, 10.0)
"""Range of the time for which a fault lasts."""


@attrs.define(eq=False, repr=False)
class ProcessShares:
    """Faults in which processes get only a share of a core."""

    lives: Callable[[], Sequence[ProcessLife]]
    """Returns the present processes."""
    rng: random.Random

    async def hold_one(self) -> None:
        """Hold one node's process to a share for some seconds."""
        node = self.rng.choice(self.lives()).node
        await self._hold(lambda: [x for x in self.lives() if x.node == node])

    async def hold_all(self) -> None:
        """Hold the processes of all nodes to a share for some seconds, in step."""
        await self._hold(self.lives)

    async def _hold(self, lives: Callable[[], Sequence[ProcessLife]]) -> None:
        share = self.rng.choice(SHARES)
        until_s = time.monotonic() + self.rng.uniform(*LENGTH_RANGE_S)
        recorded: set[int] = set()
        while time.monotonic() < until_s:
            period_s = self.rng.uniform(*PERIOD_RANGE_S)
            held = [x for x in lives() if not x.is_paused]
            for life in held:
                if id(life) not in recorded:
                    recorded.add(id(life))
                    life.holds.append(Span(time.monotonic(), until_s))
                _send(life, signal.SIGSTOP)
            await asyncio.sleep(period_s * (1.0 - share))
            for life in held:
                # Another fault may have paused the process meanwhile.
                if not life.is_paused:
                    _send(life, signal.SIGCONT)
            await asyncio.sleep(period_s * share)


def _send(life: ProcessLife, number: signal.Signals) -> None:
    """Send a signal that does not count as a pause of the process."""
    if life.process.returncode is None:
        life.process.send_signal(number)
