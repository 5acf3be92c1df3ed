"""All model engines of a site in memory, with checks of invariants."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque

import attrs

from fordhatch.adapter import BACKENDS_TABLE, GroupOrder, OrderKind

from ._engine_model import EngineModel, ModelTimes, Place
from ._entries import FIRST_START_MS
from ._store_model import StoreModel

JOIN_CRASH_DELAY_S = 0.3
"""Time from a join until an engine that cannot run the model crashes."""

RESTART_DELAY_S = 3.0
"""Time from such a crash until a replacement engine starts."""

MS_PER_RESTART = 1000
"""Step between the reported start times of successive starts.

Only their order has a meaning, not the difference.
"""


class Violation(AssertionError):  # noqa: N818
    """The system has broken an invariant."""


@attrs.define
class FleetFaults:
    """Faults in the delivery of orders."""

    lost_share: float = 0.0
    """Fraction of the orders that are executed but not answered."""
    late_share: float = 0.0
    """Fraction of the orders that are not answered and are executed seconds later."""


@attrs.define(eq=False, repr=False)
class EngineFleet:
    """Engines by id; checks every order and request against the invariants."""

    store: StoreModel
    models: dict[str, ModelTimes]
    rng: random.Random
    loads_per_s: float = 4.0
    window_s: float = 5.0
    over: float = 1.1
    """Factor by which the loads within a window may exceed the limit."""
    stall_s: float = 5.0
    """Time that a head stalls after the loss of a member, until its group breaks."""
    lapse_s: float = 3.6
    """Time from an engine's last update until its entry expires."""
    form_s: float = 0.3
    service: str = "llm"
    """The service under which engines register."""
    checks_fencing: bool = False
    """Whether engines refuse orders with an old fencing token."""
    cold_s: float = 0.0
    """How long an engine is cold after its start, in seconds."""
    version: str = "v1"
    """Software version of the engines that start from now on."""
    tells_starts: bool = False
    """Whether engines report their start time and may restart under their id."""
    began_s: dict[str, float] = attrs.field(factory=dict)
    """Start time of each request, by its id."""
    runs: Counter[str] = attrs.field(factory=Counter)
    """Number of runs of each request, by its id."""
    engines: dict[str, EngineModel] = attrs.field(factory=dict)
    faults: FleetFaults = attrs.field(factory=FleetFaults)
    violations: list[str] = attrs.field(factory=list)
    is_counting_loads: bool = False
    loads: int = 0
    ends_on_join: set[str] = attrs.field(factory=set)
    """Models that crash an engine when it joins a group; a replacement starts later."""
    ended_on_join: int = 0
    refusing: set[str] = attrs.field(factory=set)
    """Addresses that refuse connections: no process listens, but the host is up."""
    orders: Counter[tuple[str, OrderKind]] = attrs.field(factory=Counter)
    """Number of orders by availability zone and kind."""
    _load_starts_s: deque[float] = attrs.field(factory=deque)
    _created_count: int = 0
    _restart_count: int = 0
    _ids_by_address: dict[str, list[str]] = attrs.field(factory=dict)
    """Ids of the engines that have been started at each address."""

    def add(self, domain: str, zone: str = "z1", address: str = "") -> EngineModel:
        """Start an empty engine in a domain."""
        self._created_count += 1
        name = f"i-{self._created_count:04d}"
        engine = EngineModel(
            name,
            address
            or f"10.{self._created_count >> 8}.0.{self._created_count & 255}:80",
            zone,
            domain,
            self.models,
            self.form_s,
            self._publish,
            self._count_load,
            service=self.service,
            checks_fencing=self.checks_fencing,
            born_ms=FIRST_START_MS + self._created_count if self.tells_starts else 0,
            version=self.version,
        )
        self.engines[name] = engine
        self.refusing.discard(engine.address)
        self._ids_by_address.setdefault(engine.address, []).append(name)
        self.make_cold(engine, self.cold_s)
        return engine

    def make_cold(
        self, engine: EngineModel, for_s: float, *, tells: bool = True
    ) -> None:
        """Make an engine cold for a while, at its start or at any other moment.

        Args:
            engine: The engine.
            for_s: The time, in seconds; 0 for none.
            tells: Whether its entry reports it.
        """
        engine.tells_cold = tells
        if for_s > 0.0:
            loop = asyncio.get_running_loop()
            engine.cold_until_s = loop.time() + for_s
            loop.call_later(for_s, self._publish, engine)
        self._publish(engine)

    def _publish(self, engine: EngineModel) -> None:
        if engine.is_listed and not engine.is_dead:
            self.store.put(BACKENDS_TABLE, engine.backend_id, engine.entry())

    def _count_load(self, engine: EngineModel) -> None:
        self.loads += 1
        if not self.is_counting_loads:
            return
        now_s = asyncio.get_running_loop().time()
        self._load_starts_s.append(now_s)
        while self._load_starts_s[0] <= now_s - self.window_s:
            self._load_starts_s.popleft()
        if len(self._load_starts_s) > self.loads_per_s * self.window_s * self.over + 3:
            self._record_violation(
                f"{len(self._load_starts_s)} loads within {self.window_s} s"
            )

    def loads_running(self) -> int:
        """Return the number of loads of weights in progress."""
        now_s = asyncio.get_running_loop().time()
        return sum(e.loading_until_s > now_s for e in self.engines.values())

    def _record_violation(self, what: str) -> None:
        self.violations.append(what)

    def kill(self, engine: EngineModel) -> None:
        """Terminate an engine without notice; its entry expires after ``lapse_s``."""
        engine.is_dead = True
        engine.stand_still.end()
        engine.wake_waiters()
        loop = asyncio.get_running_loop()
        loop.call_later(self.lapse_s, self._lapse, engine)
        self._break_group_of(engine)

    def crash(self, engine: EngineModel) -> None:
        """Crash an engine's process; its host then refuses connections."""
        self.refusing.add(engine.address)
        self.kill(engine)

    def restart(self, engine: EngineModel) -> EngineModel:
        """Terminate an engine and restart it at once under its id and address.

        The models staged on its host remain; all other state is lost.
        """
        engine.is_dead = True
        engine.stand_still.end()
        engine.wake_waiters()
        self._break_group_of(engine)
        self._restart_count += 1
        started = EngineModel(
            engine.backend_id,
            engine.address,
            engine.zone,
            engine.domain,
            self.models,
            self.form_s,
            self._publish,
            self._count_load,
            service=self.service,
            checks_fencing=self.checks_fencing,
            staged=list(engine.staged),
            born_ms=engine.born_ms + self._restart_count * MS_PER_RESTART,
            ready_before=engine.ready_before | engine.ready_as,
            version=self.version,
        )
        self.engines[engine.backend_id] = started
        self.make_cold(started, self.cold_s)
        return started

    def _lapse(self, engine: EngineModel) -> None:
        self.store.remove(BACKENDS_TABLE, engine.backend_id)

    def cut_from_store(self, engine: EngineModel) -> None:
        """Stop an engine's updates to the store while the engine continues to work."""
        engine.is_listed = False
        asyncio.get_running_loop().call_later(self.lapse_s, self._lapse, engine)

    def check_fencing(self) -> None:
        """Make every engine refuse orders with an old fencing token from now on."""
        self.checks_fencing = True
        for engine in self.engines.values():
            engine.checks_fencing = True

    def lapse_all(self) -> None:
        """Remove the entries of all engines, as the store does after a long outage."""
        for engine in self.engines.values():
            self._lapse(engine)

    def come_back(self, within_s: float) -> None:
        """Make every running engine register again, each at a random time.

        Args:
            within_s: Latest time, in seconds from now.
        """
        loop = asyncio.get_running_loop()
        for engine in self.engines.values():
            loop.call_later(self.rng.uniform(0.0, within_s), self._publish, engine)

    def drain(self, engine: EngineModel) -> None:
        """Publish that an engine is draining."""
        engine.state = "draining"
        self._publish(engine)

    def _break_group_of(self, engine: EngineModel) -> None:
        head = self._head_of(engine.place)
        if head is not None and head is not engine:
            head.stall(self.stall_s)

    def _head_of(self, place: Place | None) -> EngineModel | None:
        if place is None:
            return None
        head = self.engines.get(place.members[0])
        if head is None or head.is_dead or head.place is None:
            return None
        same = (head.place.group, head.place.epoch) == (place.group, place.epoch)
        return head if same else None

    def at(self, address: str) -> EngineModel | None:
        """Return the running engine at an address."""
        for name in self._ids_by_address.get(address, ()):
            engine = self.engines[name]
            if engine.address == address and not engine.is_dead:
                return engine
        return None

    def order(self, engine: EngineModel, order: GroupOrder) -> int | None:
        """Deliver an order and return its status, or None if no answer arrives."""
        self.orders[engine.zone, order.kind] += 1
        if self.rng.random() < self.faults.late_share:
            delay_s = self.rng.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(
                delay_s, self._carry_out, engine, order
            )
            return None
        status = self._carry_out(engine, order)
        return None if self.rng.random() < self.faults.lost_share else status

    def _carry_out(self, engine: EngineModel, order: GroupOrder) -> int:
        # A late order reaches the engine that has the id by then.
        engine = self.engines[engine.backend_id]
        if engine.is_dead:
            return 0
        before = engine.place
        head = self._head_of(before)
        status = engine.take(order)
        if order.kind is OrderKind.JOIN and order.model in self.ends_on_join:
            loop = asyncio.get_running_loop()
            loop.call_later(JOIN_CRASH_DELAY_S, self._crash_on_join, engine)
        has_left = before is not None and engine.place is not before
        if has_left and head is not None and before.state != "joining":
            self._check_departure(engine, order, head, before)
        return status

    def _crash_on_join(self, engine: EngineModel) -> None:
        if engine.is_dead:
            return
        self.ended_on_join += 1
        self.crash(engine)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_DELAY_S, self._start_replacement, engine)

    def _start_replacement(self, engine: EngineModel) -> None:
        """Start an engine on a crashed one's host, with the weights staged there."""
        started = self.add(engine.domain, engine.zone)
        started.staged = list(engine.staged)
        self._publish(started)

    def _check_departure(
        self, engine: EngineModel, order: GroupOrder, head: EngineModel, before: Place
    ) -> None:
        """Check an engine that has left a place whose head is still running.

        A join must not take a member from a group that serves.
        """
        if head is engine:
            serves = before.state in ("open", "closing")
            if serves and order.kind is OrderKind.JOIN:
                self._record_violation(
                    f"{engine.backend_id} joined {order.group} while its own "
                    f"{before.group} was {before.state}"
                )
            return
        serves = head.place is not None and head.place.state == "open"
        if order.kind is OrderKind.JOIN and serves:
            self._record_violation(
                f"{engine.backend_id} joined {order.group} while "
                f"{head.place.group} was open"
            )
        head.stall(self.stall_s)

    def begin_run(self, engine: EngineModel, request_id: str) -> None:
        """Record the start of a request and check that its group is complete."""
        self.runs[request_id] += 1
        self.began_s[request_id] = asyncio.get_running_loop().time()
        self._check_group(engine)

    def _check_group(self, head: EngineModel) -> None:
        place = head.place
        size = self.models[place.model].size
        key = (place.group, place.epoch, place.members)
        ready = [m for m in place.members if self._was_ready(m, key)]
        if len(place.members) != size or len(ready) != size:
            self._record_violation(f"{place.group} is open with {len(ready)} of {size}")

    def _was_ready(self, name: str, key: tuple[str, int, tuple[str, ...]]) -> bool:
        """Return whether an engine was ready in a group, also before a restart."""
        engine = self.engines[name]
        return key in engine.ready_as or key in engine.ready_before

    def members(self, head: EngineModel) -> list[EngineModel]:
        """Return the members of a head's group."""
        return [self.engines[m] for m in head.place.members]

    def check_serving(self) -> list[EngineModel]:
        """Check the group of every open head and return the heads."""
        heads = []
        for engine in self.engines.values():
            place = engine.place
            if engine.is_dead or place is None or place.state != "open":
                continue
            heads.append(engine)
            self._check_group(engine)
        return heads

    def working_groups(self) -> dict[str, int]:
        """Return the number of open groups by model whose members are all ready."""
        found: dict[str, int] = {}
        for head in self.check_serving():
            place = head.place
            members = [self.engines[m] for m in place.members]
            if all(
                not m.is_dead
                and m.place is not None
                and m.place.epoch == place.epoch
                and (place.group, place.epoch, place.members) in m.ready_as
                for m in members
            ):
                found[place.model] = found.get(place.model, 0) + 1
        return found
