"""Obtains permits for requests to backend servers that have declared a rate limit."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, log_event, metrics

from ._backpressure import BackpressureTracker, Block, ServerLimit
from ._cold_backends import ColdReport, ColdState
from ._permit_issuer import Permit, PermitIssuer, issuers, rank_fraction

MAX_ISSUERS = 3
"""Nodes that may issue permits for one backend server, each the fallback of the one
before."""

UNREACHABLE_PAUSE_S = 2.0
"""How long an issuer is skipped after it did not answer, in seconds; doubles with each
consecutive failure."""

MAX_UNREACHABLE_PAUSE_S = 16.0
"""Upper bound of that time, in seconds."""

OTHER_ISSUER_PAUSE_S = 0.2
"""Time after which to ask again where two nodes disagree on who issues the permits,
because they do not know the same nodes. Their tables agree after some tenths of a
second."""

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
    _asking: dict[str, asyncio.Lock] = attrs.field(factory=dict)
    """By cold backend server; held while a permit is requested, so that of many waiting
    requests only one is denied."""

    async def acquire(
        self, backend: BackendServer, left_s: float | None = None
    ) -> bool:
        """Return whether a request may be sent to a backend server now.

        Args:
            backend: The backend server.
            left_s: Longest wait, in seconds, for other nodes and in line for them;
                None for the limits of the questions alone.
        """
        if left_s is None:
            return await self._acquire(backend)
        try:
            async with self.timer.timeout(left_s):
                return await self._acquire(backend)
        except TimeoutError:
            return False

    async def _acquire(self, backend: BackendServer) -> bool:
        cold = self.pressure.cold
        if cold.is_active and cold.state(backend) is not None:
            return await self._acquire_cold(backend)
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

    async def _acquire_cold(self, backend: BackendServer) -> bool:
        """Return whether a request may be sent to a cold backend server now."""
        backend_id, cold = backend.backend_id, self.pressure.cold
        if self.pressure.is_blocked(backend_id):
            return False
        async with self._asking.setdefault(backend_id, asyncio.Lock()):
            state = cold.state(backend)
            if state is None:
                return await self._acquire(backend)
            if self.pressure.is_blocked(backend_id):
                return False
            permit = await self._obtain_permit(self._cold_limit(backend, state))
        metrics.PERMITS.labels("granted" if permit.is_granted else "denied").inc()
        if not permit.is_granted:
            cold.block(state, permit.again_s)
        return permit.is_granted

    def _cold_limit(self, backend: BackendServer, state: ColdState) -> ServerLimit:
        """Return the smaller of a cold backend server's limits."""
        per_s = self.pressure.cold.service_limit_per_s(backend)
        declared = self.pressure.limit(backend.backend_id)
        if declared is not None:
            per_s = min(per_s, declared.per_s)
        left_s = state.until_s - state.observed_s
        report = ColdReport(state.observed_s, left_s)
        return ServerLimit(backend.backend_id, per_s, state.observed_s, report)

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
                return self._issue_as(limit, rank, self.node_name)
            permit = await self._request_permit(node, limit)
            if permit is not None:
                return permit
        # No issuer is reachable: keep to this node's fraction of the limit.
        if self.node_name not in nodes:
            # Of nodes that are not listed yet there may be any number.
            return Permit(is_granted=False, again_s=OTHER_ISSUER_PAUSE_S)
        if limit.cold is not None:
            ranked = issuers(limit.backend_id, nodes, len(nodes))
            rank = ranked.index(self.node_name)
            return self._issue_cold(limit, rank, self.node_name)
        return self._issue(limit, self.node_name, 1.0 / len(nodes))

    async def _request_permit(self, node: str, limit: ServerLimit) -> Permit | None:
        if self._is_unreachable(node):
            return None
        permit = await self.request_permit(node, limit)
        if permit is None:
            self.record_unanswered(node, limit.backend_id)
        else:
            self._unreachable.pop(node, None)
        return permit

    def _is_unreachable(self, node: str) -> bool:
        unreachable = self._unreachable.get(node)
        return unreachable is not None and unreachable.until_s > self.timer.now_s()

    def record_unanswered(self, node: str, backend_id: str) -> None:
        """Skip an issuer that did not answer, also if the request no longer waits.

        Args:
            node: The name of the issuer.
            backend_id: The backend server that a permit was requested for.
        """
        if self._is_unreachable(node):
            return
        metrics.PERMITS.labels("unanswered").inc()
        log_event("permit_unanswered", issuer=node, backend=backend_id)
        unreachable = self._unreachable.get(node)
        pause_s = UNREACHABLE_PAUSE_S
        if unreachable is not None:
            pause_s = min(2.0 * unreachable.pause_s, MAX_UNREACHABLE_PAUSE_S)
        until_s = self.timer.now_s() + pause_s
        self._unreachable[node] = _Unreachable(until_s, pause_s)

    def _issue_as(self, limit: ServerLimit, rank: int, requester: str) -> Permit:
        """Issue a permit as the issuer of a rank."""
        if limit.cold is not None:
            return self._issue_cold(limit, rank, requester)
        return self._issue(limit, requester, rank_fraction(rank))

    def _issue(self, limit: ServerLimit, requester: str, fraction: float) -> Permit:
        return self.issuer.issue(
            limit.backend_id,
            limit.per_s,
            requester,
            self.timer.now_s(),
            fraction=fraction,
        )

    def _issue_cold(self, limit: ServerLimit, rank: int, requester: str) -> Permit:
        """Issue a permit as the node of a rank; most ranks issue none."""
        budget = self.pressure.cold.budget()
        rate_per_s = budget.rate_per_s(limit.per_s, rank)
        if rate_per_s == 0.0:
            return Permit(is_granted=False, again_s=UNREACHABLE_PAUSE_S)
        return self.issuer.issue_from_bucket(
            limit.backend_id,
            rate_per_s,
            budget.bucket_permits(rank),
            requester,
            self.timer.now_s(),
        )

    def issue_to(self, node: str, limit: ServerLimit) -> Permit:
        """Return a permit for another node.

        Args:
            node: The name of the node.
            limit: The limit as known to that node; applied here if it is newer.
        """
        if limit.cold is None:
            self.pressure.apply_limit(limit)
        else:
            # The node that has the answer tells the others; this one need not.
            self.pressure.cold.observe(limit.backend_id, limit.cold)
        known = self._known_limit(limit)
        if known is None:
            # The backend server has withdrawn its limit since, or is warm.
            return Permit(is_granted=True)
        ranked = issuers(limit.backend_id, self.nodes(), MAX_ISSUERS)
        if self.node_name in ranked:
            return self._issue_as(known, ranked.index(self.node_name), node)
        if known.cold is not None:
            return Permit(is_granted=False, again_s=OTHER_ISSUER_PAUSE_S)
        return self._issue_as(known, len(ranked), node)

    def _known_limit(self, asked: ServerLimit) -> ServerLimit | None:
        """Return the limit in effect by what this node and the asking one know."""
        cold, backend_id = self.pressure.cold, asked.backend_id
        backend = self.pressure.directory.backends.get(backend_id)
        if cold.is_active and backend is not None:
            state = cold.state(backend)
            if state is not None:
                known = self._cold_limit(backend, state)
                if asked.per_s is None:
                    return known
                return attrs.evolve(known, per_s=min(known.per_s, asked.per_s))
        elif asked.cold is not None and asked.per_s is not None:
            # This node knows neither the backend server nor its service yet.
            return asked
        return self.pressure.limit(backend_id)

    def keep_only(self, backend_ids: set[str]) -> None:
        """Drop the state of backend servers and nodes that are no longer listed."""
        self.pressure.keep_only(backend_ids)
        for backend_id in self._asking.keys() - backend_ids:
            del self._asking[backend_id]
        self.issuer.keep_only(backend_ids)
        for node in self._unreachable.keys() - set(self.nodes()):
            del self._unreachable[node]
