"""A caller's connection that sends and reads HTTP by hand, as some clients do."""

from __future__ import annotations

import asyncio
import random
import socket

import attrs
from soak_exchanges import Exchange
from soak_timeline import ProcessLife

READ_BYTES = 64 * 1024
SLOW_READ_BYTES = 512
SLOW_READ_INTERVAL_S = 0.03
"""A slow caller reads about 17 KB/s, little more than a stream brings."""

SLOW_BUFFER_BYTES = 4096
"""Receive buffer of a slow caller, so that the node's own buffers fill."""


@attrs.frozen
class Habits:
    """How a caller uses its connection."""

    pipelines: bool = False
    """Whether it sends the next request before the answer has ended."""
    reads_slowly: bool = False
    half_closes: bool = False
    """Whether it closes its side after a request."""
    idles: bool = False
    """Whether it waits for seconds before some of its requests."""

    @classmethod
    def from_rng(cls, rng: random.Random) -> Habits:
        """Return random habits; half of the callers have none."""
        half_closes = rng.random() < 0.05
        return cls(
            not half_closes and rng.random() < 0.3,
            rng.random() < 0.25,
            half_closes,
            rng.random() < 0.3,
        )


@attrs.define(eq=False, repr=False)
class Connection:
    """One connection to a node, used for one request after another."""

    habits: Habits
    life: ProcessLife
    """Process to which it leads."""
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_open: bool = True
    _buffer: bytearray = attrs.field(factory=bytearray)

    @classmethod
    async def open(cls, url: str, life: ProcessLife, habits: Habits) -> Connection:
        """Connect to a node's process.

        Raises:
            OSError: If no process listens there.
        """
        host, _, port = url.removeprefix("http://").partition(":")
        peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        peer.setblocking(False)
        limit_bytes = READ_BYTES
        if habits.reads_slowly:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            limit_bytes = SLOW_READ_BYTES
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(peer, (host, int(port)))
        except OSError:
            peer.close()
            raise
        opened = await asyncio.open_connection(sock=peer, limit=limit_bytes)
        return cls(habits, life, *opened)

    def send(self, message: bytes) -> None:
        """Send a request without waiting."""
        self.writer.write(message)
        if self.habits.half_closes:
            self.writer.write_eof()

    async def receive(self, exchange: Exchange) -> None:
        """Read the answer to a request into its exchange.

        Raises:
            OSError: If the connection ends before the answer does.
        """
        try:
            await self._receive(exchange)
            exchange.is_complete = True
        except OSError:
            self.is_open = False
            raise
        finally:
            exchange.end()
        if exchange.headers.get("connection", "").lower() == "close":
            self.is_open = False

    async def _receive(self, exchange: Exchange) -> None:
        head = (await self._until(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        fields = (line.partition(":") for line in lines)
        exchange.headers = {n.lower(): v.strip() for n, _, v in fields}
        exchange.status = int(first.split(" ")[1])
        if exchange.headers.get("transfer-encoding", "").lower() != "chunked":
            await self._take(exchange, int(exchange.headers["content-length"]))
            return
        while size := int(await self._until(b"\r\n"), 16):
            await self._take(exchange, size)
            await self._until(b"\r\n")
        await self._until(b"\r\n")

    async def _until(self, end: bytes) -> bytes:
        while (index := self._buffer.find(end)) < 0:
            await self._fill()
        return self._cut(index + len(end))

    async def _take(self, exchange: Exchange, size: int) -> None:
        while size:
            if not self._buffer:
                await self._fill()
            piece = self._cut(min(size, len(self._buffer)))
            exchange.add(piece)
            size -= len(piece)

    def _cut(self, size: int) -> bytes:
        piece = bytes(self._buffer[:size])
        del self._buffer[:size]
        return piece

    async def _fill(self) -> None:
        if self.habits.reads_slowly:
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
        limit = SLOW_READ_BYTES if self.habits.reads_slowly else READ_BYTES
        piece = await self.reader.read(limit)
        if not piece:
            raise ConnectionResetError("the connection has ended")
        self._buffer += piece

    def close(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        self.writer.transport.abort()
