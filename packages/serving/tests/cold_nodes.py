"""Nodes that send requests to one cold backend server, without a network."""

from __future__ import annotations

import json
import random

import attrs

from fordhatch.adapter import BACKENDS_TABLE, Row, RowKey, StoreVersion
from fordhatch.catalog import Configuration, Limits, Service
from fordhatch.registry import BackendDirectory
from fordhatch.serving import (
    BackpressureTracker,
    ColdBackends,
    Permit,
    Permits,
    ServerLimit,
)
from fordhatch.serving.limits._permit_issuer import PermitIssuer
from fordhatch_standins import entry_fields

COLD_S = 3.0


def configuration(cold_per_s: float) -> Configuration:
    service = Service("app", "/", 100, cold_s=COLD_S, cold_per_s=cold_per_s)
    return Configuration(1, (), {"app": service}, Limits(1, 1, 1.0, 1.0))


def row(version: int, name: str = "i-1", **changes: object) -> Row:
    entry = {**entry_fields("app", "10.0.0.1:1"), **changes}
    return Row(
        RowKey(BACKENDS_TABLE, name),
        StoreVersion(0, version),
        json.dumps(entry).encode(),
    )


@attrs.define
class NodeClock:
    """Monotonic clock of one node, with its own rate and origin."""

    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    true_s: float = 0.0
    rate: float = 1.0
    offset_s: float = 0.0

    def now_s(self) -> float:
        return self.offset_s + self.rate * self.true_s


def cold_backends(
    clock: NodeClock, cold_per_s: float = 17.0, **changes: object
) -> ColdBackends:
    """Return a node's state after its first full table, with one backend server."""
    directory = BackendDirectory(clock)
    cold = ColdBackends(clock, directory)
    cold.apply_configuration(configuration(cold_per_s))
    cold.follow_directory()
    directory.observe_snapshot([row(1, **changes)])
    return cold


def run_to_completion(coroutine) -> object:
    """Run a coroutine that never suspends, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine was suspended")


@attrs.define(eq=False, repr=False)
class ColdNodes:
    """Nodes by name, with the links between them."""

    cold_per_s: float
    rng: random.Random
    now_s: float = 0.0
    permits: dict[str, Permits] = attrs.field(factory=dict)
    unreachable: dict[str, set[str]] = attrs.field(factory=dict)
    """Nodes that a node cannot query, by name."""
    lost: float = 0.0
    doubled: float = 0.0
    """Probabilities that a message is lost or delivered twice."""
    arrivals_s: list[float] = attrs.field(factory=list)

    def start(self, name: str, *, drift: float = 0.0, **changes: object) -> None:
        clock = NodeClock(
            random.Random(f"{name}/{self.now_s}"),
            self.now_s,
            self.rng.uniform(1.0 - drift, 1.0 + drift),
            self.rng.uniform(0.0, 1e5),
        )
        cold = cold_backends(clock, self.cold_per_s, **changes)

        async def ask(to: str, limit: ServerLimit) -> Permit | None:
            return self._deliver(name, to, limit)

        self.permits[name] = Permits(
            name,
            clock,
            BackpressureTracker(clock, cold.directory, cold),
            PermitIssuer(name, clock.rng),
            lambda: self.permits,
            ask,
        )

    def cold(self, name: str) -> ColdBackends:
        return self.permits[name].pressure.cold

    def presume_cold(self) -> None:
        for permits in self.permits.values():
            permits.pressure.cold.presume_zone_cold("z1")

    def _deliver(self, sender: str, to: str, limit: ServerLimit) -> Permit | None:
        if to in self.unreachable.get(sender, ()) or self.rng.random() < self.lost:
            return None
        clocks = self.permits[sender].timer, self.permits[to].timer
        received_s = clocks[1].now_s() - (clocks[0].now_s() - limit.received_s)
        cold = limit.cold and attrs.evolve(limit.cold, observed_s=received_s)
        asked = attrs.evolve(limit, received_s=received_s, cold=cold)
        permit = self.permits[to].issue_to(sender, asked)
        if self.rng.random() < self.doubled:
            permit = self.permits[to].issue_to(sender, asked)
        return None if self.rng.random() < self.lost else permit

    def advance(self, for_s: float) -> None:
        self.now_s += for_s
        for permits in self.permits.values():
            permits.timer.true_s = self.now_s

    def want(self, name: str, delay_s: float = 0.0) -> bool:
        """Send a caller's request if there is a permit for it."""
        permits = self.permits[name]
        backend = permits.pressure.directory.backends["i-1"]
        if permits.pressure.is_blocked("i-1"):
            return False
        is_sent = run_to_completion(permits.acquire(backend))
        if is_sent:
            self.arrivals_s.append(self.now_s + delay_s)
        return is_sent

    def worst(self) -> int:
        """Return the largest number of requests that arrived within one second."""
        at_s, first, largest = sorted(self.arrivals_s), 0, 0
        for last, moment_s in enumerate(at_s):
            while at_s[first] <= moment_s - 1.0:
                first += 1
            largest = max(largest, last - first + 1)
        return largest

    def bound(self) -> float:
        return 1.5 * self.cold_per_s + 5.0
