"""Every backend server of a site: engines and plain services, by address."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable

import attrs

from ._calls import BackendCall
from ._engine_fleet import EngineFleet
from ._engine_model import EngineModel
from ._engine_work import EnginePace, EngineWork
from ._plain_service import PlainService
from ._pressure_log import PressureLog
from ._store_model import StoreCopy, StoreModel

FIRST_PLAIN_PORT = 8000
"""Plain services in memory differ by their ports."""


COPIES = 4
"""Copies of the store that are kept, one a second."""


@attrs.define(eq=False, repr=False)
class Backends:
    """Looks backend servers up, and starts them."""

    store: StoreModel
    fleet: EngineFleet
    pace: EnginePace
    rng: random.Random
    plain: dict[str, PlainService] = attrs.field(factory=dict)
    """Plain services by address."""
    plain_runs: Counter[str] = attrs.field(factory=Counter)
    plain_contents: Counter[str] = attrs.field(factory=Counter)
    ends_under: Callable[[BackendCall], bool] = lambda call: False
    """Which requests end the engines that begin to run them."""
    crashed_s: list[float] = attrs.field(factory=list)
    """When engines have ended under such requests."""
    comes_back_s: float = 3.0
    """After this time another engine starts at the address of one that has ended."""
    pressure: PressureLog = attrs.field(factory=PressureLog)
    """What they ask for in their answers."""
    copies: deque[StoreCopy] = attrs.field(factory=lambda: deque(maxlen=COPIES))
    """Of the store, the oldest first; it may come back from that."""
    _works: dict[str, EngineWork] = attrs.field(factory=dict)
    _made: int = 0

    def add_engine(self, domain: str, zone: str, address: str = "") -> EngineModel:
        """Start an empty engine."""
        engine = self.fleet.add(domain, zone, address)
        self._work_of(engine)
        return engine

    def _work_of(self, engine: EngineModel) -> None:
        self._works[engine.backend_id] = EngineWork(
            engine,
            self.fleet,
            self.pace,
            self._ends_under,
            self._crash,
        )

    def _ends_under(self, call: BackendCall) -> bool:
        return self.ends_under(call)

    def _crash(self, engine: EngineModel) -> None:
        """End an engine's process; the next one finds the weights on its host."""
        if engine.is_dead:
            return
        loop = asyncio.get_running_loop()
        self.crashed_s.append(loop.time())
        self.fleet.crash(engine)
        loop.call_later(self.comes_back_s, self._come_back, engine)

    def _come_back(self, engine: EngineModel) -> None:
        started = self.add_engine(engine.domain, engine.zone, engine.address)
        started.staged = list(engine.staged)
        started.on_change(started)

    def restart_engine(self, engine: EngineModel) -> EngineModel:
        """Start an engine again under its id; what it was doing ends."""
        started = self.fleet.restart(engine)
        self._work_of(started)
        return started

    def add_plain(
        self, service: str, zone: str, address: str = "", **options: object
    ) -> PlainService:
        """Start a backend server of a plain service."""
        self._made += 1
        server = PlainService(
            f"p-{self._made:04d}",
            service,
            address or f"10.9.0.1:{FIRST_PLAIN_PORT + self._made}",
            self.store,
            self.rng,
            self.plain_runs,
            self.plain_contents,
            zone=zone,
            **options,  # type: ignore[arg-type]
        )
        self.plain[server.address] = server
        server.register()
        return server

    def work_at(self, address: str) -> EngineWork | None:
        """Return the work of the living engine at an address."""
        engine = self.fleet.at(address)
        return self._works[engine.backend_id] if engine is not None else None

    def refuses(self, address: str) -> bool:
        """Return whether an address refuses connections at once."""
        return address in self.fleet.refusing

    def runs(self, request_id: str) -> int:
        """Return how often a request has run anywhere."""
        return self.fleet.runs[request_id] + self.plain_runs[request_id]
