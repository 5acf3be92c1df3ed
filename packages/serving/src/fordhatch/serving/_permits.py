"""Obtains permits for requests to backend servers that have declared a rate limit."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, log_event, metrics

from ._backpressure import BackpressureTracker, Block, ServerLimit
from ._permit_issuer import Permit, PermitIssuer, issuers, rank_fraction

MAX_ISSUERS = 3
"""Nodes that may issue permits for one backend server, each the fallback of the one
before."""

UNREACHABLE_PAUSE_S = 2.0
"""How long an issuer is skipped after it did not answer, in seconds; doubles with each
consecutive failure."""

MAX_UNREACHABLE_PAUSE_S = 16.0
"""Upper bound of that time, in seconds."""

PermitRequester = Callable[[str, ServerLimit], Awaitable[Permit | None]]
"""Requests a permit from a node, given by name; returns None if it does not answer."""


@attrs.frozen
class _Unreachable:
    """An issuer that did not answer."""

    until_s: float
    """Until then no permit is requested from it, in monotonic seconds."""
    pause_s: float = UNREACHABLE_PAUSE_S


async def _request_nothing(_: str, __: ServerLimit) -> Permit | None:
    return None


@attrs.define(eq=False, repr=False)
class Permits:
    """Admission control for backend servers that have declared a rate limit.

    A limit applies to all nodes together, and no node sees the requests of the others.
    One node, derived from the name of the backend server, counts for all of them.
    """

    node_name: str
    timer: Timer
    pressure: BackpressureTracker
    issuer: PermitIssuer
    nodes: Callable[[], Collection[str]]
    """Returns the names of all nodes."""
    request_permit: PermitRequester = _request_nothing
    _unreachable: dict[str, _Unreachable] = attrs.field(factory=dict)
    """Issuers that did not answer, by name."""

    async def acquire(self, backend: BackendServer) -> bool:
        """Return whether a request may be sent to a backend server now."""
        limit = self.pressure.limit(backend.backend_id)
        if limit is None:
            return True
        if self.pressure.is_blocked(backend.backend_id):
            return False
        permit = await self._obtain_permit(limit)
        metrics.PERMITS.labels("granted" if permit.is_granted else "denied").inc()
        if not permit.is_granted:
            self.pressure.block(backend.backend_id, permit.again_s)
        return permit.is_granted

    def log_block(self, request_id: str, hold: Block, *, waits: bool) -> None:
        """Log and count a request that no backend server accepts now.

        Args:
            request_id: The request.
            hold: The block that ends first, of all backend servers that it could go to.
            waits: Whether the request waits for the end of the block.
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

    async def _obtain_permit(self, limit: ServerLimit) -> Permit:
        nodes = self.nodes()
        for rank, node in enumerate(issuers(limit.backend_id, nodes, MAX_ISSUERS)):
            if node == self.node_name:
                return self._issue_locally(limit, rank_fraction(rank))
            permit = await self._request_permit(node, limit)
            if permit is not None:
                return permit
        # No issuer is reachable: keep to this node's fraction of the limit.
        return self._issue_locally(limit, 1.0 / max(len(nodes), 1))

    async def _request_permit(self, node: str, limit: ServerLimit) -> Permit | None:
        now_s = self.timer.now_s()
        unreachable = self._unreachable.get(node)
        if unreachable is not None and unreachable.until_s > now_s:
            return None
        permit = await self.request_permit(node, limit)
        if permit is not None:
            self._unreachable.pop(node, None)
            return permit
        metrics.PERMITS.labels("unanswered").inc()
        log_event("permit_unanswered", issuer=node, backend=limit.backend_id)
        pause_s = UNREACHABLE_PAUSE_S
        if unreachable is not None:
            pause_s = min(2.0 * unreachable.pause_s, MAX_UNREACHABLE_PAUSE_S)
        self._unreachable[node] = _Unreachable(now_s + pause_s, pause_s)
        return None

    def _issue_locally(self, limit: ServerLimit, fraction: float) -> Permit:
        return self.issuer.issue(
            limit.backend_id,
            limit.per_s,
            self.node_name,
            self.timer.now_s(),
            fraction=fraction,
        )

    def issue_to(self, node: str, limit: ServerLimit) -> Permit:
        """Return a permit for another node.

        Args:
            node: The name of the node.
            limit: The limit as known to that node; applied here if it is newer.
        """
        self.pressure.apply_limit(limit)
        known = self.pressure.limit(limit.backend_id)
        if known is None:
            # The backend server has withdrawn its limit since.
            return Permit(is_granted=True)
        ranked = issuers(limit.backend_id, self.nodes(), MAX_ISSUERS)
        rank = ranked.index(self.node_name) if self.node_name in ranked else len(ranked)
        return self.issuer.issue(
            limit.backend_id,
            known.per_s,
            node,
            self.timer.now_s(),
            fraction=rank_fraction(rank),
        )

    def keep_only(self, backend_ids: set[str]) -> None:
        """Drop the state of backend servers and nodes that are no longer listed."""
        self.pressure.keep_only(backend_ids)
        self.issuer.keep_only(backend_ids)
        for node in self._unreachable.keys() - set(self.nodes()):
            del self._unreachable[node]
