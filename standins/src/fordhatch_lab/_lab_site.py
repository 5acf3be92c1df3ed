"""Nodes, engines and the store of an experiment, in one process."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.catalog import NodeSettings, StoreLimits, SystemBounds
from fordhatch.core import Timer
from fordhatch.node import Clients, Node
from fordhatch_standins import (
    BackendLinks,
    Backends,
    ColdStarts,
    EngineFleet,
    MemoryBackendClient,
    MemoryExchange,
    MemoryNetwork,
    MemoryStoreClient,
    RetryRule,
    StoreModel,
)

from ._experiment import Experiment

LISTEN_S = 0.5
"""How long a leaving node still accepts connections."""

BOUNDS = SystemBounds(
    stable_s=3.0,
    drain_s=2.0,
    grace_s=8.0,
    config_apply_s=2.0,
    outer_s=5.0,
    is_revocation_strict=True,
    revoke_s=5.0,
    retry_budget_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=136.0,
    stall_s=5.0,
    is_fence_required=False,
    load_window_s=5.0,
    load_over=1.1,
    pass_on_s=0.12,
)
"""The bounds of current deployments."""

RETRY_RULE = RetryRule(
    BOUNDS.retry_budget_ratio, BOUNDS.retry_slack, BOUNDS.retry_window_s
)
"""The retry budget of all nodes together, as the stand-ins count it."""


class NoListener:
    """The listener of a node whose callers have no connections."""

    async def stop_listening(self) -> None:
        """Do nothing."""

    def close_idle(self) -> int:
        """Return that no connection may have a request."""
        return 0

    def has_unread(self) -> bool:
        """Return that no answer waits for its caller."""
        return False


@attrs.define(eq=False, repr=False)
class LabNode:
    """A node, its client of the store and its links to the engines."""

    node: Node
    store: MemoryStoreClient
    links: BackendLinks
    """Its links to the engines."""
    serving: set[asyncio.Task[None]] = attrs.field(factory=set)
    """Requests that it serves; they end with its process."""

    @property
    def name(self) -> str:
        """The node's name."""
        return self.node.settings.node_name


@attrs.define(eq=False, repr=False)
class LabSite:
    """The simulated site: store, engines, network and nodes."""

    experiment: Experiment
    rng: random.Random
    store: StoreModel
    backends: Backends
    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    nodes: list[LabNode] = attrs.field(factory=list)
    stopped_node_calls: Counter[str] = attrs.field(factory=Counter)
    """Store calls of nodes that were stopped, by kind and table."""
    names_used: int = 0
    """Number of names that nodes have had."""

    @classmethod
    def create(cls, experiment: Experiment) -> LabSite:
        """Build a site that has not been started."""
        rng = random.Random(experiment.seed)
        store = StoreModel()
        store.put(OPERATOR_TABLE, CONFIGURATION_KEY, experiment.configuration())
        scale = max(experiment.size / 48.0, 1.0)
        fleet = EngineFleet(
            store,
            experiment.model_times(),
            rng,
            loads_per_s=4.0 * scale,
            cold_s=experiment.cold_s,
        )
        fleet.tells_starts = experiment.release_fraction > 0.0
        cold = ColdStarts(experiment.cold_per_s)
        backends = Backends(store, fleet, experiment.pace(), rng, cold=cold)
        return cls(experiment, rng, store, backends)

    async def start(self) -> None:
        """Start the engines and the nodes."""
        for index in range(self.experiment.size):
            self.add_engine(index // self.experiment.per_domain)
        self.names_used = self.experiment.nodes
        for index in range(self.experiment.nodes):
            await self._add_node(index)

    def add_engine(self, domain: int) -> None:
        """Start an empty engine in a fabric domain."""
        zone = f"z{domain % self.experiment.zones}"
        self.backends.add_engine(f"d{domain}", zone)

    async def restart_all(self) -> None:
        """Crash all nodes, then restart them at the same addresses."""
        count = len(self.nodes)
        for one in list(self.nodes):
            await self._end(one)
        for index in range(count):
            await self._add_node(index, is_first_start=False)

    async def restart(self, index: int) -> None:
        """Crash a node, then restart it at the same address."""
        one = self.nodes[index]
        await self._end(one)
        number = int(one.node.settings.node_name.removeprefix("n"))
        await self._add_node(number, is_first_start=False)

    async def stop(self, one: LabNode) -> None:
        """Let a node finish its requests and leave, as on SIGTERM."""
        self.nodes.remove(one)
        await one.node.leave(NoListener(), listen_for_s=LISTEN_S)
        await self._close(one)

    async def start_again(self, one: LabNode) -> None:
        """Start a node that has ended, at the same address."""
        number = int(one.name.removeprefix("n"))
        await self._add_node(number, is_first_start=False)

    async def add_node(self) -> None:
        """Start a node with a name and an address that no other one has had."""
        self.names_used += 1
        await self._add_node(self.names_used - 1, is_first_start=False)

    async def kill(self, one: LabNode) -> None:
        """Crash a node; its callers' connections break."""
        await self._end(one)

    def pause(self, one: LabNode) -> None:
        """Stop a node's process: it is silent to the other nodes and the store."""
        self.network.pools[one.node.settings.peer_address].is_stopped = True
        one.store.is_frozen = True

    async def _end(self, one: LabNode) -> None:
        self.nodes.remove(one)
        await self._close(one)

    async def _close(self, one: LabNode) -> None:
        for task in one.serving:
            task.cancel()
        self.network.drop(one.node.settings.peer_address)
        one.store.is_frozen = True
        self.stopped_node_calls.update(one.store.calls)
        await one.node.close()

    async def _add_node(self, index: int, *, is_first_start: bool = True) -> None:
        name = f"n{index:03d}"
        timer = Timer.from_seed(f"{self.experiment.seed}/{name}")
        address = f"10.250.{index >> 8}.{index & 255}:7000"
        settings = NodeSettings(
            node_name=name,
            zone=f"z{index % self.experiment.zones}",
            region="r",
            instance_address=address,
            caller_address=address,
            ready_address=address,
            peer_address=address,
            is_first_start=is_first_start,
            heartbeat_s=1.2,
            memory_mb=300.0,
            max_descriptors=4100,
            cores=1.07,
            link_mbps=1000.0,
            bounds=attrs.evolve(
                BOUNDS,
                is_revocation_strict=self.experiment.is_revocation_strict,
            ),
            store=StoreLimits(address, 400.0, 2000.0, 65536, 20.0),
        )
        store = MemoryStoreClient(self.store, name)
        links = BackendLinks()
        clients = Clients(
            store,
            MemoryBackendClient(
                self.backends.fleet,
                cold_left_s=self.backends.cold_left_s,
                links=links,
            ),
            MemoryExchange(self.backends, timer, name, links),
            self.network.pool(name, address),
        )
        node = Node.create(settings, timer, clients)
        await node.start()
        self.nodes.append(LabNode(node, store, links))

    def violations(self) -> list[str]:
        """Return the invariants and budgets that have not been kept so far."""
        retries = self.backends.retries.breaches(RETRY_RULE)
        return [*self.backends.fleet.violations, *retries]

    def planner(self) -> LabNode | None:
        """Return the node that holds the planner's lease, if any."""
        return next((n for n in self.nodes if n.node.lease.is_held()), None)

    async def kill_planner(self) -> None:
        """Crash the node that holds the planner's lease."""
        victim = self.planner()
        if victim is not None:
            await self._end(victim)

    def store_calls(self) -> Counter[str]:
        """Return the number of store calls so far, by kind and table."""
        calls = Counter(self.stopped_node_calls)
        for one in self.nodes:
            calls.update(one.store.calls)
        return calls

    async def close(self) -> None:
        """Stop all nodes."""
        for one in self.nodes:
            await one.node.close()
