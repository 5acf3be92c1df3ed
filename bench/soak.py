"""Soak test: real processes under random faults, with all guarantees checked.

Nodes reach the store through proxies that delay, reset or silence connections or drop
one direction; links to all backend servers are cut; signals kill, pause, stop and
restart nodes; engines crash, drain, slow down, limit their load and are added; plain
servers crash and start again, also while a node is paused, and answers have no length;
the store is busy, silent or restored from backup. Callers, which keep connections
until a node terminates, and an operator send requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from typing import Annotated

import aiohttp
import attrs
from cyclopts import App, Parameter
from fleet import Fleet, NodeProcess, declared_state
from loopback_proxy import LoopbackProxy
from soak_callers import Callers
from soak_engine_faults import SPARE_ENGINES, EngineFaults
from soak_ledger import RETRY_RULE, Ledger
from soak_link_faults import LinkFaults

NODES = 4
ENGINES = 10
CALLERS = 6
ACTIVE_LIMIT_S = 8.0
SETTLE_TIMEOUT_S = 60.0
APPLY_ATTEMPTS, RESTORE_FRACTION = 3, 0.5
"""Attempts of an apply; fraction of store outages that end with a restored backup."""

NODE_FAULTS = {
    "kill_node",
    "pause_node",
    "restart_within_a_pause",
    "stop_node",
    "trouble_way",
    "silence_way",
}
"""Faults after which a node may not know for some seconds what the others know."""

app = App(name="soak", help="Random faults on separate processes.")


@attrs.define(eq=False, repr=False)
class Soak:
    """One run of the soak test with one seed."""

    fleet: Fleet
    rng: random.Random
    engines: EngineFaults
    links: LinkFaults
    ledger: Ledger = attrs.field(factory=Ledger)
    revision: int = 0
    is_stopping: bool = False
    loses_all: bool = False
    """Whether store outages kill all nodes; engines then check fencing tokens."""
    asks_less: bool = False
    """Whether engines report rate limits and request back-off."""
    started_s: float = attrs.field(factory=time.monotonic)
    _busy: set[str] = attrs.field(factory=set)
    """Names of nodes with a process fault in progress."""
    _is_store_healthy: bool = True

    async def start(self) -> None:
        """Start all processes and wait until all nodes serve."""
        await self.fleet.start_standins(engines=ENGINES, spare=SPARE_ENGINES)
        for index in range(NODES):
            proxy = LoopbackProxy(self.fleet.store_port)
            port = await proxy.start()
            self.links.proxies.append(proxy)
            settings = self.fleet.settings(index, port, drain_grace_s=1.0)
            settings["retries"] = attrs.asdict(RETRY_RULE)
            await self.fleet.start_node(settings)
        await self._apply()
        await self.fleet.until_converged(self.fleet.nodes[0], NODES)

    def _node(self) -> NodeProcess:
        """Return a random node without a known fault, as a load balancer would."""
        candidates = [n for n in self.fleet.nodes if n.name not in self._busy]
        return self.rng.choice(candidates or self.fleet.nodes)

    async def operator(self) -> None:
        """Apply changed configuration files at random intervals until the run stops."""
        while not self.is_stopping:
            await asyncio.sleep(self.rng.uniform(3.0, 8.0))
            await self._apply()

    async def _apply(self) -> None:
        document = declared_state(2)
        document["workspaces"][0]["max_concurrent"] = 200 + self.rng.randrange(50)
        name = f"apply-{self.revision}-{self.rng.random()}"
        for _ in range(APPLY_ATTEMPTS):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                status, body = await self.fleet.apply(
                    self._node(), document, self.revision, name
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

    # Faults.

    async def faults(self) -> None:
        """Inject random faults, which may overlap, until the run stops."""
        kinds = [
            self._kill_node,
            self._pause_node,
            self._stop_node,
            self.links.trouble_way,
            self.links.trouble_way,
            self.links.reset_way,
            self.links.silence_way,
            self._trouble_store,
            self._lose_store_answers,
            self.links.cut_links,
            self.links.cut_links,
            self.engines.kill_engine,
            self.engines.kill_engine,
            self.engines.drain_engine,
            self.engines.slow_engine,
            self.engines.late_orders,
            self.engines.lose_calls,
            self.engines.crash_under_message,
            self.engines.crash_under_message,
            self.engines.end_answers_with_connections,
            self.engines.end_answers_with_connections,
            self.engines.restart_plain_servers,
            self._restart_within_a_pause,
            self._restart_within_a_pause,
            self.engines.reject_requests,
            self.engines.reject_requests,
        ]
        if self.asks_less:
            kinds += [self.engines.limit_engine, self.engines.rest_engine] * 2
        if self.loses_all:
            kinds += [self._lose_all_nodes] * 2
            await self.fleet.act("check_fencing")
        running: set[asyncio.Task[None]] = set()
        fault = self._restart_within_a_pause
        while not self.is_stopping:
            name = fault.__name__.removeprefix("_")
            self.ledger.faults[name] += 1
            self._record_fault(name)
            task = asyncio.ensure_future(fault())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            fault = self.rng.choice(kinds)
        if running:
            await asyncio.wait(set(running))

    def _record_fault(self, name: str) -> None:
        at_s = time.monotonic() - self.started_s
        self.ledger.fault_times.append(f"{at_s:.2f} {name}")
        if name in NODE_FAULTS:
            self.ledger.node_faults += 1

    def _reserve_node(self) -> NodeProcess | None:
        free = [n for n in self.fleet.nodes if n.name not in self._busy]
        if len(free) <= 1:
            return None
        node = self.rng.choice(free)
        self._busy.add(node.name)
        return node

    async def _kill_node(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        node.send(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        await self._restart_node(node)

    async def _pause_node(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        node.send(signal.SIGSTOP)
        # Callers connected to the node cannot detect the pause: keep choosing it.
        self._busy.discard(node.name)
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        node.send(signal.SIGCONT)
        await self.fleet.act("excuse")

    async def _restart_within_a_pause(self) -> None:
        """Pause a node, and crash and restart the plain servers meanwhile."""
        node = self._reserve_node()
        if node is None:
            return
        await self.fleet.act("lengthless", share=1.0)
        # Answers without a length begin, and the node reads their first halves.
        await asyncio.sleep(self.rng.uniform(0.3, 1.0))
        node.send(signal.SIGSTOP)
        self._busy.discard(node.name)
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        await self.engines.restart_plain_servers()
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        node.send(signal.SIGCONT)
        await self.fleet.act("lengthless", share=0.0)
        await self.fleet.act("excuse")

    async def _stop_node(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        node.send(signal.SIGCONT)
        node.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(30.0):
                status = await node.process.wait()
        except TimeoutError:
            self.ledger.add_violation(f"{node.name} did not end within 30 s of SIGTERM")
            node.send(signal.SIGKILL)
            status = await node.process.wait()
        if status not in (0, -signal.SIGKILL):
            self.ledger.add_violation(f"{node.name} ended with {status} after SIGTERM")
        await self._restart_node(node)

    async def _restart_node(self, node: NodeProcess) -> None:
        """Restart a node and make it available for faults once it handles signals."""
        await self.fleet.restart(node)
        await self.fleet.wait_until_up(f"{node.operators_url}/metrics")
        await self.fleet.act("excuse")
        self._busy.discard(node.name)

    async def _trouble_store(self) -> None:
        if not self._is_store_healthy:
            return
        self._is_store_healthy = False
        await self.fleet.act("fail_store", how=self.rng.choice(["silent", "busy"]))
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        await self.fleet.act("heal_store", older=self.rng.random() < RESTORE_FRACTION)
        self._is_store_healthy = True

    async def _lose_all_nodes(self) -> None:
        if not self._is_store_healthy or self._busy:
            return
        nodes = list(self.fleet.nodes)
        self._busy.update(n.name for n in nodes)
        self._is_store_healthy = False
        await self.fleet.act("fail_store", how="busy")
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        await self.fleet.act("lapse_all")
        for node in nodes:
            node.send(signal.SIGKILL)
            await node.process.wait()
        await asyncio.gather(*(self._restart_node(node) for node in nodes))
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self.fleet.act("heal_store")
        await self.fleet.act("come_back")
        self._is_store_healthy = True

    async def _lose_store_answers(self) -> None:
        await self.fleet.act("lose_answers", count=self.rng.randrange(1, 4))

    # Complete run.

    async def run(self, duration_s: float) -> None:
        """Run under faults for ``duration_s``, end them, and check the guarantees."""
        callers = Callers(
            self._node,
            lambda: self.is_stopping,
            self.ledger,
            self.rng,
            lambda: self.engines.bad_message,
        )
        work = [asyncio.ensure_future(callers.run(n)) for n in range(CALLERS)]
        work.append(asyncio.ensure_future(self.operator()))
        faults = asyncio.ensure_future(self.faults())
        await asyncio.sleep(duration_s)
        self.is_stopping = True
        await faults
        await self._heal()
        await asyncio.gather(*work)
        await self._check()

    async def _heal(self) -> None:
        for node in self.fleet.nodes:
            node.send(signal.SIGCONT)
        self.links.heal()
        await self.fleet.act("heal_store")
        await self.fleet.act("late_orders", share=0.0)
        await self.fleet.act("lose_calls", share=0.0)
        await self.fleet.act("shed", share=0.0)

    async def _check(self) -> None:
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                for node in self.fleet.nodes:
                    await self.fleet.wait_until_up(f"{node.url}/ready")
                await self._refresh_revision()
                for node in self.fleet.nodes:
                    await self._check_active(node)
        except TimeoutError:
            self.ledger.add_violation("not every node serves again within a minute")
        counts = await self.fleet.counts()
        for content in self.ledger.at_most_once:
            if counts["contents"].get(content, 0) > 1:
                self.ledger.add_violation(f"{content} ran more than once")
        for content in self.ledger.not_run:
            if counts["contents"].get(content, 0):
                self.ledger.add_violation(f"{content} ran though refused as not run")
        self.ledger.check_retries(counts["repeats_s"])
        for text in counts["violations"]:
            self.ledger.add_violation(text)
        for part, figures in counts["crashing_parts"].items():
            self.ledger.check_part(part, figures["crashes"], figures["late"])

    async def _check_active(self, node: NodeProcess) -> None:
        query = f"/config?min_revision={self.revision}"
        found = await self.fleet.read(node, query)
        if found.get("revision", 0) < self.revision:
            self.ledger.add_violation(
                f"{node.name} has {found} {ACTIVE_LIMIT_S} s after everything healed"
            )


async def soak(
    seed: int, duration_s: float, *, loses_all: bool = False, asks_less: bool = False
) -> Ledger:
    """Run the soak test with one seed; returns outcomes, faults and violations."""
    async with Fleet.create(can_cut_links=True) as fleet:
        rng = random.Random(seed)
        engines, links = EngineFaults(fleet, rng), LinkFaults(fleet, rng)
        run = Soak(fleet, rng, engines, links, loses_all=loses_all, asks_less=asks_less)
        await run.start()
        try:
            await run.run(duration_s)
        finally:
            for proxy in links.proxies:
                await proxy.close()
        if run.ledger.violations:
            print(*run.ledger.fault_times, f"logs are in {fleet.directory}", sep="\n")
    return run.ledger


@app.default
def main(
    *,
    seed: Annotated[int, Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, Parameter(help="How many seeds.")] = 1,
    duration_s: Annotated[float, Parameter(help="Seconds under faults.")] = 30.0,
    loses_all: Annotated[bool, Parameter(help="Lose all nodes in outages.")] = False,
    asks_less: Annotated[bool, Parameter(help="Engines ask for less.")] = False,
) -> None:
    """Run the soak; the exit status is 1 if a promise was broken."""
    broken = 0
    for number in range(seed, seed + seeds):
        ledger = asyncio.run(
            soak(number, duration_s, loses_all=loses_all, asks_less=asks_less)
        )
        broken += len(ledger.violations)
        print(f"seed {number}: {len(ledger.violations)} violations")
        print(f"  outcomes: {dict(sorted(ledger.outcomes.items()))}")
        print(f"  faults: {dict(sorted(ledger.faults.items()))}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
