"""Sends limits of backend servers to other nodes, and requests permits from them.

A limit is a rate that a backend server names as back-pressure. A permit from the node
that issues them for the backend server allows one request to it.
"""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.core import TaskSet, Timer
from fordhatch.protocol import Channel, PeerPool
from fordhatch.protocol.messages import (
    MAX_AGE_S,
    AskPermit,
    PermitReply,
    PressureNoted,
    PressureSeen,
    QueryPressure,
)
from fordhatch.registry import NodeAddress, StoreView
from fordhatch.serving import ColdReport, ColdState, Permit, Permits, ServerLimit

GOSSIP_FANOUT = 8
"""Nodes to which each node forwards an update that is new to it: all of a small system
at once, and of a large one all but one in three thousand within some rounds."""

ROUND_INTERVAL_S = 0.1
"""Pause after each round of sends, in which further updates are batched."""

SEND_TIMEOUT_S = 0.5
"""Longest wait for another node's acknowledgement or reply."""

PERMIT_TIMEOUT_S = 0.25
"""Longest wait for a permit: a node replies within some milliseconds, a busy one within
a tenth of a second. Without a reply the next node in rank is queried."""

START_QUERIED_NODES = 2
"""Nodes that a node queries as it starts; one of them may be lost."""

START_POLL_INTERVAL_S = 0.1
"""Time between checks whether a starting node knows other nodes."""

START_QUERY_WITHIN_S = 10.0
"""Time after its start within which a node queries other nodes. After that it has
learned the limits from the backend servers' own answers."""


@attrs.define(eq=False, repr=False)
class PressureGossip:
    """Exchanges limits and departures of backend servers, and permits, with nodes."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    permits: Permits
    _pending_limits: dict[str, ServerLimit] = attrs.field(factory=dict)
    """Limits to send in the next round, by backend server."""
    _pending_departures: list[str] = attrs.field(factory=list)
    """Backend servers whose departure is sent in the next round."""
    _pending_cold: dict[str, ColdState] = attrs.field(factory=dict)
    """Backend servers that answers report as cold, to send in the next round."""
    _is_sending: bool = False
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to send updates, and query other nodes for the limits they know."""
        self.permits.request_permit = self.request_permit
        self.permits.pressure.subscribe_limits(self._queue_limit)
        self.permits.pressure.subscribe_departures(self._queue_departure)
        self.permits.pressure.cold.subscribe(self._queue_cold)
        self._tasks.spawn(self._query_at_start(), "learn-pressure")

    # Limits and departures of backend servers.

    def _queue_limit(self, limit: ServerLimit) -> None:
        self._pending_limits[limit.backend_id] = limit
        self._ensure_sending()

    def _queue_departure(self, backend_id: str) -> None:
        self._pending_departures.append(backend_id)
        self._ensure_sending()

    def _queue_cold(self, state: ColdState) -> None:
        self._pending_cold[state.backend_id] = state
        self._ensure_sending()

    def _ensure_sending(self) -> None:
        if not self._is_sending:
            self._is_sending = True
            self._tasks.spawn(self._send_pending(), "tell-pressure")

    async def _send_pending(self) -> None:
        """Send pending updates in rounds until none is left."""
        try:
            while (
                self._pending_limits or self._pending_departures or self._pending_cold
            ):
                message = self._message(
                    list(self._pending_limits.values()),
                    self._pending_departures,
                    list(self._pending_cold.values()),
                )
                self._pending_limits, self._pending_departures = {}, []
                self._pending_cold = {}
                for node in self._sample(GOSSIP_FANOUT):
                    self._tasks.spawn(self._send(node, message), "tell-pressure")
                await self.timer.sleep(ROUND_INTERVAL_S)
        finally:
            self._is_sending = False

    async def _send(self, node: NodeAddress, message: PressureSeen) -> None:
        await self.pool.request(node.address, message, SEND_TIMEOUT_S)

    def _sample(self, max_nodes: int) -> list[NodeAddress]:
        nodes = self.view.shared.nodes.values()
        others = [node for node in nodes if node.name != self.node_name]
        return self.timer.rng.sample(others, min(max_nodes, len(others)))

    def _message(
        self, limits: list[ServerLimit], departures: list[str], cold: list[ColdState]
    ) -> PressureSeen:
        entries = [(x.backend_id, x.per_s, self._age_s(x.received_s)) for x in limits]
        states = [
            (x.backend_id, x.until_s - x.observed_s, self._age_s(x.observed_s))
            for x in cold
        ]
        return PressureSeen(entries, departures, states)

    def _age_s(self, observed_s: float) -> float:
        return min(max(self.timer.now_s() - observed_s, 0.0), MAX_AGE_S)

    async def receive(self, message: PressureSeen, channel: Channel) -> None:
        """Apply another node's update and acknowledge it."""
        self._apply(message)
        await channel.send(PressureNoted())

    def _apply(self, message: PressureSeen) -> None:
        now_s = self.timer.now_s()
        known = self.view.directory.backends
        for backend_id, per_s, age_s in message.limits:
            if backend_id in known:
                limit = ServerLimit(backend_id, per_s, now_s - age_s)
                self.permits.pressure.apply_limit(limit)
        for backend_id, left_s, age_s in message.cold:
            if backend_id in known:
                report = ColdReport(now_s - age_s, left_s)
                self.permits.pressure.cold.observe_remote(backend_id, report)
        for backend_id in message.leaving:
            self.permits.pressure.record_departure(backend_id)

    async def send_known(self, _: QueryPressure, channel: Channel) -> None:
        """Reply with every limit and departure that this node knows."""
        pressure = self.permits.pressure
        departures = self.view.directory.departures.all()
        known = self._message(pressure.limits(), departures, pressure.cold.states())
        await channel.send(known)

    async def _query_at_start(self) -> None:
        """Query some nodes for what they know, as soon as this node knows any node."""
        until_s = self.timer.now_s() + START_QUERY_WITHIN_S
        while not (self.view.backends.is_loaded and self._sample(1)):
            if self.timer.now_s() > until_s:
                return
            await self.timer.sleep(START_POLL_INTERVAL_S)
        for node in self._sample(START_QUERIED_NODES):
            answer = await self.pool.request(
                node.address, QueryPressure(), SEND_TIMEOUT_S
            )
            reply = answer.ok()
            if isinstance(reply, PressureSeen):
                self._apply(reply)

    # Permits.

    async def request_permit(self, node_name: str, limit: ServerLimit) -> Permit | None:
        """Request a permit from a node; return None if it does not reply.

        Args:
            node_name: The node that issues permits for the backend server.
            limit: The limit of the backend server, as this node knows it.
        """
        node = self.view.shared.nodes.get(node_name)
        if node is None:
            return None
        message = AskPermit(
            limit.backend_id,
            limit.per_s,
            self._age_s(limit.received_s),
            None if limit.cold is None else limit.cold.left_s,
        )
        # A request that stops waiting must not hide that the issuer is silent.
        asking = self._tasks.spawn(self._ask_permit(node, message), "ask-permit")
        await asyncio.wait([asking])
        return asking.result()

    async def _ask_permit(self, node: NodeAddress, message: AskPermit) -> Permit | None:
        answer = await self.pool.request(node.address, message, PERMIT_TIMEOUT_S)
        reply = answer.ok()
        if not isinstance(reply, PermitReply):
            self.permits.record_unanswered(node.name, message.backend_id)
            return None
        return Permit(reply.is_granted, reply.again_s)

    async def answer_permit(self, message: AskPermit, channel: Channel) -> None:
        """Grant or deny another node's request for a permit."""
        received_s = self.timer.now_s() - message.age_s
        left_s = message.cold_left_s
        cold = None if left_s is None else ColdReport(received_s, left_s)
        limit = ServerLimit(message.backend_id, message.limit_per_s, received_s, cold)
        permit = self.permits.issue_to(channel.peer_name, limit)
        await channel.send(PermitReply(permit.is_granted, permit.again_s))

    async def close(self) -> None:
        """Cancel the sends that are in flight."""
        await self._tasks.close()
