"""Failure detection and gossip over datagrams, in the manner of SWIM.

Each node pings one other node per interval; a silent node is pinged through
others, then suspected, then declared dead. Pings and answers carry membership
news and the newest versions a node holds, so that changes spread in a number of
rounds that grows with the logarithm of the number of nodes, at a cost per node
that does not grow at all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Any, Protocol

import attrs

from fordhatch.core import TaskSet, Timer, log_event, metrics
from fordhatch.protocol import (
    FrameError,
    decode_datagram,
    derive_key,
    encode_datagram,
)
from fordhatch.protocol.messages import (
    Ack,
    NodeRecord,
    Ping,
    PingRequest,
    VersionDigest,
)

from ._table import ALIVE, DEAD, LEAVING, SUSPECT, MembershipTable

INDIRECT_PINGS = 2
"""Nodes asked to ping a silent one."""

PUSH_FANOUT = 3
"""Nodes told at once when this node learns something new."""

SEED_INTERVALS = 10
"""Every so many intervals a seed or dead node is pinged, to heal partitions."""

Receive = Callable[[bytes, str], None]
"""Takes a datagram and its sender's address."""


class Endpoint(Protocol):
    """Sends datagrams."""

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to ``host:port``; it may be lost."""
        ...

    def close(self) -> None:
        """Stop sending and receiving."""
        ...


OpenEndpoint = Callable[[str, int, Receive], Awaitable[Endpoint]]
"""Opens a datagram endpoint on a host and port."""

DigestListener = Callable[[VersionDigest, NodeRecord], None]
"""Told of versions that another node holds."""


@attrs.define(eq=False)
class Membership:
    """This node's view of all nodes."""

    table: MembershipTable
    timer: Timer
    shared_key: bytes
    seeds: list[str]
    ping_interval_s: float
    suspect_s: float
    digest: Callable[[], VersionDigest] = VersionDigest
    on_digest: DigestListener | None = None
    open_endpoint: OpenEndpoint | None = None
    _endpoint: Endpoint | None = None
    _key: bytes = b""
    _sequence: int = 0
    _waiting: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)
    _relays: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    _round: list[str] = attrs.field(factory=list)
    _rounds: int = 0
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_record(
        cls,
        own: NodeRecord,
        timer: Timer,
        shared_key: bytes,
        *,
        seeds: list[str],
        ping_interval_s: float,
        suspect_s: float,
        open_endpoint: OpenEndpoint,
    ) -> Membership:
        """Return the membership of a node that knows only its seeds."""
        return cls(
            MembershipTable(own),
            timer,
            shared_key,
            [seed for seed in seeds if seed != own.address],
            ping_interval_s,
            suspect_s,
            open_endpoint=open_endpoint,
        )

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams and start pinging.

        Args:
            host: Address to listen on.
            port: The same number as the node's stream port.
        """
        self._key = derive_key(self.shared_key, b"datagram")
        self._endpoint = await self.open_endpoint(host, port, self._received)
        self._tasks.spawn(
            self.timer.every(self.ping_interval_s, self._ping_next, name="ping"), "ping"
        )

    async def _ping_next(self) -> None:
        self.table.expire(self.timer.now_s(), self.suspect_s)
        self._rounds += 1
        if self._rounds % SEED_INTERVALS == 1:
            self._ping_outside()
        target = self._next_target()
        if target is None:
            self._ping_outside()
            return
        if await self._ping(target.address):
            return
        if await self._ping_through_others(target):
            return
        entry = self.table.entries.get(target.node_id)
        if entry is not None and entry.record.state in (ALIVE, LEAVING):
            state = SUSPECT if entry.record.state == ALIVE else DEAD
            self.table.merge(
                attrs.evolve(entry.record, state=state), self.timer.now_s()
            )

    def _next_target(self) -> NodeRecord | None:
        reachable = {node.node_id: node for node in self.table.reachable()}
        self._round = [name for name in self._round if name in reachable]
        if not self._round:
            self._round = list(reachable)
            self.timer.rng.shuffle(self._round)
        return reachable[self._round.pop()] if self._round else None

    def _ping_outside(self) -> None:
        """Ping a seed or a dead node, whose answer would end a partition."""
        known = {e.record.address for e in self.table.entries.values()}
        addresses = [s for s in self.seeds if s not in known]
        addresses.extend(
            e.record.address
            for e in self.table.entries.values()
            if e.record.state == DEAD
        )
        if addresses:
            self._send(self.timer.rng.choice(addresses), self._new_ping())

    async def _ping(self, address: str) -> bool:
        ping = self._new_ping()
        answered = asyncio.get_running_loop().create_future()
        self._waiting[ping.sequence] = answered
        self._send(address, ping)
        return await self._answered(ping.sequence, answered)

    async def _ping_through_others(self, target: NodeRecord) -> bool:
        others = [n for n in self.table.reachable() if n.node_id != target.node_id]
        if not others:
            return False
        self._sequence += 1
        sequence = self._sequence
        answered = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = answered
        request = PingRequest(sequence, self.table.own, target.address)
        for other in self.timer.rng.sample(others, min(INDIRECT_PINGS, len(others))):
            self._send(other.address, request)
        return await self._answered(sequence, answered)

    async def _answered(self, sequence: int, answered: asyncio.Future[None]) -> bool:
        try:
            await asyncio.wait_for(answered, self.ping_interval_s * 0.4)
        except TimeoutError:
            return False
        finally:
            self._waiting.pop(sequence, None)
        return True

    def push(self) -> None:
        """Tell a few nodes at once that this node holds something new."""
        others = self.table.reachable()
        for other in self.timer.rng.sample(others, min(PUSH_FANOUT, len(others))):
            self._send(other.address, self._new_ping())

    def leave(self) -> None:
        """Tell a few nodes that this node is leaving; gossip does the rest."""
        self.table.declare(LEAVING)
        for _ in range(2):
            self.push()

    def _new_ping(self) -> Ping:
        self._sequence += 1
        return Ping(self._sequence, self.table.own, self.digest(), self.table.news())

    def _received(self, data: bytes, address: str) -> None:
        metrics.PEER_BYTES.labels("received").inc(len(data))
        try:
            message = decode_datagram(self._key, data)
        except FrameError as error:
            metrics.FRAMES_REFUSED.labels("datagram").inc()
            log_event("datagram_refused", reason=str(error))
            return
        metrics.PEER_MESSAGES.labels("received", type(message).__name__).inc()
        self._handle(message, address)

    @singledispatchmethod
    def _handle(self, message: Any, address: str) -> None:
        metrics.FRAMES_REFUSED.labels("unexpected").inc()

    @_handle.register
    def _handle_ping(self, message: Ping, address: str) -> None:
        self._learn(message)
        ack = Ack(message.sequence, self.table.own, self.digest(), self.table.news())
        self._send(address, ack)

    @_handle.register
    def _handle_ack(self, message: Ack, address: str) -> None:
        self._learn(message)
        answered = self._waiting.get(message.sequence)
        if answered is not None and not answered.done():
            answered.set_result(None)
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            self._send(relay[0], attrs.evolve(message, sequence=relay[1]))

    @_handle.register
    def _handle_ping_request(self, message: PingRequest, address: str) -> None:
        self.table.merge(message.sender, self.timer.now_s())
        ping = self._new_ping()
        self._relays[ping.sequence] = (address, message.sequence)
        while len(self._relays) > 64:  # noqa: PLR2004
            self._relays.pop(next(iter(self._relays)))
        self._send(message.target, ping)

    def _learn(self, message: Ping | Ack) -> None:
        now_s = self.timer.now_s()
        is_new = self.table.merge(message.sender, now_s)
        for record in message.news:
            is_new |= self.table.merge(record, now_s)
        if self.on_digest is not None:
            self.on_digest(message.digest, message.sender)

    def _send(self, address: str, message: object) -> None:
        data = encode_datagram(self._key, message)
        metrics.PEER_MESSAGES.labels("sent", type(message).__name__).inc()
        metrics.PEER_BYTES.labels("sent").inc(len(data))
        if self._endpoint is not None:
            self._endpoint.send(data, address)

    async def close(self) -> None:
        """Stop pinging."""
        await self._tasks.close()
        if self._endpoint is not None:
            self._endpoint.close()
