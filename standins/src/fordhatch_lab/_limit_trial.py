"""Several nodes that share one server's rate limit, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from fordhatch.core import Timer
from fordhatch.serving.limits._permit_issuer import issuers as rank_nodes

from ._limit_ways import LINK_LATENCY_S, SERVER, STRATEGIES, LimitStrategy, TrialNodes
from ._run import run_in_virtual_time

WINDOW_S = 4.0
BURST_FACTOR = 1.5
BURST_TOLERANCE = 5.0
"""Within any window a server may receive ``BURST_FACTOR`` times the requests of its
limit, plus ``BURST_TOLERANCE``."""


def allowed(limit_per_s: float) -> float:
    """Return the maximum number of requests in a window of ``WINDOW_S``."""
    return BURST_FACTOR * WINDOW_S * limit_per_s + BURST_TOLERANCE


@attrs.frozen
class LimitTrial:
    """Settings of one simulated trial."""

    way: str = "permits"
    nodes: int = 8
    limit_per_s: float = 1.1
    demand: float = 10.0
    """Rate of the callers' requests, as a factor of the limit."""
    skew: float = 0.0
    """Fraction of the requests that all go to one node; the remainder is spread evenly
over all nodes."""
    duration_s: float = 60.0
    seed: int = 1
    is_split: bool = False
    """Whether each node reaches only one of the issuers, or none."""


@attrs.define(eq=False, repr=False)
class LimitPlay:
    """A running trial and the requests that reached the server."""

    trial: LimitTrial
    nodes: TrialNodes
    sent_s: list[float] = attrs.field(factory=list)
    senders: Counter[str] = attrs.field(factory=Counter)

    @classmethod
    def create(cls, trial: LimitTrial) -> LimitPlay:
        """Create the nodes; requires a running event loop."""
        run = cls(trial, TrialNodes(trial.limit_per_s))
        for index in range(trial.nodes):
            run.add(f"n{index}")
        return run

    def add(self, name: str) -> LimitStrategy:
        """Add a node that knows the limit."""
        timer = Timer.from_seed(f"{self.trial.seed}/{name}")
        strategy = STRATEGIES[self.trial.way](self.nodes, name, timer)
        self.nodes.ways[name] = strategy
        return strategy

    async def want(self, name: str, per_s: float, for_s: float) -> None:
        """Generate callers' requests at a node; send those that its strategy allows."""
        rng = random.Random(f"{self.trial.seed}/{name}/callers")
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        strategy = self.nodes.ways[name]
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            if loop.time() > until_s:
                return
            if name not in self.nodes.lost and await strategy.try_acquire():
                await asyncio.sleep(LINK_LATENCY_S)
                self._arrive(name, loop.time())
                strategy.record_answer(
                    is_refused=self._recent_count() > self._refusal_threshold()
                )

    def _arrive(self, name: str, now_s: float) -> None:
        self.sent_s.append(now_s)
        self.senders[name] += 1

    def _refusal_threshold(self) -> float:
        """Return the number of requests in a window above which the server refuses."""
        return WINDOW_S * self.trial.limit_per_s + 1.0

    def _recent_count(self) -> int:
        """Return the number of requests in the window that ends now."""
        since_s = asyncio.get_running_loop().time() - WINDOW_S
        count = 0
        for at_s in reversed(self.sent_s):
            if at_s <= since_s:
                break
            count += 1
        return count

    async def all_want(self) -> None:
        """Generate the callers' requests at all nodes."""
        trial = self.trial
        total = trial.demand * trial.limit_per_s
        names = list(self.nodes.ways)
        wants = dict.fromkeys(names, (1.0 - trial.skew) * total / len(names))
        wants[names[0]] += trial.skew * total
        await asyncio.gather(
            *(self.want(n, w, trial.duration_s) for n, w in wants.items() if w > 0)
        )

    def split(self, issuers: int = 3) -> None:
        """Let each node reach one of the first issuers, or none."""
        names = list(self.nodes.ways)
        ranked = rank_nodes(SERVER.backend_id, names, len(names))
        for index, name in enumerate(names):
            kept = ranked[index % (issuers + 1)]
            is_kept = index % (issuers + 1) < issuers
            self.nodes.cut |= {
                frozenset({name, other})
                for other in ranked[:issuers]
                if other != kept or not is_kept
            }

    def worst(self, window_s: float = WINDOW_S) -> int:
        """Return the largest number of requests in any window."""
        first = largest = 0
        for last, at_s in enumerate(self.sent_s):
            while self.sent_s[first] <= at_s - window_s:
                first += 1
            largest = max(largest, last - first + 1)
        return largest

    def use(self) -> float:
        """Return the used fraction of the limit."""
        return len(self.sent_s) / (self.trial.duration_s * self.trial.limit_per_s)

    def messages_per_s(self) -> float:
        """Return the number of requests between nodes per second."""
        return self.nodes.messages / self.trial.duration_s


def play_limit(trial: LimitTrial) -> LimitPlay:
    """Run a trial in virtual time; equal settings give the same requests."""

    async def run() -> LimitPlay:
        trial_run = LimitPlay.create(trial)
        if trial.is_split:
            trial_run.split()
        await trial_run.all_want()
        return trial_run

    return run_in_virtual_time(run())
