"""Many nodes before one server that names a limit, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from fordhatch.core import Timer

from ._limit_ways import LINK_S, WAYS, NodesOfTrial, Way
from ._run import run_in_virtual_time

WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5.0
"""Within a window a server may get the factor times what its limit allows, and the
slack."""


def allowed(limit_per_s: float) -> float:
    """Return how many requests may come within a window."""
    return FACTOR * WINDOW_S * limit_per_s + SLACK


@attrs.frozen
class LimitTrial:
    """What is played."""

    way: str = "permits"
    nodes: int = 8
    limit_per_s: float = 1.1
    demand: float = 10.0
    """Requests that callers would send, as a factor of the limit."""
    skew: float = 0.0
    """Part of them that comes to one node; the others have equal parts of the rest."""
    duration_s: float = 60.0
    seed: int = 1


@attrs.define(eq=False, repr=False)
class LimitPlay:
    """One trial that is being played."""

    trial: LimitTrial
    nodes: NodesOfTrial
    sent_s: list[float] = attrs.field(factory=list)
    senders: Counter[str] = attrs.field(factory=Counter)

    @classmethod
    def create(cls, trial: LimitTrial) -> LimitPlay:
        """Build the nodes; a running event loop is needed."""
        play = cls(trial, NodesOfTrial(trial.limit_per_s))
        for index in range(trial.nodes):
            play.add(f"n{index}")
        return play

    def add(self, name: str) -> Way:
        """Add a node that has heard the limit."""
        timer = Timer.from_seed(f"{self.trial.seed}/{name}")
        way = WAYS[self.trial.way](self.nodes, name, timer)
        self.nodes.ways[name] = way
        return way

    async def want(self, name: str, per_s: float, for_s: float) -> None:
        """Send whenever a caller asks at a node and the server may be asked."""
        rng = random.Random(f"{self.trial.seed}/{name}/callers")
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        way = self.nodes.ways[name]
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            if loop.time() > until_s:
                return
            if name not in self.nodes.lost and await way.take():
                await asyncio.sleep(LINK_S)
                self._arrive(name, loop.time())
                way.answered(is_refused=self.recent() > self._full())

    def _arrive(self, name: str, now_s: float) -> None:
        self.sent_s.append(now_s)
        self.senders[name] += 1

    def _full(self) -> float:
        """Return from how many requests within a window on a server refuses some."""
        return WINDOW_S * self.trial.limit_per_s + 1.0

    def recent(self) -> int:
        """Return the requests within the window that ends now."""
        since_s = asyncio.get_running_loop().time() - WINDOW_S
        count = 0
        for at_s in reversed(self.sent_s):
            if at_s <= since_s:
                break
            count += 1
        return count

    async def all_want(self) -> None:
        """Play the callers of all nodes."""
        trial = self.trial
        total = trial.demand * trial.limit_per_s
        names = list(self.nodes.ways)
        wants = dict.fromkeys(names, (1.0 - trial.skew) * total / len(names))
        wants[names[0]] += trial.skew * total
        await asyncio.gather(
            *(self.want(n, w, trial.duration_s) for n, w in wants.items() if w > 0)
        )

    def worst(self) -> int:
        """Return the most requests within any window."""
        first = most = 0
        for last, at_s in enumerate(self.sent_s):
            while self.sent_s[first] <= at_s - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def use(self) -> float:
        """Return the part of the limit that was used."""
        return len(self.sent_s) / (self.trial.duration_s * self.trial.limit_per_s)

    def messages_per_s(self) -> float:
        """Return questions between nodes a second."""
        return self.nodes.messages / self.trial.duration_s


def play_limit(trial: LimitTrial) -> LimitPlay:
    """Play a trial; the same one gives the same requests."""

    async def play() -> LimitPlay:
        found = LimitPlay.create(trial)
        await found.all_want()
        return found

    return run_in_virtual_time(play())
