"""Group downtime and stranded accelerators under faults, in virtual time.

The real planner with its lease, transactions and orders runs against small fakes: a
platform in memory, engines that only load and report, and a weight store with a
limited rate. Each policy sees the same faults. The same seed gives the same figures.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import sys
import time
from collections.abc import Coroutine
from typing import Annotated, Any

import attrs
import looptime
from cyclopts import App, Parameter
from result import Err, Ok, Result

from fordhatch.config import ApplyRequest, ConfigApplier, ConfigFollower
from fordhatch.core import Failure, Ran, ResultCode, Timer
from fordhatch.engine import BackendStatus, Order
from fordhatch.groups import (
    ACTIVE,
    GroupMap,
    GroupPolicy,
    GroupRow,
    OrderSender,
    Planner,
    PlannerLease,
    RebuildPolicy,
    RegionState,
    RepairFirstPolicy,
    classify,
)
from fordhatch.membership import MembershipTable
from fordhatch.platform import Instance
from fordhatch.protocol.messages import GroupReport, NodeRecord
from fordhatch_standins import MemoryPlatform, WeightStore

REGION = "gulf-south"
PROBE_S = 1.0
PERMIT_S = 2.5
SHARD_BYTES = 40_000_000_000
WEIGHT_RATE = 4e9
"""Bytes a second of the weight store: a shard alone takes 10 s."""
DETECTION_S = 2.0

app = App(name="bench-groups", help="The planner's policy against the baseline.")


@attrs.frozen
class Profile:
    """A user's fleet and what it weighs."""

    name: str
    size: int
    """Instances in a replica."""
    domains: list[int]
    """Instances by fabric domain."""
    groups: int
    most: int
    stranded_weight: float
    weighs: str
    """``downtime`` or ``stranded``."""
    duration_s: float
    losses_per_hour: float


PROFILES = [
    Profile("pruitt", 4, [17, 17, 16], 11, 11, 0.1, "downtime", 4 * 3600.0, 20.0),
    Profile("pruitt+1", 4, [17, 17, 16], 11, 12, 0.8, "downtime", 4 * 3600.0, 20.0),
    Profile("heredia", 4, [17, 17, 16], 10, 12, 0.8, "stranded", 4 * 3600.0, 20.0),
    Profile("design", 8, [40] * 10, 46, 46, 0.1, "downtime", 3600.0, 60.0),
]
"""Today's users, Pruitt with a further group, and a region of the design size."""


@attrs.define(eq=False)
class _Engine:
    instance: Instance
    up: bool = True
    order: Order | None = None
    ready: bool = False
    weights: str = ""
    token: int = 0
    boots: int = 0
    loading: asyncio.Task[None] | None = None


@attrs.define(eq=False)
class BenchEngines:
    """Engines that take orders, load from the weight store and report."""

    weights: WeightStore
    engines: dict[str, _Engine] = attrs.field(factory=dict)
    loads: int = 0
    accepted_s: dict[str, float] = attrs.field(factory=dict)

    async def status(self, address: str) -> Result[BackendStatus, Failure]:
        """See ``EngineClient.status``."""
        engine = self.engines[address]
        if not engine.up:
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.NO))
        return Ok(self.report(engine))

    def report(self, engine: _Engine) -> BackendStatus:
        """Return an engine's own report."""
        order = engine.order
        phase = "idle" if order is None else "ready" if engine.ready else "loading"
        return BackendStatus(
            engine.instance.instance_id,
            str(engine.boots),
            phase,
            group_id=order.group_id if order else "",
            epoch=order.epoch if order else 0,
            rank=order.rank if order else -1,
            model=order.model if order else "",
            version=order.version if order else "",
            weights=engine.weights,
            fencing_token=engine.token,
        )

    async def order(self, address: str, order: Order) -> Result[BackendStatus, Failure]:
        """See ``EngineClient.order``."""
        engine = self.engines[address]
        if not engine.up:
            return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.NO))
        if order.fencing_token < engine.token:
            return Err(Failure.from_code(ResultCode.BACKEND_REFUSED))
        held = engine.order
        if held is not None and held.fencing_token == order.fencing_token:
            return Ok(self.report(engine))
        engine.token = order.fencing_token
        if engine.loading is not None:
            engine.loading.cancel()
        engine.order = order if order.kind == "load" else None
        engine.ready = False
        self.accepted_s[address] = asyncio.get_running_loop().time()
        if engine.order is not None:
            engine.loading = asyncio.create_task(self._load(engine, order))
        return Ok(self.report(engine))

    async def _load(self, engine: _Engine, order: Order) -> None:
        wanted = f"{order.model}/{order.version}/{order.rank}/{order.size}"
        if engine.weights != wanted:
            engine.weights = ""
            self.loads += 1
            await self.weights.fetch(order.shard_bytes)
            engine.weights = wanted
        engine.ready = True

    def lose(self, address: str) -> None:
        """End an engine's process."""
        engine = self.engines[address]
        if engine.loading is not None:
            engine.loading.cancel()
        engine.up, engine.ready, engine.order = False, False, None
        engine.weights, engine.token = "", 0
        engine.boots += 1


@attrs.define
class Figures:
    """What one policy came to."""

    downtime_s: float = 0.0
    stranded_s: float = 0.0
    floor_downtime_s: float = 0.0
    floor_stranded_s: float = 0.0
    loads: int = 0
    repairs: list[tuple[float, float, float]] = attrs.field(factory=list)
    """Seconds to the decision, to the last order, and to serving, of each repair."""
    step_ms: list[float] = attrs.field(factory=list)


@attrs.define
class _Break:
    """A group that lost a member while it served."""

    lost_s: float
    epoch: int
    decided_s: float | None = None


@attrs.define(eq=False)
class GroupsBench:
    """One policy in one profile under one seed's faults."""

    profile: Profile
    policy: GroupPolicy
    seed: int
    figures: Figures = attrs.field(factory=Figures)
    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    engines: BenchEngines = attrs.field(init=False)
    planner: Planner = attrs.field(init=False)
    _failed: dict[str, int] = attrs.field(factory=dict)
    _reported: dict[str, GroupReport] = attrs.field(factory=dict)
    _broken: dict[str, _Break] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _last_s: float = 0.0

    async def run(self) -> Figures:
        """Run the profile's time through."""
        await self._start()
        faults = asyncio.create_task(self._faults())
        await self._watch_until(self.profile.duration_s)
        for task in [faults, *self._tasks]:
            task.cancel()
        self.figures.downtime_s = self.planner.measures.downtime_s
        self.figures.stranded_s = self.planner.measures.stranded_s
        self.figures.loads = self.engines.loads
        return self.figures

    async def _start(self) -> None:
        self.engines = BenchEngines(WeightStore(WEIGHT_RATE))
        for domain, count in enumerate(self.profile.domains):
            for index in range(count):
                self._add(f"gpu-{domain}-{index}", f"fabric-{domain}")
        timer = Timer.from_seed(self.seed)
        timer.wall_clock = lambda: 0.0
        config = ConfigFollower(self.platform, timer)
        applier = ConfigApplier(self.platform, self.platform, config, timer)
        content = json.dumps(self._declared()).encode()
        applied = (await applier.apply(ApplyRequest(content, 0, "a", "ops"))).unwrap()
        config.adopt(applied.revision, applied.digest, content)
        record = NodeRecord("node-1", "n:1", REGION, "z", 1, "alive")
        lease = PlannerLease(REGION, "node-1", self.platform, timer, 6.0)
        self.planner = Planner(
            "node-1",
            REGION,
            RegionState(REGION, self.platform),
            lease,
            OrderSender(self.engines, lease, timer),
            self.platform,
            self.engines,
            config,
            GroupMap(),
            MembershipTable(record),
            self.policy,
            timer,
            PERMIT_S,
        )
        # The measures start once the fleet has formed for the first time.
        for _ in range(2000):
            await self._tick()
            serving = sum(g.serving for g in self.planner.view().present_groups())
            if serving >= self.profile.groups:
                break
        self.planner.measures.downtime_s = self.planner.measures.stranded_s = 0.0
        self.engines.loads = 0
        self._last_s = asyncio.get_running_loop().time()

    def _add(self, name: str, domain: str) -> None:
        instance = Instance(name, f"{name}:80", REGION, "z", domain, "a100")
        self.platform.listed[name] = instance
        self.engines.engines[instance.address] = _Engine(instance)

    def _declared(self) -> dict[str, Any]:
        profile = self.profile
        return {
            "format": 1,
            "policy": {"stranded_weight": profile.stranded_weight},
            "models": [
                {"name": "m", "versions": [{"name": "v", "shard_bytes": SHARD_BYTES}]}
            ],
            "model_services": [
                {
                    "name": "llm",
                    "model": "m",
                    "version": "v",
                    "accelerator": "a100",
                    "group_size": profile.size,
                    "groups": profile.groups,
                    "max_groups": profile.most,
                    "region": REGION,
                }
            ],
            "plain_services": [],
            "applications": [],
            "workspaces": [],
        }

    # Faults, the same for every policy.

    async def _faults(self) -> None:
        rng = random.Random(self.seed)
        addresses = sorted(self.engines.engines)
        mean_s = 3600.0 / self.profile.losses_per_hour
        dark_s = self.profile.duration_s * rng.uniform(0.4, 0.6)
        self._spawn(self._dark(dark_s, rng.randrange(len(self.profile.domains))))
        while True:
            await asyncio.sleep(rng.expovariate(1 / mean_s))
            address = rng.choice(addresses)
            # Most losses are restarts; some instances are away for long.
            short = rng.random() < 0.8
            away_s = rng.uniform(20, 90) if short else rng.expovariate(1 / 1200.0)
            self._spawn(self._away(address, away_s))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _away(self, address: str, away_s: float) -> None:
        if not self.engines.engines[address].up:
            return
        self._note_loss(address)
        self.engines.lose(address)
        await asyncio.sleep(away_s)
        self.engines.engines[address].up = True

    async def _dark(self, after_s: float, domain: int) -> None:
        await asyncio.sleep(after_s)
        for address in list(self.engines.engines):
            if address.startswith(f"gpu-{domain}-"):
                self._spawn(self._away(address, 120.0))

    def _note_loss(self, address: str) -> None:
        name = self.engines.engines[address].instance.instance_id
        row = self.planner.state.instances.get(name)
        if row is None or not row.group_id:
            return
        if row.group_id not in self._broken:
            epoch = self.planner.state.groups[row.group_id].epoch
            lost_s = asyncio.get_running_loop().time()
            self._broken[row.group_id] = _Break(lost_s, epoch)
            shard_s = SHARD_BYTES / WEIGHT_RATE
            self.figures.floor_downtime_s += DETECTION_S + shard_s

    # Watching, as the home nodes do it.

    async def _watch_until(self, duration_s: float) -> None:
        end_s = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < end_s:
            await self._tick()

    async def _tick(self) -> None:
        self._report_all()
        for _ in range(2):
            started = time.perf_counter()
            await self.planner.step()
            self.figures.step_ms.append(1000 * (time.perf_counter() - started))
            await asyncio.sleep(PROBE_S / 2)
        self._note_repairs()
        self._add_floor()

    def _report_all(self) -> None:
        for row in self.planner.state.groups.values():
            if row.state != ACTIVE:
                continue
            states = {
                m.instance_id: self._state(row, rank)
                for rank, m in enumerate(row.members)
            }
            complete = all(state == "ready" for state in states.values())
            report = GroupReport(row.group_id, row.epoch, "node-1", complete, states)
            self.planner.take_report(report)

    def _state(self, row: GroupRow, rank: int) -> str:
        member = row.members[rank]
        engine = self.engines.engines[member.address]
        if engine.up:
            self._failed[member.instance_id] = 0
            return classify(member, rank, row, self.engines.report(engine))
        failed = self._failed.get(member.instance_id, 0) + 1
        self._failed[member.instance_id] = failed
        return "lost" if failed > 1 else "silent"

    def _note_repairs(self) -> None:
        now_s = asyncio.get_running_loop().time()
        view = self.planner.view()
        for group_id, broken in list(self._broken.items()):
            group = view.groups.get(group_id)
            if group is None:
                del self._broken[group_id]
                continue
            if broken.decided_s is None and group.row.epoch > broken.epoch:
                broken.decided_s = now_s
            if group.serving and now_s - broken.lost_s > 2 * PROBE_S:
                if broken.decided_s is not None:
                    self._note_repair(group.row, broken, now_s)
                del self._broken[group_id]

    def _note_repair(self, row: GroupRow, broken: _Break, now_s: float) -> None:
        accepted_s = self.engines.accepted_s
        ordered_s = max(accepted_s.get(m.address, 0.0) for m in row.members)
        ordered_s = max(ordered_s, broken.decided_s)
        parts = (
            broken.decided_s - broken.lost_s,
            ordered_s - broken.decided_s,
            now_s - ordered_s,
        )
        self.figures.repairs.append(parts)

    def _add_floor(self) -> None:
        """Count accelerators that no grouping could have put to work."""
        now_s = asyncio.get_running_loop().time()
        passed_s, self._last_s = now_s - self._last_s, now_s
        healthy: dict[str, int] = {}
        for engine in self.engines.engines.values():
            if engine.up:
                domain = engine.instance.fabric_domain
                healthy[domain] = healthy.get(domain, 0) + 1
        placed = sum(count // self.profile.size for count in healthy.values())
        used = min(placed, self.profile.most) * self.profile.size
        self.figures.floor_stranded_s += (sum(healthy.values()) - used) * passed_s


def run_one(profile: Profile, policy: GroupPolicy, seed: int) -> Figures:
    """Run one policy on a virtual clock of its own."""
    loop = looptime.new_event_loop(start=1000.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        bench = GroupsBench(profile, policy, seed)
        return loop.run_until_complete(bench.run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.close()


def mean(values: list[float]) -> float:
    """Return the mean, or 0 of nothing."""
    return statistics.fmean(values) if values else 0.0


def compare(profile: Profile, seed: int) -> bool:
    """Run policy and baseline; print a table; return whether the policy is ahead."""
    ours = run_one(profile, RepairFirstPolicy(), seed)
    base = run_one(profile, RebuildPolicy(), seed)
    hours = profile.duration_s / 3600
    print(
        f"\n{profile.name}: {sum(profile.domains)} runners, groups of {profile.size}, "
        f"{hours:g} h, {profile.losses_per_hour:g} losses an hour, seed {seed}"
    )
    print(f"{'':34}{'policy':>12}{'baseline':>12}{'ratio':>8}{'floor':>12}")
    _row("group downtime, s", ours.downtime_s, base.downtime_s, ours.floor_downtime_s)
    _row(
        "stranded, accelerator s",
        ours.stranded_s,
        base.stranded_s,
        ours.floor_stranded_s,
    )
    _row("shards loaded", ours.loads, base.loads, None)
    _row("repairs", len(ours.repairs), len(base.repairs), None)
    labels = ("loss to decision", "decision to last order", "last order to serving")
    for index, label in enumerate(labels):
        values = [mean([r[index] for r in f.repairs]) for f in (ours, base)]
        _row(f"mean s, {label}", *values, None)
    steps = [mean(f.step_ms) for f in (ours, base)]
    print(f"planner's pass, real ms: {steps[0]:.2f} policy, {steps[1]:.2f} baseline")
    ahead = (
        ours.downtime_s < base.downtime_s
        if profile.weighs == "downtime"
        else ours.stranded_s < base.stranded_s
    )
    print(f"weighs {profile.weighs}: {'ahead' if ahead else 'BEHIND'}")
    return ahead


def _row(label: str, ours: float, base: float, floor: float | None) -> None:
    ratio = f"{ours / base:8.2f}" if base else f"{'-':>8}"
    limit = f"{floor:12.0f}" if floor is not None else ""
    print(f"{label:34}{ours:12.1f}{base:12.1f}{ratio}{limit}")


@app.default
def run(
    *,
    seed: int = 1,
    profile: Annotated[str, Parameter(help="One profile only.")] = "",
) -> None:
    """Compare policy and baseline in every profile."""
    chosen = [p for p in PROFILES if profile in ("", p.name)]
    ahead = [compare(p, seed) for p in chosen]
    sys.exit(0 if all(ahead) else 1)


if __name__ == "__main__":
    app()
