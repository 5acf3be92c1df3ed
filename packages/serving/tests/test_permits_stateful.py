"""Permits under random losses, network cuts, restarts and clock drift.

At each step the sum of requests must keep to the limit. The oracle knows every request,
and which nodes learned of the limit at least half a second before. A node that was
restarted or cut off is exempt while its requests lie within the window.
"""

from __future__ import annotations

import math
import random

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fordhatch.catalog import Backpressure
from fordhatch.registry import BackendDirectory
from fordhatch.serving import BackpressureTracker, Permit, Permits, ServerLimit
from fordhatch.serving.limits._permit_issuer import PermitIssuer
from fordhatch_lab import allowed
from fordhatch_lab._limit_ways import SERVER

WINDOW_S = 4.0
PROPAGATION_S = 0.5
DRIFT = (0.97, 1.03)
"""Range of the clock rates of nodes, relative to true time."""


@attrs.define
class Clock:
    """Monotonic clock of one node."""

    rng: random.Random
    rate: float = 1.0
    true_s: float = 0.0
    offset_s: float = 0.0

    def now_s(self) -> float:
        return self.offset_s + self.rate * self.true_s


@attrs.define
class Sent:
    at_s: float
    node: str
    counts: bool


def run_to_completion(coroutine) -> object:
    """Run a coroutine that never suspends, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine was suspended")


class LimitedServer(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.permits: dict[str, Permits] = {}
        self.clocks: dict[str, Clock] = {}
        self.informed_s: dict[str, float] = {}
        self.exempt_until_s: dict[str, float] = {}
        self.cut: set[str] = set()
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.sent: list[Sent] = []
        self.rng = random.Random(0)

    @initialize(
        nodes=st.integers(2, 12),
        limit_per_s=st.sampled_from([0.0, 0.4, 1.1, 3.0, 12.0]),
        seed=st.integers(0, 1000),
    )
    def begin(self, nodes: int, limit_per_s: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limit_per_s = limit_per_s
        for index in range(nodes):
            self._start(f"n{index}")

    def _start(self, name: str) -> None:
        clock = Clock(
            random.Random(f"{name}/{self.now_s}"),
            self.rng.uniform(*DRIFT),
            self.now_s,
            self.rng.uniform(0.0, 1e5),
        )
        self.clocks[name] = clock
        pressure = BackpressureTracker(clock, BackendDirectory(clock))

        async def ask(to: str, limit: ServerLimit) -> Permit | None:
            return self._deliver(name, to, limit)

        issuer = PermitIssuer(name, clock.rng)
        nodes = lambda: self.permits  # noqa: E731
        self.permits[name] = Permits(name, clock, pressure, issuer, nodes, ask)
        self.informed_s[name] = math.inf

    def _deliver(self, sender: str, to: str, limit: ServerLimit) -> Permit | None:
        if {sender, to} & self.cut or self.rng.random() < self.loss_probability:
            return None
        age_s = self.clocks[sender].now_s() - limit.received_s
        received = ServerLimit(
            limit.backend_id, limit.per_s, self.clocks[to].now_s() - age_s
        )
        permit = self.permits[to].issue_to(sender, received)
        if self.rng.random() < self.duplicate_probability:
            permit = self.permits[to].issue_to(sender, received)
        # The answer may be lost too, together with its permit.
        return None if self.rng.random() < self.loss_probability else permit

    def _advance(self, for_s: float) -> None:
        self.now_s += for_s
        for clock in self.clocks.values():
            clock.true_s = self.now_s

    @rule(for_s=st.sampled_from([0.05, 0.3, 1.0, 5.0, 60.0]))
    def wait(self, for_s: float) -> None:
        self._advance(for_s)

    @rule(
        for_s=st.sampled_from([0.5, 2.0, 6.0]),
        per_s=st.sampled_from([2.0, 20.0, 60.0]),
        busy=st.integers(1, 12),
    )
    def callers_want(self, for_s: float, per_s: float, busy: int) -> None:
        names = sorted(self.permits)[:busy]
        for _ in range(int(for_s * per_s)):
            self._advance(1.0 / per_s)
            self._want(self.rng.choice(names))

    def _want(self, name: str) -> None:
        if not run_to_completion(self.permits[name].acquire(SERVER)):
            return
        is_informed = self.now_s >= self.informed_s[name] + PROPAGATION_S
        is_exempt = name in self.cut or self.now_s < self.exempt_until_s.get(name, 0)
        self.sent.append(Sent(self.now_s, name, is_informed and not is_exempt))
        said = Backpressure(limit_per_s=self.limit_per_s)
        self.permits[name].pressure.process_answer(SERVER, said)
        self.informed_s[name] = min(self.informed_s[name], self.now_s)

    @rule(index=st.integers(0, 11))
    def restart(self, index: int) -> None:
        name = sorted(self.permits)[index % len(self.permits)]
        self.exempt_until_s[name] = self.now_s + WINDOW_S
        self._start(name)

    @rule(index=st.integers(0, 11))
    def cut_off(self, index: int) -> None:
        name = sorted(self.permits)[index % len(self.permits)]
        self.cut.add(name)

    @rule()
    def heal(self) -> None:
        for name in self.cut:
            self.exempt_until_s[name] = self.now_s + WINDOW_S
        self.cut.clear()

    @rule(
        lost=st.sampled_from([0.0, 0.03, 0.3]), doubled=st.sampled_from([0.0, 0.1, 0.5])
    )
    def links(self, lost: float, doubled: float) -> None:
        self.loss_probability, self.duplicate_probability = lost, doubled

    @invariant()
    def the_sum_holds(self) -> None:
        if not self.sent:
            return
        counted = [one.at_s for one in self.sent if one.counts]
        self.sent = [s for s in self.sent if s.at_s > self.now_s - 2 * WINDOW_S - 6.0]
        first = 0
        for last, at_s in enumerate(counted):
            while counted[first] <= at_s - WINDOW_S:
                first += 1
            assert last - first + 1 <= allowed(self.limit_per_s)


LimitedServer.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestLimitedServer = LimitedServer.TestCase
