"""Faults of links in the soak test: to the store and to the backend servers."""

from __future__ import annotations

import asyncio
import random
import time

import attrs
from cut_links import LinkCut
from fleet import Fleet
from loopback_proxy import LoopbackProxy
from soak_timeline import Timeline


@attrs.define(eq=False, repr=False)
class LinkFaults:
    """Brings about faults of random nodes' links, and ends them."""

    fleet: Fleet
    rng: random.Random
    timeline: Timeline
    proxies: list[LoopbackProxy] = attrs.field(factory=list)
    """The nodes' ways to the store."""

    def heal(self) -> None:
        """End all faults of links."""
        for node in self.fleet.nodes:
            node.cut_links(LinkCut.NONE)
        for proxy in self.proxies:
            proxy.heal()

    async def trouble_way(self) -> None:
        """Delay, drop or refuse a node's traffic with the store for some seconds."""
        proxy = self.rng.choice(self.proxies)
        match self.rng.randrange(4):
            case 0:
                proxy.delay_s = self.rng.uniform(0.05, 0.6)
            case 1:
                proxy.drops_requests = True
            case 2:
                proxy.drops_answers = True
            case _:
                proxy.refuses = True
                proxy.reset_all()
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        proxy.heal()
        proxy.reset_all()

    async def reset_way(self) -> None:
        """Reset a node's connections to the store."""
        self.rng.choice(self.proxies).reset_all()

    async def silence_way(self) -> None:
        """Let a node's open connections to the store fall silent for good."""
        self.rng.choice(self.proxies).silence_open()

    async def cut_links(self) -> None:
        """Cut the links of some nodes to all backend servers, at times flapping."""
        most = len(self.fleet.nodes) - 1
        nodes = self.rng.sample(self.fleet.nodes, self.rng.randrange(1, most + 1))
        kind = self.rng.choice([LinkCut.HANG, LinkCut.REFUSE, LinkCut.RESET])
        for _ in range(self.rng.choice([1, 1, 3])):
            cuts = [self.timeline.cut_links(node.name, kind) for node in nodes]
            for node in nodes:
                node.cut_links(kind)
            await asyncio.sleep(self.rng.uniform(0.3, 5.0))
            for node in nodes:
                node.cut_links(LinkCut.NONE)
            for cut in cuts:
                cut.ended_s = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
