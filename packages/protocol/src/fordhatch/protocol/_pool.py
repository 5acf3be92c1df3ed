"""Pool of connections to other nodes, opened on demand and closed when idle."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, TaskSet, Timer, log_event, metrics

from ._codec import FrameError
from ._link import CONNECT_TIMEOUT_S, HANDSHAKE_TIMEOUT_S, Channel, Handler, Link

IDLE_CLOSE_S = 60.0
"""A connection on which no request was sent for this long is closed."""


@attrs.define(eq=False, repr=False)
class PeerPool:
    """Accepts connections from other nodes and keeps one outgoing connection to each.

    Attributes:
        node_name: Name of this node, sent in the handshake.
        shared_key: Key that authenticates the nodes of the system to each other.
        timer: Source of monotonic time.
        handler: Serves requests on accepted connections.
    """

    node_name: str
    shared_key: bytes
    timer: Timer
    handler: Handler | None = None
    _links: dict[str, Link] = attrs.field(factory=dict)
    _connecting: dict[str, asyncio.Task[Result[Link, Failure]]] = attrs.field(
        factory=dict
    )
    _retired: set[Link] = attrs.field(factory=set)
    """Connections that have been silent, with requests in progress."""
    _incoming: set[Link] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept connections from other nodes.

        Args:
            host: Address to listen on.
            port: Port; 0 selects any free port.

        Returns:
            The port that the node listens on.
        """
        self._server = await asyncio.start_server(self._accept, host, port)
        self._tasks.spawn(
            self.timer.every(IDLE_CLOSE_S / 4, self._close_idle, name="idle-links"),
            "idle-links",
        )
        return self._server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = Link(
            reader,
            writer,
            self.node_name,
            self.shared_key,
            self.handler,
            self.timer,
            is_client=False,
        )
        try:
            await asyncio.wait_for(link.handshake(), HANDSHAKE_TIMEOUT_S)
        except (FrameError, OSError, EOFError, TimeoutError) as error:
            metrics.FRAMES_REFUSED.labels("handshake").inc()
            log_event("peer_refused", reason=repr(error))
            writer.close()
            return
        self._incoming.add(link)
        try:
            await link.run()
        finally:
            self._incoming.discard(link)

    def buffered_bytes(self) -> int:
        """Return how many bytes wait on all connections, to be received or sent."""
        links = (*self._links.values(), *self._retired, *self._incoming)
        return sum(link.buffered_bytes for link in links)

    async def open(
        self, address: str, message: object, timeout_s: float | None = None
    ) -> Result[Channel, Failure]:
        """Send a request to a node.

        Args:
            address: ``host:port`` of the node.
            message: The request.
            timeout_s: Longest wait for a connection with its handshake and until the
                request is sent, in seconds; None for the limits of these alone.

        Returns:
            The channel on which answers arrive. A failure has ``ran`` no if the
            request was not sent. ``PEER_REFUSED`` means that the node answered but
            failed the handshake, for example because it has just started and does
            not have the shared key yet.
        """
        ends_s = None if timeout_s is None else self.timer.now_s() + timeout_s
        connected = await self._connected(address, timeout_s)
        if connected.is_err():
            return connected
        link = connected.unwrap()
        link.last_used_s = self.timer.now_s()
        channel = link.open(message)
        sent: Result[None, Failure] | None = None
        began_s = self.timer.now_s()
        try:
            # It waits for a node that doesn't read.
            async with asyncio.timeout(self._left_s(ends_s)):
                sent = await channel.send(message)
        except TimeoutError:
            self._retire_if_silent(link, began_s)
            failure = Failure.from_code(
                ResultCode.PEER_UNREACHABLE, address, ran=Ran.MAYBE
            )
            return Err(failure)
        finally:
            if sent is None:
                self._end(channel)
        if sent.is_err():
            return Err(sent.unwrap_err())
        return Ok(channel)

    def _left_s(self, ends_s: float | None) -> float | None:
        return None if ends_s is None else max(ends_s - self.timer.now_s(), 0.0)

    def _end(self, channel: Channel) -> None:
        """Close a channel without waiting for a node that doesn't read."""
        self._tasks.spawn(channel.close(), "end-request")

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request that has exactly one answer and return the answer.

        Args:
            address: ``host:port`` of the node.
            message: The request.
            timeout_s: Maximum wait for a connection and the answer, in seconds.
        """
        ends_s = self.timer.now_s() + timeout_s
        opened = await self.open(address, message, timeout_s)
        if opened.is_err():
            return opened
        channel = opened.unwrap()
        sent_s = self.timer.now_s()
        is_answered = False
        try:
            answer = await channel.receive(self._left_s(ends_s))
            is_answered = answer.is_ok()
            return answer
        finally:
            if not is_answered:
                self._retire_if_silent(channel.link, sent_s)
            self._end(channel)

    def _retire_if_silent(self, link: Link, since_s: float) -> None:
        """Use a new connection from now on if one has been silent.

        A connection may stop delivering data without a reset, while new connections
        to the same node work. Requests in progress stay on it: the node may only be
        late.

        Args:
            link: The connection.
            since_s: When the request was sent that has got no answer.
        """
        if not link.alive or link.last_received_s >= since_s:
            return
        for address, current in list(self._links.items()):
            if current is link:
                log_event("peer_link_silent", peer=link.peer_name)
                del self._links[address]
                self._retired.add(link)

    async def _connected(
        self, address: str, timeout_s: float | None
    ) -> Result[Link, Failure]:
        link = self._links.get(address)
        if link is not None and link.alive:
            return Ok(link)
        connecting = self._connecting.get(address)
        if connecting is None or connecting.done():
            connecting = self._tasks.spawn(self._connect(address), f"to-{address}")
            self._connecting[address] = connecting
        # It serves all that wait for the node, so none of them may cancel it.
        await asyncio.wait([connecting], timeout=timeout_s)
        if not connecting.done():
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE, address))
        return connecting.result()

    async def _connect(self, address: str) -> Result[Link, Failure]:
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE, address))
        # Requests flow in one direction: only the accepting side has a handler.
        link = Link(
            reader,
            writer,
            self.node_name,
            self.shared_key,
            None,
            self.timer,
            is_client=True,
        )
        try:
            await asyncio.wait_for(link.handshake(), HANDSHAKE_TIMEOUT_S)
        except (FrameError, OSError, EOFError, TimeoutError) as error:
            log_event("handshake_failed", address=address, error=repr(error))
            writer.close()
            is_silent = isinstance(error, TimeoutError)
            code = ResultCode.PEER_UNREACHABLE if is_silent else ResultCode.PEER_REFUSED
            return Err(Failure.from_code(code, address))
        self._tasks.spawn(link.run(), f"link-{address}")
        self._links[address] = link
        return Ok(link)

    async def _close_idle(self) -> None:
        limit_s = self.timer.now_s() - IDLE_CLOSE_S
        for address, link in list(self._links.items()):
            if not link.alive or (link.last_used_s < limit_s and not link.busy):
                await link.close()
                del self._links[address]
        for link in list(self._retired):
            is_dead = link.last_received_s < limit_s
            if not link.alive or not link.busy or is_dead:
                await link.close()
                self._retired.discard(link)

    def links(self) -> int:
        """Return the number of open connections."""
        return len(self._links) + len(self._retired) + len(self._incoming)

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for link in [*self._links.values(), *self._retired, *self._incoming]:
            await link.close()
        await self._tasks.close()
