"""All model engines of a site in memory, with the rules they watch over."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque

import attrs

from fordhatch.adapter import BACKENDS_TABLE, GroupOrder, OrderKind

from ._engine_model import EngineModel, ModelTimes, Place
from ._entries import FIRST_START_MS
from ._store_model import StoreModel

END_ON_JOIN_S = 0.3
"""From a join until an engine has ended that can't bear the model."""

BACK_AFTER_S = 3.0
"""After this time an engine is started in the place of one that has ended."""

MS_PER_RESTART = 1000
"""A later start has a greater moment; how much greater means nothing."""


class Violation(AssertionError):  # noqa: N818
    """The system did what must never happen."""


@attrs.define
class FleetFaults:
    """What goes wrong with orders."""

    lost_share: float = 0.0
    """Orders that are carried out and not answered."""
    late_share: float = 0.0
    """Orders that are not answered and are carried out seconds later."""


@attrs.define(eq=False, repr=False)
class EngineFleet:
    """Engines by id; every order and request is checked here."""

    store: StoreModel
    models: dict[str, ModelTimes]
    rng: random.Random
    loads_per_s: float = 4.0
    window_s: float = 5.0
    over: float = 1.1
    stall_s: float = 5.0
    lapse_s: float = 3.6
    form_s: float = 0.3
    service: str = "llm"
    """The service under which engines register."""
    checks_fencing: bool = False
    """Whether engines refuse orders with an old fencing token."""
    tells_starts: bool = False
    """Whether engines tell when they were started, and may start again as they are."""
    began_s: dict[str, float] = attrs.field(factory=dict)
    """When each request began to run, by its id."""
    runs: Counter[str] = attrs.field(factory=Counter)
    """How often each request has run."""
    engines: dict[str, EngineModel] = attrs.field(factory=dict)
    faults: FleetFaults = attrs.field(factory=FleetFaults)
    violations: list[str] = attrs.field(factory=list)
    is_counting_loads: bool = False
    loads: int = 0
    ends_on_join: set[str] = attrs.field(factory=set)
    """Models for which an engine that joins a group ends, and is back later."""
    ended_on_join: int = 0
    refusing: set[str] = attrs.field(factory=set)
    """Addresses at which nothing listens, on hosts that are up."""
    _begun: deque[float] = attrs.field(factory=deque)
    _made: int = 0
    _restarts: int = 0
    _names_at: dict[str, list[str]] = attrs.field(factory=dict)
    """Engines that have been started at an address."""

    def add(self, domain: str, zone: str = "z1", address: str = "") -> EngineModel:
        """Start an empty engine in a domain."""
        self._made += 1
        name = f"i-{self._made:04d}"
        engine = EngineModel(
            name,
            address or f"10.{self._made >> 8}.0.{self._made & 255}:80",
            zone,
            domain,
            self.models,
            self.form_s,
            self._publish,
            self._count_load,
            service=self.service,
            checks_fencing=self.checks_fencing,
            born_ms=FIRST_START_MS + self._made if self.tells_starts else 0,
        )
        self.engines[name] = engine
        self.refusing.discard(engine.address)
        self._names_at.setdefault(engine.address, []).append(name)
        self._publish(engine)
        return engine

    def _publish(self, engine: EngineModel) -> None:
        if engine.is_listed and not engine.is_dead:
            self.store.put(BACKENDS_TABLE, engine.backend_id, engine.entry())

    def _count_load(self, engine: EngineModel) -> None:
        self.loads += 1
        if not self.is_counting_loads:
            return
        now_s = asyncio.get_running_loop().time()
        self._begun.append(now_s)
        while self._begun[0] <= now_s - self.window_s:
            self._begun.popleft()
        if len(self._begun) > self.loads_per_s * self.window_s * self.over + 3:
            self._violate(f"{len(self._begun)} loads within {self.window_s} s")

    def loads_running(self) -> int:
        """Return the loads of weights that are under way."""
        now_s = asyncio.get_running_loop().time()
        return sum(e.loading_until_s > now_s for e in self.engines.values())

    def _violate(self, what: str) -> None:
        self.violations.append(what)

    def kill(self, engine: EngineModel) -> None:
        """End an engine without a word; its entry lapses later."""
        engine.is_dead = True
        engine.note_move()
        loop = asyncio.get_running_loop()
        loop.call_later(self.lapse_s, self._lapse, engine)
        self._break_group_of(engine)

    def crash(self, engine: EngineModel) -> None:
        """End an engine's process; its host answers that nobody listens there."""
        self.refusing.add(engine.address)
        self.kill(engine)

    def restart(self, engine: EngineModel) -> EngineModel:
        """End an engine, and start it again under its id and address at once.

        Its host keeps what is staged there. It knows nothing else of before.
        """
        engine.is_dead = True
        engine.note_move()
        self._break_group_of(engine)
        self._restarts += 1
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
            born_ms=engine.born_ms + self._restarts * MS_PER_RESTART,
            ready_before=engine.ready_before | engine.ready_as,
        )
        self.engines[engine.backend_id] = started
        self._publish(started)
        return started

    def _lapse(self, engine: EngineModel) -> None:
        self.store.remove(BACKENDS_TABLE, engine.backend_id)

    def cut_from_store(self, engine: EngineModel) -> None:
        """The store hears nothing of an engine that goes on working."""
        engine.is_listed = False
        asyncio.get_running_loop().call_later(self.lapse_s, self._lapse, engine)

    def check_fencing(self) -> None:
        """Have every engine refuse orders with an old fencing token from now on."""
        self.checks_fencing = True
        for engine in self.engines.values():
            engine.checks_fencing = True

    def lapse_all(self) -> None:
        """Drop the entries of all engines, as a store does that was away for long."""
        for engine in self.engines.values():
            self._lapse(engine)

    def come_back(self, within_s: float) -> None:
        """Have every living engine register again, each at a moment of its own."""
        loop = asyncio.get_running_loop()
        for engine in self.engines.values():
            loop.call_later(self.rng.uniform(0.0, within_s), self._publish, engine)

    def drain(self, engine: EngineModel) -> None:
        """Announce that an engine will leave."""
        engine.state = "draining"
        self._publish(engine)

    def _break_group_of(self, engine: EngineModel) -> None:
        head = self._head_of(engine.place)
        if head is not None and head is not engine:
            head.stand_still(self.stall_s)

    def _head_of(self, place: Place | None) -> EngineModel | None:
        if place is None:
            return None
        head = self.engines.get(place.members[0])
        if head is None or head.is_dead or head.place is None:
            return None
        same = (head.place.group, head.place.epoch) == (place.group, place.epoch)
        return head if same else None

    def at(self, address: str) -> EngineModel | None:
        """Return the living engine at an address."""
        for name in self._names_at.get(address, ()):
            engine = self.engines[name]
            if engine.address == address and not engine.is_dead:
                return engine
        return None

    def order(self, engine: EngineModel, order: GroupOrder) -> int | None:
        """Deliver an order; returns the status, or None where no answer comes."""
        if self.rng.random() < self.faults.late_share:
            delay_s = self.rng.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(
                delay_s, self._carry_out, engine, order
            )
            return None
        status = self._carry_out(engine, order)
        return None if self.rng.random() < self.faults.lost_share else status

    def _carry_out(self, engine: EngineModel, order: GroupOrder) -> int:
        # A late order reaches whoever has the id by then.
        engine = self.engines[engine.backend_id]
        if engine.is_dead:
            return 0
        before = engine.place
        head = self._head_of(before)
        status = engine.take(order)
        if order.kind is OrderKind.JOIN and order.model in self.ends_on_join:
            loop = asyncio.get_running_loop()
            loop.call_later(END_ON_JOIN_S, self._end_on_join, engine)
        moved = before is not None and engine.place is not before
        if moved and head is not None and before.state != "joining":
            self._moved(engine, order, head, before)
        return status

    def _end_on_join(self, engine: EngineModel) -> None:
        if engine.is_dead:
            return
        self.ended_on_join += 1
        self.crash(engine)
        loop = asyncio.get_running_loop()
        loop.call_later(BACK_AFTER_S, self._start_again, engine)

    def _start_again(self, engine: EngineModel) -> None:
        """Start an engine on the host of one that has ended; its weights are there."""
        started = self.add(engine.domain, engine.zone)
        started.staged = list(engine.staged)
        self._publish(started)

    def _moved(
        self, engine: EngineModel, order: GroupOrder, head: EngineModel, before: Place
    ) -> None:
        """Check who has given up its place while its head is there."""
        if head is engine:
            serves = before.state in ("open", "closing")
            if serves and order.kind is OrderKind.JOIN:
                self._violate(
                    f"{engine.backend_id} joined {order.group} while its own "
                    f"{before.group} was {before.state}"
                )
            return
        serves = head.place is not None and head.place.state == "open"
        if order.kind is OrderKind.JOIN and serves:
            self._violate(
                f"{engine.backend_id} joined {order.group} while "
                f"{head.place.group} was open"
            )
        head.stand_still(self.stall_s)

    def begin_run(self, engine: EngineModel, request_id: str) -> None:
        """Note that a request begins to run; its group must be complete."""
        self.runs[request_id] += 1
        self.began_s[request_id] = asyncio.get_running_loop().time()
        self._check_group(engine)

    def _check_group(self, head: EngineModel) -> None:
        place = head.place
        size = self.models[place.model].size
        key = (place.group, place.epoch, place.members)
        ready = [m for m in place.members if self._was_ready(m, key)]
        if len(place.members) != size or len(ready) != size:
            self._violate(f"{place.group} is open with {len(ready)} of {size}")

    def _was_ready(self, name: str, key: tuple[str, int, tuple[str, ...]]) -> bool:
        """Return whether an engine was ready in a group, or has been lost since."""
        engine = self.engines[name]
        return key in engine.ready_as or key in engine.ready_before

    def members(self, head: EngineModel) -> list[EngineModel]:
        """Return the members of a head's group."""
        return [self.engines[m] for m in head.place.members]

    def check_serving(self) -> list[EngineModel]:
        """Check every open head as if a request began there; returns the heads."""
        heads = []
        for engine in self.engines.values():
            place = engine.place
            if engine.is_dead or place is None or place.state != "open":
                continue
            heads.append(engine)
            self._check_group(engine)
        return heads

    def working_groups(self) -> dict[str, int]:
        """Return the number of groups by model whose members are all at work."""
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
