"""First tokens, caches and fairness under load, for every way to choose a group.

Whole nodes run on a virtual clock with fakes at their edges: engines that batch, cache
prefixes in limited memory and report late. Each policy sees the same requests. The
same seed gives the same figures.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from typing import Annotated, Any
from unittest import mock

import attrs
from cyclopts import App, Parameter
from hdrh.histogram import HdrHistogram
from memory_site import Site, virtual_loop

from fordhatch.routing import CHOOSERS

GROUPS = 4
BATCH = 8
STEP_S = 0.02
TOKENS = 40
PREFIXES = 24
"""Shared starts of prompts; an engine's cache holds about ten of them."""
PREFIX_BLOCKS = 20
CACHE_BLOCKS = 220
PREFILL_S = 0.01
DURATION_S = 16.0
SERVICE_S = TOKENS * STEP_S
CAPACITY = GROUPS * BATCH / (SERVICE_S * 1.6)
"""Requests a second at which the engines are about full, prefill included."""

app = App(name="bench-routing", help="Ways to choose a group, compared.")


@attrs.frozen
class Scenario:
    """What the fleet has to bear."""

    name: str
    load: float
    """Share of the capacity."""
    fault: str = ""


SCENARIOS = [
    Scenario("even load", 0.6),
    Scenario("twice the capacity", 2.0),
    Scenario("a straggling group", 0.6, "straggler"),
    Scenario("a group goes dark", 0.5, "dark"),
]


@attrs.define
class Outcome:
    """What one run came to."""

    first: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, 120_000, 3))
    gap: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, 120_000, 3))
    refused: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, 120_000, 3))
    asked: Counter[str] = attrs.field(factory=Counter)
    done: Counter[str] = attrs.field(factory=Counter)
    cached: int = 0
    generated: int = 0
    delivered: int = 0


@attrs.define(eq=False)
class RoutingBench:
    """One policy in one scenario."""

    chooser: str
    scenario: Scenario
    nodes: int
    seed: int
    direct: bool = False
    site: Site = attrs.field(factory=Site)
    outcome: Outcome = attrs.field(factory=Outcome)

    async def run(self) -> Outcome:
        """Start, send the load and count."""
        await self._start()
        tasks = await self._load()
        await asyncio.gather(*tasks)
        engines = self.site.engines.servers.values()
        self.outcome.generated = sum(e.tokens_generated for e in engines)
        await self.site.close()
        return self.outcome

    async def _start(self) -> None:
        for index in range(GROUPS):
            await self.site.add_engine(
                f"gpu-{index}",
                domain=f"fabric-{index}",
                max_batch=BATCH,
                step_s=STEP_S,
                cache_blocks=CACHE_BLOCKS,
                prefill_s_per_block=PREFILL_S,
            )
        for index in range(self.nodes):
            node = await self.site.add_node(index + 1)
            node.entry.chooser = CHOOSERS[self.chooser](random.Random(index))
        document = self.site.declared(groups=GROUPS, group_size=1, max_running=BATCH)
        document["plain_services"] = []
        document["applications"] = document["applications"][:1]
        for workspace in document["workspaces"]:
            workspace["applications"] = ["estimates"]
        await self.site.apply(document)
        await self.site.until(lambda: len(self.site.serving()) == GROUPS, 60.0)

    async def _load(self) -> list[asyncio.Task[None]]:
        rng = random.Random(self.seed)
        starts = [
            f"prefix {p} ".ljust(64 * PREFIX_BLOCKS, "x") for p in range(PREFIXES)
        ]
        weights = [1 / (rank + 1) for rank in range(PREFIXES)]
        rate = CAPACITY * self.scenario.load
        tasks = []
        self._schedule_fault()
        for index in range(int(rate * DURATION_S)):
            text = rng.choices(starts, weights)[0] + f" {index}"
            # One workspace sends nine in ten requests; both have the same weight.
            workspace = 0 if rng.random() < 0.9 else 1
            node = rng.randrange(self.nodes)
            tasks.append(asyncio.create_task(self._ask(text, workspace, node)))
            await asyncio.sleep(rng.expovariate(rate))
        return tasks

    def _schedule_fault(self) -> None:
        loop, engines = asyncio.get_running_loop(), self.site.engines
        if self.scenario.fault == "straggler":
            engines.servers["gpu-0:80"].faults.step_factor = 4.0
        if self.scenario.fault == "dark":
            dark = {"gpu-0:80"}
            loop.call_later(DURATION_S / 3, engines.down.update, dark)
            loop.call_later(DURATION_S * 2 / 3, engines.down.difference_update, dark)

    async def _ask(self, text: str, workspace: int, node: int) -> None:
        request = self.site.request(text, tokens=TOKENS, timeout_s=10.0)
        owner = self.site.nodes[0].config.current.declared.workspaces[workspace]
        request = attrs.evolve(request, workspace=owner)
        loop = asyncio.get_running_loop()
        started_s = last_s = loop.time()
        name = "large" if workspace == 0 else "small"
        self.outcome.asked[name] += 1

        async def deliver(index: int, token: str) -> None:
            nonlocal last_s
            now_s = loop.time()
            passed = max(1, round(1000 * (now_s - last_s)))
            (self.outcome.first if index == 0 else self.outcome.gap).record_value(
                passed
            )
            self.outcome.delivered += 1
            last_s = now_s

        done = await self.site.nodes[node].entry.run(request, deliver)
        if done.is_ok():
            self.outcome.done[name] += 1
            self.outcome.cached += done.unwrap().cached_tokens > 0
        else:
            waited = max(1, round(1000 * (loop.time() - started_s)))
            self.outcome.refused.record_value(waited)


def run_one(
    chooser: str, scenario: Scenario, nodes: int, seed: int, *, direct: bool = False
) -> Outcome:
    """Run one policy on a virtual clock of its own."""
    loop = virtual_loop()
    bench = RoutingBench(chooser, scenario, nodes, seed, direct)
    try:
        if not direct:
            return loop.run_until_complete(bench.run())

        # Without home nodes every node sends to every group itself.
        def own(row: Any, table: Any) -> list[Any]:
            return [table.own]

        with (
            mock.patch("fordhatch.routing._entry.homes_of", own),
            mock.patch("fordhatch.groups._watcher.homes_of", own),
        ):
            return loop.run_until_complete(bench.run())
    finally:
        loop.close()


HEADER = (
    f"{'':22}{'first token ms':>20}{'gap ms':>12}{'done':>7}{'cached':>8}"
    f"{'small':>7}{'large':>7}{'wasted':>8}{'refused ms':>11}"
)


def report(label: str, found: Outcome) -> None:
    """Print one line."""
    p = found.first.get_value_at_percentile
    asked, done = found.asked, found.done
    total = max(1, done.total())
    wasted = 1 - found.delivered / max(1, found.generated)
    print(
        f"{label:22}{p(50):8.0f}{p(95):6.0f}{p(99):6.0f}"
        f"{found.gap.get_value_at_percentile(50):6.0f}"
        f"{found.gap.get_value_at_percentile(95):6.0f}"
        f"{done.total() / asked.total():7.0%}{found.cached / total:8.0%}"
        f"{done['small'] / max(1, asked['small']):7.0%}"
        f"{done['large'] / max(1, asked['large']):7.0%}{wasted:8.1%}"
        f"{found.refused.get_value_at_percentile(95):11.0f}",
        flush=True,
    )


@app.default
def run(
    *,
    seed: int = 1,
    nodes: Annotated[list[int], Parameter(consume_multiple=True)] = [3, 9],  # noqa: B006
) -> None:
    """Compare every chooser in every scenario, then homes with direct choice."""
    behind = 0
    for scenario in SCENARIOS:
        print(f"\n{scenario.name}, {nodes[0]} nodes, seed {seed}\n{HEADER}")
        found = {name: run_one(name, scenario, nodes[0], seed) for name in CHOOSERS}
        for name, outcome in found.items():
            report(name, outcome)
        ours, others = (
            found["affinity"],
            [found[n] for n in CHOOSERS if n != "affinity"],
        )
        p95 = ours.first.get_value_at_percentile(95)
        best = min(o.first.get_value_at_percentile(95) for o in others)
        print(f"affinity's p95 of the first token / the best other's: {p95 / best:.2f}")
        behind += scenario.load < 1 and p95 > best
    for count in nodes:
        for scenario in SCENARIOS[:2]:
            print(f"\nhomes or direct, {scenario.name}, {count} nodes\n{HEADER}")
            report("homes", run_one("affinity", scenario, count, seed))
            report("direct", run_one("affinity", scenario, count, seed, direct=True))
    print(f"\nscenarios within capacity in which affinity is behind: {behind}")
    sys.exit(0)


if __name__ == "__main__":
    app()
