"""Soak test: real processes under random faults, with all guarantees checked.

Nodes reach the store through proxies that delay, reset or silence connections or drop
one direction; links to all backend servers are cut; signals kill, pause, stop and
restart nodes; engines crash, drain, slow down, stand still, limit their load and are
added; plain servers crash and start again, also while a node is paused, and answers
have no length or no end; nodes stop in series, also while all of this happens, and get
only a share of a core; the store is busy, silent or restored from backup. Callers, some
of which use a connection until its node terminates, and an operator send requests.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import attrs
from cyclopts import App, Parameter
from fleet import Fleet, NodeProcess
from loopback_proxy import LoopbackProxy
from soak_broken_faults import FAULT_NAME, BrokenFaults
from soak_callers import Callers
from soak_dialects import OwnDialect, PlatformDialect
from soak_endless_faults import EndlessFaults
from soak_engine_faults import SPARE_ENGINES, EngineFaults
from soak_exchange_checks import ExchangeChecks
from soak_kept_callers import KeptCallers
from soak_ledger import RETRY_RULE, Ledger
from soak_link_faults import LinkFaults
from soak_logs import check_end_lines, check_memory, lines_about, read_logs
from soak_node_faults import GRACE_S, LISTEN_S, NodeFaults
from soak_operator import Operator
from soak_platform import PlatformOperator, start_platform_node
from soak_processes import check_process_ends
from soak_shares import ProcessShares
from soak_store_faults import StoreFaults
from soak_timeline import Timeline

NODES = 4
ENGINES = 10
CALLERS = 6
KEPT_CALLERS_PER_NODE = 5
ENGINES_PER_GROUP = 5
STEP_S = 0.002
"""Time of a token step, with which a stream of 300 events takes 5 to 10 s."""

SETTLE_TIMEOUT_S = 60.0

NODE_FAULTS = {
    "kill_node",
    "pause_node",
    "restart_within_a_pause",
    "stop_node",
    "stop_node_twice",
    "stop_starting_node",
    "stop_nodes_in_series",
    "stop_beside_change",
    "stop_in_outage",
    "stop_beside_pauses",
    "stop_beside_all",
    "hold_one",
    "hold_all",
    "trouble_way",
    "silence_way",
}
"""Faults after which a node may not know for some seconds what the others know."""

app = App(name="soak", help="Random faults on separate processes.")


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class SoakOptions:
    """What runs, and which faults come about."""

    loses_all: bool = False
    """Store outages kill all nodes; engines then check fencing tokens."""
    asks_less: bool = False
    """Engines report rate limits and request back-off."""
    nodes: int = NODES
    """Number of nodes."""
    engines: int = ENGINES
    """Number of engines."""
    on_platform: bool = False
    """Nodes run as on the platform, not with fordhatch's own interface."""
    only: tuple[str, ...] = ()
    """Names of the faults to bring about; all if there are none."""


@attrs.define(eq=False, repr=False)
class Soak:
    """One run of the soak test with one seed."""

    fleet: Fleet
    rng: random.Random
    engines: EngineFaults
    links: LinkFaults
    nodes: NodeFaults
    broken: BrokenFaults
    timeline: Timeline
    ledger: Ledger
    operator: Operator | PlatformOperator
    options: SoakOptions
    is_stopping: bool = False
    started_s: float = attrs.field(factory=time.monotonic)

    async def start(self) -> None:
        """Start all processes and wait until all nodes serve."""
        await self.fleet.start_standins(
            engines=self.options.engines, spare=SPARE_ENGINES, step_s=STEP_S
        )
        for index in range(self.options.nodes):
            proxy = LoopbackProxy(self.fleet.store_port)
            port = await proxy.start()
            self.links.proxies.append(proxy)
            node = await self._start_node(index, port)
            self.timeline.record_start(node).is_up = True
        await self.operator.apply()
        await self.operator.until_converged(self.options.nodes)

    async def _start_node(self, index: int, store_port: int) -> NodeProcess:
        if self.options.on_platform:
            return await start_platform_node(self.fleet, index, store_port)
        settings = self.fleet.settings(
            index, store_port, drain_grace_s=LISTEN_S, drain_limit_s=GRACE_S
        )
        settings["retries"] = attrs.asdict(RETRY_RULE)
        return await self.fleet.start_node(settings)

    # Faults.

    async def faults(self) -> None:
        """Inject random faults, which may overlap, until the run stops."""
        shares = ProcessShares(self.nodes.lives, self.rng)
        endless = EndlessFaults(self.fleet, self.rng, self.timeline)
        store = StoreFaults(self.fleet, self.rng, self.nodes)
        kinds = [
            self.nodes.kill_node,
            self.nodes.pause_node,
            self.nodes.stop_node,
            self.nodes.stop_node_twice,
            self.nodes.stop_starting_node,
            self.nodes.stop_nodes_in_series,
            self.nodes.stop_beside(self.operator.apply_often, "stop_beside_change"),
            self.nodes.stop_beside(store.trouble_store, "stop_in_outage"),
            self.nodes.stop_beside(self.engines.pause_engines, "stop_beside_pauses"),
            self._stop_beside_all,
            shares.hold_one,
            shares.hold_all,
            endless.send_without_end,
            endless.mix_without_end,
            endless.store_without_end,
            self.links.trouble_way,
            self.links.trouble_way,
            self.links.reset_way,
            self.links.silence_way,
            store.trouble_store,
            store.lose_store_answers,
            self.links.cut_links,
            self.links.cut_links,
            self.engines.kill_engine,
            self.engines.kill_engine,
            self.engines.drain_engine,
            self.engines.slow_engine,
            self.engines.pause_engines,
            self.engines.pause_engines,
            self.engines.late_orders,
            self.engines.lose_calls,
            self.engines.crash_under_message,
            self.engines.crash_under_message,
            self.engines.end_answers_with_connections,
            self.engines.end_answers_with_connections,
            self.engines.restart_plain_servers,
            self.nodes.restart_within_a_pause,
            self.nodes.restart_within_a_pause,
            self.engines.reject_requests,
            self.engines.reject_requests,
        ]
        if self.options.asks_less:
            kinds += [self.engines.limit_engine, self.engines.rest_engine] * 2
        if self.options.loses_all:
            kinds += [store.lose_all_nodes] * 2
            await self.fleet.act("check_fencing")
        kinds = [
            k for k in kinds if not self.options.only or _name(k) in self.options.only
        ]
        running: set[asyncio.Task[None]] = set()
        fault = kinds[0] if self.options.only else self.nodes.restart_within_a_pause
        while not self.is_stopping:
            name = _name(fault)
            self.ledger.faults[name] += 1
            self._record_fault(name)
            task = asyncio.ensure_future(fault())
            running.add(task)
            task.add_done_callback(running.discard)
            # More nodes get more faults in the same time.
            pause_s = self.rng.uniform(0.3, 3.0) * NODES / self.options.nodes
            await asyncio.sleep(pause_s)
            fault = self.rng.choice(kinds)
        if running:
            await asyncio.wait(set(running))

    async def _stop_beside_all(self) -> None:
        """Stop nodes in series while engines pause or end and configurations change."""
        acts = [self.engines.pause_engines, self.operator.apply_often]
        kills = [self.engines.kill_engine, self.nodes.kill_node]
        acts += self.rng.sample(kills, self.rng.randrange(len(kills) + 1))
        await asyncio.gather(
            self.nodes.stop_nodes_in_series(), *(act() for act in acts)
        )

    def _record_fault(self, name: str) -> None:
        at_s = time.monotonic() - self.started_s
        self.ledger.fault_times.append(f"{at_s:.2f} {name}")
        if name in NODE_FAULTS:
            self.ledger.node_faults += 1

    # Complete run.

    async def run(self, duration_s: float) -> None:
        """Run under faults for ``duration_s``, end them, and check the guarantees."""
        callers = Callers(
            self.nodes.choose_healthy,
            lambda: self.is_stopping,
            self.ledger,
            self.rng,
            self.timeline,
            lambda: self.engines.bad_message,
        )
        kept = KeptCallers(
            self.fleet.nodes,
            self.timeline,
            lambda: self.is_stopping,
            self.ledger,
            self.rng,
            PlatformDialect() if self.options.on_platform else OwnDialect(),
            names_requests=self.options.on_platform,
        )
        kept_count = self.options.nodes * KEPT_CALLERS_PER_NODE
        callers_count = 0 if self.options.on_platform else CALLERS
        work = [asyncio.ensure_future(callers.run(n)) for n in range(callers_count)]
        work += [asyncio.ensure_future(kept.run(n)) for n in range(kept_count)]
        monitor = asyncio.ensure_future(self.timeline.monitor())
        work.append(asyncio.ensure_future(self.operator.run(lambda: self.is_stopping)))
        if not self.options.only or FAULT_NAME in self.options.only:
            broken = self.broken.run(lambda: self.is_stopping)
            work.append(asyncio.ensure_future(broken))
        faults = asyncio.ensure_future(self.faults())
        await asyncio.sleep(duration_s)
        self.is_stopping = True
        await faults
        await self._heal()
        await asyncio.gather(*work)
        await self._check()
        await asyncio.gather(*(self.nodes.stop(node) for node in self.fleet.nodes))
        monitor.cancel()
        await self._check_exchanges()

    async def _heal(self) -> None:
        self.nodes.continue_all()
        self.links.heal()
        await self.fleet.act("heal_store")
        await self.fleet.act("late_orders", share=0.0)
        await self.fleet.act("lose_calls", share=0.0)
        await self.fleet.act("shed", share=0.0)
        await self.fleet.act("endless", share=0.0)
        await self.fleet.act("endless", of="store", share=0.0)
        await self.fleet.act("broken", share=0.0)
        await self.fleet.act("broken", of="store", share=0.0)

    async def _check(self) -> None:
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                for node in self.fleet.nodes:
                    await self.fleet.wait_until_up(node.ready_url)
                await self.operator.check_active()
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

    async def _check_exchanges(self) -> None:
        """Check the ends of all requests, the logs, and the memory of all processes."""
        attempts, counts = await self.fleet.attempts(), await self.fleet.counts()
        exchanges = self.ledger.exchanges
        lines = read_logs(
            self.fleet.directory / f"{node.name}.log" for node in self.fleet.nodes
        )
        checks = ExchangeChecks(self.timeline, attempts, counts["runs"], GRACE_S)
        for exchange in exchanges:
            outcome = checks.outcome(exchange)
            exchange.is_taken = outcome != "not taken"
            self.ledger.outcomes[f"{exchange.kind}: {outcome}"] += 1
            for text in checks.violations(exchange):
                self.ledger.add_violation(text)
                print(*lines_about(lines, exchange, attempts), sep="\n", flush=True)
        lives = self.timeline.all_lives()
        for text in (
            *check_end_lines(lines, exchanges, attempts),
            *check_process_ends(lives),
            *check_memory(lives),
        ):
            self.ledger.add_violation(text)
        peak_bytes = max(life.peak_bytes for life in lives)
        self.ledger.outcomes["largest memory, MB"] = round(peak_bytes / 1e6)
        lateness_ms = round(1000.0 * self.timeline.lateness_s)
        self.ledger.outcomes["largest lateness of the soak itself, ms"] = lateness_ms


def _name(fault: Callable[[], Awaitable[None]]) -> str:
    return fault.__name__.removeprefix("_")


async def soak(seed: int, duration_s: float, **options: Any) -> Ledger:
    """Run the soak test with one seed; returns outcomes, faults and violations.

    Args:
        seed: Seed of the random faults and requests.
        duration_s: Time under faults, in seconds.
        **options: Fields of ``SoakOptions``.
    """
    chosen = SoakOptions(**options)
    async with Fleet.create(can_cut_links=True) as fleet:
        rng, timeline, ledger = random.Random(seed), Timeline(), Ledger()
        engine_faults = EngineFaults(fleet, rng)
        links = LinkFaults(fleet, rng, timeline)
        nodes = NodeFaults(fleet, rng, ledger, timeline, engine_faults)
        groups = chosen.engines // ENGINES_PER_GROUP
        operator = (
            PlatformOperator(fleet, rng, ledger, nodes.lives)
            if chosen.on_platform
            else Operator(fleet, rng, ledger, nodes.choose_healthy, groups)
        )
        broken = BrokenFaults.from_seed(seed, fleet, ledger.faults, timeline)
        run = Soak(
            fleet,
            rng,
            engine_faults,
            links,
            nodes,
            broken,
            timeline,
            ledger,
            operator,
            chosen,
        )
        await run.start()
        try:
            await run.run(duration_s)
        finally:
            for proxy in links.proxies:
                await proxy.close()
        if ledger.violations:
            print(*ledger.fault_times, f"logs are in {fleet.directory}", sep="\n")
    return ledger


@app.default
def main(
    *,
    seed: Annotated[int, Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, Parameter(help="How many seeds.")] = 1,
    duration_s: Annotated[float, Parameter(help="Seconds under faults.")] = 30.0,
    options: SoakOptions | None = None,
) -> None:
    """Run the soak; the exit status is 1 if a promise was broken."""
    broken = 0
    chosen = attrs.asdict(options or SoakOptions())
    for number in range(seed, seed + seeds):
        ledger = asyncio.run(soak(number, duration_s, **chosen))
        broken += len(ledger.violations)
        print(f"seed {number}: {len(ledger.violations)} violations")
        print(f"  outcomes: {dict(sorted(ledger.outcomes.items()))}")
        print(f"  faults: {dict(sorted(ledger.faults.items()))}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
