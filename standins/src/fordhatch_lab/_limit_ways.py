"""Strategies by which nodes jointly keep a server's limit, with one interface."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Protocol

import attrs

from fordhatch.catalog import (
    BackendServer,
    BackendState,
    Backpressure,
    Configuration,
    Limits,
    Service,
)
from fordhatch.core import Timer
from fordhatch.registry import BackendDirectory
from fordhatch.serving import (
    BackpressureTracker,
    ColdReport,
    Permit,
    Permits,
    ServerLimit,
)
from fordhatch.serving.limits._cold_backends import MAX_COLD_S
from fordhatch.serving.limits._permit_issuer import PermitIssuer

SERVER = BackendServer("i-1", "llm", "10.0.0.1:1", "z1", BackendState.READY, 13)
"""The backend server that reports a limit."""

LINK_LATENCY_S = 0.001
"""One-way latency between two nodes, or to the server."""

NO_ANSWER_TIMEOUT_S = 0.1
"""Time until a request to an unreachable node fails."""

FEEDBACK_STEP = 0.1
"""Increase of a node's factor after each answer (additive increase)."""

FEEDBACK_CUT = 0.5
"""Multiplier on a node's factor after a refusal (multiplicative decrease)."""


class LimitStrategy(Protocol):
    """Decides at one node whether to send to a server that reports a limit."""

    async def try_acquire(self) -> bool:
        """Return whether a request may be sent now."""
        ...

    def record_answer(self, *, is_refused: bool) -> None:
        """Record whether the server refused a request."""
        ...


@attrs.define(eq=False, repr=False)
class TrialNodes:
    """The nodes of one trial, with simulated crashes and network partitions."""

    limit_per_s: float
    ways: dict[str, LimitStrategy] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    """Pairs of nodes that cannot reach each other."""
    messages: int = 0

    async def reach(self, sender: str, to: str) -> bool:
        """Simulate a request between nodes; return whether it was answered."""
        self.messages += 1
        await asyncio.sleep(LINK_LATENCY_S)
        if {sender, to} & self.lost or {sender, to} in self.cut:
            await asyncio.sleep(NO_ANSWER_TIMEOUT_S)
            return False
        return True


@attrs.define(eq=False, repr=False)
class EqualShares:
    """Gives each node an equal fraction of the limit, whatever its demand.

    The first request is sent after a random delay, so that the nodes don't send at
    the same moments.
    """

    nodes: TrialNodes
    timer: Timer
    share: float = 1.0
    """Factor on the node's equal fraction of the limit."""
    _next_s: float | None = None

    async def try_acquire(self) -> bool:
        """Return whether the node's next send time has passed."""
        now_s = self.timer.now_s()
        pause_s = len(self.nodes.ways) / (self.nodes.limit_per_s * self.share)
        if self._next_s is None:
            self._next_s = now_s + pause_s * self.timer.rng.random()
        if now_s < self._next_s:
            return False
        self._next_s = max(self._next_s + pause_s, now_s + 0.5 * pause_s)
        return True

    def record_answer(self, *, is_refused: bool) -> None:
        """Ignore the answer."""


@attrs.define(eq=False, repr=False)
class FeedbackShares(EqualShares):
    """Adapts the node's factor by additive increase and multiplicative decrease."""

    def record_answer(self, *, is_refused: bool) -> None:
        """Raise the factor after an answer, reduce it after a refusal."""
        if is_refused:
            self.share *= FEEDBACK_CUT
        else:
            self.share += FEEDBACK_STEP


@attrs.define(eq=False, repr=False)
class PermitStrategy:
    """Uses permits from one issuing node, as production nodes do."""

    permits: Permits

    @classmethod
    def create(cls, nodes: TrialNodes, name: str, timer: Timer) -> PermitStrategy:
        """Create the strategy of a node that knows the limit."""

        async def request_permit(to: str, limit: ServerLimit) -> Permit | None:
            if not await nodes.reach(name, to):
                return None
            return nodes.ways[to].permits.issue_to(name, limit)

        pressure = BackpressureTracker(timer, BackendDirectory(timer))
        issuer = PermitIssuer(name, timer.rng)
        names: Callable[[], Collection[str]] = lambda: nodes.ways  # noqa: E731
        permits = Permits(name, timer, pressure, issuer, names, request_permit)
        pressure.process_answer(SERVER, Backpressure(limit_per_s=nodes.limit_per_s))
        return cls(permits)

    async def try_acquire(self) -> bool:
        """Request a permit; return whether one was granted."""
        return await self.permits.acquire(SERVER)

    def record_answer(self, *, is_refused: bool) -> None:
        """Ignore the answer."""


@attrs.define(eq=False, repr=False)
class ColdStrategy(PermitStrategy):
    """Uses permits for a cold server, which declares no limit of its own."""

    @classmethod
    def create(cls, nodes: TrialNodes, name: str, timer: Timer) -> ColdStrategy:
        """Create the strategy of a node that knows that the server is cold."""
        strategy = super().create(nodes, name, timer)
        strategy.permits.pressure = pressure = BackpressureTracker(
            timer, BackendDirectory(timer)
        )
        service = Service(SERVER.service, "/", 100, cold_per_s=nodes.limit_per_s)
        limits = Limits(0, 0, 0.0, 0.0)
        pressure.cold.apply_configuration(
            Configuration(1, (), {service.name: service}, limits)
        )
        report = ColdReport(timer.now_s(), MAX_COLD_S)
        pressure.cold.observe(SERVER.backend_id, report)
        return strategy


STRATEGIES: dict[str, Callable[[TrialNodes, str, Timer], LimitStrategy]] = {
    "equal": lambda nodes, _, timer: EqualShares(nodes, timer),
    "feedback": lambda nodes, _, timer: FeedbackShares(nodes, timer),
    "permits": PermitStrategy.create,
    "cold": ColdStrategy.create,
}
"""Factories of the strategies, by name."""
