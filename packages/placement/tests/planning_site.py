"""A test site of engines, a store and planners on a virtual clock."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Mapping

import attrs

from fordhatch.adapter import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    decode_settings,
    evacuation_key,
)
from fordhatch.core import TaskSet, Timer
from fordhatch.placement import Planner, PlannerLease
from fordhatch.registry import BackendContact, BackendProber, StoreSource, StoreView
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import (
    EngineFleet,
    EngineModel,
    MemoryBackendClient,
    MemoryStoreClient,
    ModelTimes,
    StoreModel,
)


@attrs.frozen
class SiteShape:
    """Models, domains and limits of a site."""

    models: Mapping[str, ModelTimes]
    per_domain: int = 8
    loads_per_s: float = 4.0
    loads_at_once: int = 6
    call_cost_s: float = 0.0
    """Processor time that a call to a backend server takes on a node, in seconds."""


MODELS = {"big": ModelTimes(4, 16.0, 1.6), "small": ModelTimes(2, 12.0, 1.1)}
SHARES = {"big": 0.67, "small": 0.33}
PACES = {"big": 1.0, "small": 0.6}

STANDARD_SHAPE = SiteShape(MODELS)

LARGE_SHAPE = SiteShape(
    {"big": ModelTimes(16, 16.0, 1.6), "small": ModelTimes(8, 12.0, 1.1)},
    per_domain=37,
    loads_per_s=77.0,
    loads_at_once=115,
)
"""Groups of sixteen and eight in domains of 37, of which five are left over."""

BOUNDS = """
node-name = "n"
ip = "10.0.0.1"
zone = "z1"
region = "r"
port-range = [1,2]
heartbeat-ms = 1200
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
[limits]
memory-mb = 300
max-fds = 4100
[bounds]
stable-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
outer-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 136
stall-ms = 5000
ceiling-window-s = 5
ceiling-over = 1.1
pass-ms = 120
[platform]
address = "10.0.0.9:1"
writes-per-s = 400
reads-per-s = 2000
row-bytes = 65536
history-s = 20
"""


def engine_configuration(shape: SiteShape = STANDARD_SHAPE) -> bytes:
    """Return the encoded configuration of one service with two models."""
    models = [
        {
            "name": name,
            "size": times.size,
            "share": SHARES[name],
            "pace": PACES[name],
            "load-s": times.load_s,
            "warm-s": times.warm_s,
        }
        for name, times in shape.models.items()
    ]
    engine = {
        "slots": 13,
        "stride": 5,
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "read_per_s": 46000.0,
        "loads-per-s": shape.loads_per_s,
        "loads_at_once": shape.loads_at_once,
        "keeps": 1,
        "form-ms": 300.0,
        "models": models,
    }
    service = {"name": "llm", "max-conns": 100, "engine": engine}
    return json.dumps({"version": 1, "routes": [], "services": [service]}).encode()


@attrs.define(eq=False, repr=False)
class PlanningNode:
    """The planning components of a node."""

    name: str
    store: MemoryStoreClient
    backends: MemoryBackendClient
    view: StoreView
    lease: PlannerLease
    planner: Planner
    is_leaving: bool = False
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def start(cls, site: Site, name: str, *, is_first_start: bool) -> PlanningNode:
        """Build a node and run its lease and planner."""
        timer = Timer.from_seed(name)
        store = MemoryStoreClient(site.store, name)
        backends = MemoryBackendClient(site.fleet, call_cost_s=site.shape.call_cost_s)
        view = StoreView.create(StoreSource(store), timer)
        lease = PlannerLease(
            name, store, timer, lambda: sorted(site.nodes), lambda: node.is_leaving
        )
        planner = Planner.create(
            view,
            lease,
            store,
            backends,
            BackendProber(backends, BackendContact(timer, view.directory), timer),
            timer,
            decode_settings(BOUNDS).bounds,
            is_first_start=is_first_start,
            has_traffic=lambda: site.fleet.is_counting_loads,
        )
        node = cls(name, store, backends, view, lease, planner)
        view.start()
        node._tasks.spawn(lease.run(), "lease")
        node._tasks.spawn(planner.run(), "planner")
        return node

    async def kill(self) -> None:
        """Stop without releasing the lease."""
        await self._tasks.close()
        await self.planner.close()
        await self.view.close()


@attrs.define(eq=False, repr=False)
class Site:
    """Engines in domains, a store, and a few planning nodes."""

    rng: random.Random
    shape: SiteShape = STANDARD_SHAPE
    store: StoreModel = attrs.field(factory=StoreModel)
    fleet: EngineFleet = attrs.field(init=False)
    nodes: dict[str, PlanningNode] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        shape = self.shape
        self.fleet = EngineFleet(
            self.store, dict(shape.models), self.rng, loads_per_s=shape.loads_per_s
        )
        self.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, engine_configuration(shape))

    def add_node(self, name: str, *, is_first_start: bool = False) -> PlanningNode:
        self.nodes[name] = PlanningNode.start(self, name, is_first_start=is_first_start)
        return self.nodes[name]

    def planner(self) -> PlanningNode | None:
        """Return the node that holds the lease; assert that there is at most one."""
        holders = [n for n in self.nodes.values() if n.lease.is_held()]
        assert len(holders) <= 1, [n.name for n in holders]
        return holders[0] if holders else None

    def working(self) -> int:
        """Return the number of groups that serve."""
        return sum(self.fleet.working_groups().values())

    async def until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Wait until a condition holds, and return how long that took in seconds."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while not holds():
            self.check()
            assert loop.time() - began_s < limit_s, "not in time"
            await asyncio.sleep(0.02)
        return loop.time() - began_s

    def check(self) -> None:
        """Assert the invariants that hold at all times."""
        self.planner()
        self.fleet.check_serving()
        assert not self.fleet.violations, self.fleet.violations

    async def watch(self, duration_s: float) -> None:
        """Let time pass while checking the invariants."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            self.check()
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        for node in self.nodes.values():
            await node.kill()


def run_scenario(
    scenario: Callable[[Site], Awaitable[None]],
    seed: int = 1,
    shape: SiteShape = STANDARD_SHAPE,
) -> None:
    """Run a scenario on a virtual clock."""

    async def run_and_check() -> None:
        site = Site(random.Random(seed), shape)
        try:
            await scenario(site)
            site.check()
        finally:
            await site.close()

    run_in_virtual_time(run_and_check())


def evacuate(site: Site, *zones: str) -> None:
    """Evacuate exactly these zones, on behalf of the operators."""
    rows = [name[2] for name in site.store.rows if name[0] == OPERATOR_TABLE]
    for key in {evacuation_key(zone) for zone in zones} - {*rows}:
        site.store.put(OPERATOR_TABLE, key, b"{}")
    kept = {CONFIGURATION_KEY, *(evacuation_key(zone) for zone in zones)}
    for key in {*rows} - kept:
        site.store.remove(OPERATOR_TABLE, key)


async def standard_site(site: Site, domains: int = 2, nodes: int = 2) -> None:
    """Start nodes and full domains of engines, and wait for their groups.

    Afterwards the site is stable, weights are staged on all hosts, and loads count
    against the limit.
    """
    per_domain = site.shape.per_domain
    for index in range(domains * per_domain):
        site.fleet.add(f"d{index // per_domain}")
    for index in range(nodes):
        site.add_node(f"n{index}", is_first_start=True)
    await site.until(lambda: site.working() >= domains * 2, 60)
    await site.watch(60)
    site.fleet.is_counting_loads = True


def engines_of(site: Site, model: str) -> list[EngineModel]:
    """Return the running engines in groups of a model."""
    return [
        e
        for e in site.fleet.engines.values()
        if not e.is_dead and e.place is not None and e.place.model == model
    ]


def head_and_member(site: Site, model: str) -> tuple[EngineModel, EngineModel]:
    """Return the head of a group of a model and the member of rank 1."""
    head = next(e for e in engines_of(site, model) if e.place.rank == 0)
    return head, site.fleet.engines[head.place.members[1]]
