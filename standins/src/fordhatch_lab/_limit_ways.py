"""Ways in which nodes may keep a server's limit together, behind one interface."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Protocol

import attrs

from fordhatch.catalog import BackendServer, BackendState, Backpressure
from fordhatch.core import Timer
from fordhatch.registry import BackendDirectory
from fordhatch.serving import BackpressureTracker, Permit, Permits, ServerLimit
from fordhatch.serving._permit_issuer import PermitIssuer

SERVER = BackendServer("i-1", "llm", "10.0.0.1:1", "z1", BackendState.READY, 13)
"""The server that names a limit."""

LINK_S = 0.001
"""One way between two nodes, or to the server."""

LOST_S = 0.1
"""What asking a node takes that does not answer."""

FEEDBACK_STEP = 0.1
"""Part of the first share by which a node that has been served raises its own."""

FEEDBACK_CUT = 0.5
"""Factor on the share of a node that has been refused."""


class Way(Protocol):
    """What one node does before it sends to a server that names a limit."""

    async def take(self) -> bool:
        """Return whether a request may go out now."""
        ...

    def answered(self, *, is_refused: bool) -> None:
        """Take note of how a request ended."""
        ...


@attrs.define(eq=False, repr=False)
class NodesOfTrial:
    """The nodes of one trial, which may be lost or not reach each other."""

    limit_per_s: float
    ways: dict[str, Way] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    """Pairs of nodes that don't reach each other."""
    messages: int = 0

    async def reach(self, sender: str, to: str) -> bool:
        """Carry a message and its answer; returns whether there is one."""
        self.messages += 1
        await asyncio.sleep(LINK_S)
        if {sender, to} & self.lost or {sender, to} in self.cut:
            await asyncio.sleep(LOST_S)
            return False
        return True


@attrs.define(eq=False, repr=False)
class EqualShares:
    """Each node sends its part of the limit, whatever its callers want.

    Its first request comes at a random moment, so that the nodes take turns.
    """

    nodes: NodesOfTrial
    timer: Timer
    share: float = 1.0
    """Factor on the node's part."""
    _next_s: float | None = None

    async def take(self) -> bool:
        """Return whether the node's own next moment has come."""
        now_s = self.timer.now_s()
        pause_s = len(self.nodes.ways) / (self.nodes.limit_per_s * self.share)
        if self._next_s is None:
            self._next_s = now_s + pause_s * self.timer.rng.random()
        if now_s < self._next_s:
            return False
        self._next_s = max(self._next_s + pause_s, now_s + 0.5 * pause_s)
        return True

    def answered(self, *, is_refused: bool) -> None:
        """Nothing is learnt from answers."""


@attrs.define(eq=False, repr=False)
class FeedbackShares(EqualShares):
    """A share that rises with each answer and falls with each refusal."""

    def answered(self, *, is_refused: bool) -> None:
        """Raise the share, or cut it."""
        if is_refused:
            self.share *= FEEDBACK_CUT
        else:
            self.share += FEEDBACK_STEP


@attrs.define(eq=False, repr=False)
class PermitWay:
    """One node gives out permits for all: what the product does."""

    permits: Permits

    @classmethod
    def create(cls, nodes: NodesOfTrial, name: str, timer: Timer) -> PermitWay:
        """Build the way of a node that has heard the limit."""

        async def ask(to: str, limit: ServerLimit) -> Permit | None:
            if not await nodes.reach(name, to):
                return None
            return nodes.ways[to].permits.issue_to(name, limit)

        pressure = BackpressureTracker(timer, BackendDirectory(timer))
        issuer = PermitIssuer(name, timer.rng)
        names: Callable[[], Collection[str]] = lambda: nodes.ways  # noqa: E731
        permits = Permits(name, timer, pressure, issuer, names, ask)
        pressure.process_answer(SERVER, Backpressure(limit_per_s=nodes.limit_per_s))
        return cls(permits)

    async def take(self) -> bool:
        """Ask for a permit."""
        return await self.permits.acquire(SERVER)

    def answered(self, *, is_refused: bool) -> None:
        """Nothing is learnt from answers."""


WAYS: dict[str, Callable[[NodesOfTrial, str, Timer], Way]] = {
    "equal": lambda nodes, _, timer: EqualShares(nodes, timer),
    "feedback": lambda nodes, _, timer: FeedbackShares(nodes, timer),
    "permits": PermitWay.create,
}
"""How a node is built, by the name of its way."""
