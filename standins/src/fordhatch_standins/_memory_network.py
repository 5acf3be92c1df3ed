"""Connections between nodes within one process, with simulated partitions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, ResultCode
from fordhatch.protocol import Handler, decode, encode, receive_from

CONNECT_TIMEOUT_S = 1.0
"""Time until connecting across a partition fails."""

HANDSHAKE_TIMEOUT_S = 3.0
"""Time until a connection to a node that is stopped fails."""


@attrs.define(eq=False, repr=False)
class MemoryNetwork:
    """Connects the nodes of a site by their addresses."""

    pools: dict[str, MemoryPool] = attrs.field(factory=dict)
    cut: Callable[[str, str], bool] = lambda a, b: False
    """Whether the connection from one address to another is cut."""
    messages: int = 0
    """Number of messages between nodes."""
    payload_bytes: int = 0
    """Total encoded length of the messages."""

    def pool(self, node_name: str, address: str) -> MemoryPool:
        """Create and return the connection pool of a node."""
        self.pools[address] = MemoryPool(node_name, address, self)
        return self.pools[address]

    def carry(self, message: object) -> Any:
        """Return a message after encoding and decoding, and count it."""
        body = encode(0, message)
        self.messages += 1
        self.payload_bytes += len(body)
        return decode(body)[1]

    def drop(self, address: str) -> None:
        """Make a node unreachable, as if its process had terminated."""
        self.pools.pop(address, None)


@attrs.define(eq=False, repr=False)
class MemoryChannel:
    """One side of a request between two nodes."""

    peer_name: str
    network: MemoryNetwork
    is_connected: Callable[[], bool]
    inbox: asyncio.Queue[Any] = attrs.field(factory=asyncio.Queue)
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)
    other: MemoryChannel | None = None
    task: asyncio.Future[None] | None = None

    async def send(self, message: object) -> Result[None, Failure]:
        """Send a message through the codec; a cut connection loses it."""
        if self.other is None or self.other.closed.is_set():
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        if self.is_connected():
            self.other.inbox.put_nowait(self.network.carry(message))
        return Ok(None)

    async def receive(self, timeout_s: float | None = None) -> Result[Any, Failure]:
        """Return the next message."""
        return await receive_from(self.inbox, timeout_s)

    async def close(self) -> None:
        """End the request and cancel its processing at the peer."""
        self.closed.set()
        if self.task is not None:
            self.task.cancel()


@attrs.define(eq=False, repr=False)
class MemoryPool:
    """In-memory replacement for a node's connection pool."""

    node_name: str
    address: str
    network: MemoryNetwork
    handler: Handler | None = None
    shared_key: bytes = b""
    is_stopped: bool = False
    """Whether the process stands still: it sends nothing, connections to it open, and
    nothing answers."""
    _without_link: set[str] = attrs.field(factory=set)
    """Stopped nodes to which the connection that was open before is given up."""

    async def listen(self, host: str, port: int) -> int:
        """Return the port: no socket is needed."""
        return port

    async def open(
        self, address: str, message: object, timeout_s: float | None = None
    ) -> Result[Any, Failure]:
        """Start a request to another node."""
        if self.is_stopped:
            await asyncio.sleep(HANDSHAKE_TIMEOUT_S)
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        target = self.network.pools.get(address)
        if target is None or self.network.cut(self.address, address):
            wait_s = CONNECT_TIMEOUT_S if target else 0.0
            await asyncio.sleep(wait_s if timeout_s is None else min(wait_s, timeout_s))
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        if target.is_stopped and address in self._without_link:
            limit_s = HANDSHAKE_TIMEOUT_S if timeout_s is None else timeout_s
            await asyncio.sleep(min(HANDSHAKE_TIMEOUT_S, limit_s))
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        self._without_link.discard(address)
        here = MemoryChannel(
            target.node_name,
            self.network,
            lambda: not self.network.cut(self.address, address),
        )
        there = MemoryChannel(
            self.node_name,
            self.network,
            lambda: not self.network.cut(address, self.address),
        )
        here.other, there.other = there, here
        arrived = self.network.carry(message)
        if target.is_stopped:
            self._without_link.add(address)
            return Ok(here)
        here.task = asyncio.ensure_future(_serve(target, arrived, there, here))
        return Ok(here)

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request that has exactly one answer and return the answer."""
        opened = await self.open(address, message, timeout_s)
        if opened.is_err():
            return opened
        try:
            return await opened.unwrap().receive(timeout_s)
        finally:
            await opened.unwrap().close()

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""


async def _serve(
    target: MemoryPool, message: object, there: MemoryChannel, here: MemoryChannel
) -> None:
    work: Awaitable[None] = target.handler(message, there)
    try:
        await work
    finally:
        if target.address in target.network.pools:
            here.inbox.put_nowait(None)
