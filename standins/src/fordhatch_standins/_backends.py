"""Every backend server of a site: engines and plain services, by address."""

from __future__ import annotations

import random
from collections import Counter

import attrs

from ._engine_fleet import EngineFleet
from ._engine_model import EngineModel
from ._engine_work import EnginePace, EngineWork
from ._plain_service import PlainService
from ._store_model import StoreModel

FIRST_PLAIN_PORT = 8000
"""Plain services in memory differ by their ports."""


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
    _works: dict[str, EngineWork] = attrs.field(factory=dict)
    _made: int = 0

    def add_engine(self, domain: str, zone: str, address: str = "") -> EngineModel:
        """Start an empty engine."""
        engine = self.fleet.add(domain, zone, address)
        self._works[engine.backend_id] = EngineWork(engine, self.fleet, self.pace)
        return engine

    def restart_engine(self, engine: EngineModel) -> EngineModel:
        """Start an engine again under its id; what it was doing ends."""
        started = self.fleet.restart(engine)
        self._works[started.backend_id] = EngineWork(started, self.fleet, self.pace)
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

    def runs(self, request_id: str) -> int:
        """Return how often a request has run anywhere."""
        return self.fleet.runs[request_id] + self.plain_runs[request_id]
