"""Backend servers of a site: engines and plain services, by address."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable

import attrs

from fordhatch.adapter import BACKENDS_TABLE

from ._attempt_log import AttemptLog
from ._broken_answers import BrokenAnswers
from ._calls import BackendCall, SlotQueue
from ._cold_starts import ColdStarts
from ._crashing_parts import CrashingParts
from ._endless_answers import EndlessAnswers
from ._engine_fleet import EngineFleet
from ._engine_model import EngineModel
from ._engine_work import EnginePace, EngineWork
from ._plain_service import PlainService
from ._pressure_log import PressureLog
from ._retry_ledger import RetryLedger
from ._stand_still import StandStill
from ._store_model import StoreCopy, StoreModel

FIRST_PLAIN_PORT = 8000
"""Base of the ports that distinguish plain services in memory."""

MISSED_HEARTBEATS_S = 3.6
"""Time after which the entry of a crashed plain server is removed."""

COPIES = 4
"""Number of copies of the store that are kept; one is made each second."""


@attrs.define(eq=False, repr=False)
class Backends:
    """Starts backend servers and finds them by address."""

    store: StoreModel
    fleet: EngineFleet
    pace: EnginePace
    rng: random.Random
    plain: dict[str, PlainService] = attrs.field(factory=dict)
    """Plain services by address."""
    plain_runs: Counter[str] = attrs.field(factory=Counter)
    plain_contents: Counter[str] = attrs.field(factory=Counter)
    arrivals: Counter[str] = attrs.field(factory=Counter)
    """Number of requests that arrived at backend servers, by availability zone."""
    last_arrival_s: dict[str, float] = attrs.field(factory=dict)
    """Time of the last of them in each zone."""
    ends_under: Callable[[BackendCall], bool] = lambda call: False
    """Whether a request crashes the engine that begins to run it."""
    crashing_parts: CrashingParts = attrs.field(factory=CrashingParts)
    """Parts of prompts that crash the engine that begins to run a request with one."""
    lengthless_share: float = 0.0
    """Fraction of the answers with neither length nor chunks, of engines and plain
    servers; they end with their connection."""
    crash_times_s: list[float] = attrs.field(factory=list)
    """Times of the crashes that such requests have caused."""
    crash_subscribers: list[Callable[[str], None]] = attrs.field(factory=list)
    """Called with the address of an engine that has crashed in this way."""
    restart_subscribers: list[Callable[[str], None]] = attrs.field(factory=list)
    """Called with the address at which another engine starts after such a crash."""
    restart_delay_s: float = 3.0
    """Time from a crash until another engine starts at the same address."""
    pressure: PressureLog = attrs.field(factory=PressureLog)
    """Limits, back-offs and departures that the backend servers report in answers."""
    cold: ColdStarts = attrs.field(factory=ColdStarts)
    """The requests that cold engines receive."""
    retries: RetryLedger = attrs.field(factory=RetryLedger)
    """Arrivals beyond the first of each request."""
    shed_share: float = 0.0
    """Fraction of the requests that engines reject without running them."""
    copies: deque[StoreCopy] = attrs.field(factory=lambda: deque(maxlen=COPIES))
    """Copies of the store, the oldest first, from which it may be restored."""
    attempts: AttemptLog = attrs.field(factory=AttemptLog)
    """All attempts that reached a backend server."""
    endless: EndlessAnswers = attrs.field(init=False)
    """Answers without end, which a test may bring about."""
    endless_store: EndlessAnswers = attrs.field(init=False)
    """The same for the store's answers."""
    broken: BrokenAnswers = attrs.field(init=False)
    """Answers that are none, which a test may bring about."""
    broken_store: BrokenAnswers = attrs.field(init=False)
    """The same for the store's answers."""
    _work_by_id: dict[str, EngineWork] = attrs.field(factory=dict)
    _plain_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Draw odd answers apart, so that other draws stay the same."""
        self.endless = EndlessAnswers(random.Random(0))
        self.endless_store = EndlessAnswers(random.Random(0))
        self.broken = BrokenAnswers(random.Random(0))
        self.broken_store = BrokenAnswers(random.Random(0))

    def add_engine(self, domain: str, zone: str, address: str = "") -> EngineModel:
        """Start an empty engine."""
        engine = self.fleet.add(domain, zone, address)
        self._add_work(engine)
        return engine

    def _add_work(self, engine: EngineModel) -> None:
        self._work_by_id[engine.backend_id] = EngineWork(
            engine,
            self.fleet,
            self.pace,
            self._crashes_on,
            self._crash,
        )

    def _crashes_on(self, call: BackendCall) -> bool:
        return self.crashing_parts.crashes(call) or self.ends_under(call)

    def _crash(self, engine: EngineModel) -> None:
        """Crash an engine's process; its successor finds the weights on its host."""
        if engine.is_dead:
            return
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self.fail(engine)

    def fail(self, engine: EngineModel) -> None:
        """End an engine's process for a reason of its own; a successor starts."""
        loop = asyncio.get_running_loop()
        self.fleet.crash(engine)
        for call in self.crash_subscribers:
            call(engine.address)
        loop.call_later(self.restart_delay_s, self._restart_at_address, engine)

    def _restart_at_address(self, engine: EngineModel) -> None:
        started = self.add_engine(engine.domain, engine.zone, engine.address)
        started.staged = list(engine.staged)
        started.on_change(started)
        for call in self.restart_subscribers:
            call(engine.address)

    def restart_engine(self, engine: EngineModel) -> EngineModel:
        """Restart an engine under its id; its running requests are cut off."""
        started = self.fleet.restart(engine)
        self._add_work(started)
        return started

    def add_plain(
        self, service: str, zone: str, address: str = "", **options: object
    ) -> PlainService:
        """Start a backend server of a plain service."""
        self._plain_count += 1
        server = PlainService(
            f"p-{self._plain_count:04d}",
            service,
            address or f"10.9.0.1:{FIRST_PLAIN_PORT + self._plain_count}",
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

    def restart_plain_servers(self) -> None:
        """Crash all plain servers; others start at their addresses."""
        for address in list(self.plain):
            self.restart_plain(address)

    def restart_plain(self, address: str) -> None:
        """Crash the plain server at an address; one with a new id starts there.

        The entry of the earlier one stays until its heartbeats are missed.
        """
        server = self.plain.pop(address)
        server.is_dead = True
        for call in self.crash_subscribers:
            call(address)
        self._plain_count += 1
        started = attrs.evolve(
            server,
            backend_id=f"p-{self._plain_count:04d}",
            is_dead=False,
            running=0,
            stand_still=StandStill(),
            slot_queue=SlotQueue(),
        )
        self.plain[address] = started
        started.register()
        for call in self.restart_subscribers:
            call(address)
        loop = asyncio.get_running_loop()
        loop.call_later(
            MISSED_HEARTBEATS_S, self.store.remove, BACKENDS_TABLE, server.backend_id
        )

    def work_at(self, address: str) -> EngineWork | None:
        """Return the request processing of the running engine at an address."""
        engine = self.fleet.at(address)
        return self._work_by_id[engine.backend_id] if engine is not None else None

    def arrived(self, engine: EngineModel, call: BackendCall) -> None:
        """Record a request to an engine, which may crash it if it is cold."""
        self.crashing_parts.arrived(call)
        if self.cold.arrived(engine.backend_id, engine.cold_left_s()):
            self._crash(engine)

    def is_shed(self) -> bool:
        """Return whether an engine rejects the next request without running it."""
        return self.shed_share > 0.0 and self.rng.random() < self.shed_share

    def is_lengthless(self) -> bool:
        """Return whether the next answer ends with its connection."""
        share = self.lengthless_share
        return share > 0.0 and self.rng.random() < share

    def cold_left_s(self, engine: EngineModel) -> float | None:
        """Return the cold time that answers of an engine report, None for none."""
        tells = self.cold.per_s > 0.0 and self.cold.tells_in_answers
        return engine.cold_left_s() if tells else None

    def refuses(self, address: str) -> bool:
        """Return whether an address refuses connections immediately."""
        return address in self.fleet.refusing

    def record_arrival(self, zone: str) -> None:
        """Count a request that arrived at a backend server of a zone."""
        self.arrivals[zone] += 1
        self.last_arrival_s[zone] = asyncio.get_running_loop().time()

    def runs(self, request_id: str) -> int:
        """Return the number of runs of a request over all backend servers."""
        return self.fleet.runs[request_id] + self.plain_runs[request_id]
