"""Asks for leave to send a request to a backend server that has named a limit."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, log_event, metrics

from ._permit_issuer import Permit, PermitIssuer, issuers, rank_share
from ._pressure_book import Hold, PressureBook, ServerLimit

MOST_ISSUERS = 3
"""Nodes that may issue the permits of one backend server, one in place of the other."""

UNREACHABLE_S = 2.0
"""How long an issuer that did not answer is passed over; twice as long after each
further time."""

UNREACHABLE_MOST_S = 16.0
"""The same at the most."""

AskPermit = Callable[[str, ServerLimit], Awaitable[Permit | None]]
"""Asks a node by its name; None if it does not answer."""


@attrs.frozen
class _Silence:
    """An issuer that does not answer."""

    until_s: float
    """Before this it is not asked again."""
    pause_s: float = UNREACHABLE_S


async def _ask_nobody(_: str, __: ServerLimit) -> Permit | None:
    return None


@attrs.define(eq=False, repr=False)
class Permits:
    """One door for all requests to backend servers that have named a limit.

    A limit is for all nodes together, and none of them sees what the others send: so
    one node, found from the server's name, counts for all.
    """

    node_name: str
    timer: Timer
    pressure: PressureBook
    issuer: PermitIssuer
    nodes: Callable[[], Collection[str]]
    """Returns the names of all nodes."""
    ask: AskPermit = _ask_nobody
    _silent: dict[str, _Silence] = attrs.field(factory=dict)
    """Issuers that do not answer, by name."""

    async def take(self, backend: BackendServer) -> bool:
        """Return whether a request may go to a backend server now."""
        limit = self.pressure.limit(backend.backend_id)
        if limit is None:
            return True
        if self.pressure.is_held(backend.backend_id):
            return False
        permit = await self._permit(limit)
        metrics.PERMITS.labels("granted" if permit.is_granted else "denied").inc()
        if not permit.is_granted:
            self.pressure.hold_off(backend.backend_id, permit.again_s)
        return permit.is_granted

    def log_hold(self, request_id: str, hold: Hold, *, waits: bool) -> None:
        """Tell of a request that a held backend server does not get now.

        Args:
            request_id: The request.
            hold: The hold that ends first of those of all servers it could go to.
            waits: Whether it waits for the end of the hold.
        """
        outcome = "waited" if waits else "refused"
        metrics.SENDS_HELD.labels(hold.kind.value, outcome).inc()
        log_event(
            "send_held",
            request=request_id,
            backend=hold.backend_id,
            kind=hold.kind.value,
            free_s=round(hold.free_s, 3),
            outcome=outcome,
        )

    async def _permit(self, limit: ServerLimit) -> Permit:
        nodes = self.nodes()
        for rank, node in enumerate(issuers(limit.backend_id, nodes, MOST_ISSUERS)):
            if node == self.node_name:
                return self._own(limit, rank_share(rank))
            permit = await self._ask(node, limit)
            if permit is not None:
                return permit
        # Out of reach of all of them it keeps to its part of the limit.
        return self._own(limit, 1.0 / max(len(nodes), 1))

    async def _ask(self, node: str, limit: ServerLimit) -> Permit | None:
        now_s = self.timer.now_s()
        silence = self._silent.get(node)
        if silence is not None and silence.until_s > now_s:
            return None
        permit = await self.ask(node, limit)
        if permit is not None:
            self._silent.pop(node, None)
            return permit
        metrics.PERMITS.labels("unanswered").inc()
        log_event("permit_unanswered", issuer=node, backend=limit.backend_id)
        pause_s = UNREACHABLE_S
        if silence is not None:
            pause_s = min(2.0 * silence.pause_s, UNREACHABLE_MOST_S)
        self._silent[node] = _Silence(now_s + pause_s, pause_s)
        return None

    def _own(self, limit: ServerLimit, share: float) -> Permit:
        return self.issuer.give(
            limit.backend_id,
            limit.per_s,
            self.node_name,
            self.timer.now_s(),
            share=share,
        )

    def asked_by(self, node: str, limit: ServerLimit) -> Permit:
        """Return a permit for another node.

        Args:
            node: Its name.
            limit: The limit as it knows it; a newer one is taken over.
        """
        self.pressure.take_limit(limit)
        known = self.pressure.limit(limit.backend_id)
        if known is None:
            # The server has said since that it has none any more.
            return Permit(is_granted=True)
        ranked = issuers(limit.backend_id, self.nodes(), MOST_ISSUERS)
        rank = ranked.index(self.node_name) if self.node_name in ranked else len(ranked)
        return self.issuer.give(
            limit.backend_id,
            known.per_s,
            node,
            self.timer.now_s(),
            share=rank_share(rank),
        )

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget backend servers that are gone."""
        self.pressure.keep_only(backend_ids)
        self.issuer.keep_only(backend_ids)
        for node in self._silent.keys() - set(self.nodes()):
            del self._silent[node]
