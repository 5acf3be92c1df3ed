"""A server that answers a request before it has read the request's body."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from enum import Enum

import attrs

RECEIVE_BYTES = 8192
"""Receive buffer of the server, so that a long body doesn't fit into the kernels."""

REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
REPORT_PATH = b"GET /v1/report"


class End(Enum):
    """What a server does once it has answered."""

    RESETS = "resets"
    """Resets the connection."""
    CLOSES = "closes"
    """Closes it with bytes that it hasn't read, which resets it."""
    ENDS_AND_RESETS = "ends and resets"
    """Ends its side, and resets the connection a moment later."""
    STAYS = "stays"
    """Ends its side, and reads nothing more."""
    READS_ON = "reads on"
    """Ends its side, and reads the rest of the body."""
    STAYS_OPEN = "stays open"
    """Ends nothing."""


@attrs.define
class EarlyServer:
    """Answers at once, and then ends its connection in one way."""

    answer: bytes
    """The answer after its status line and the fields that name the request."""
    end: End
    pause_s: float = 0.02
    """Time from the answer to the end."""
    last: bytes = b""
    """What is sent just before the end."""
    reset_after_s: float = 0.02
    """Time from the end of its side to a reset."""
    address: str = ""
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    _listener: socket.socket = attrs.field(factory=socket.socket)
    _tasks: list[asyncio.Task] = attrs.field(factory=list)

    def start(self) -> None:
        """Begin to listen."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address = ":".join(map(str, self._listener.getsockname()))
        self._spawn(self._accept())

    def _spawn(self, work) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _accept(self) -> None:
        while True:
            connection, _ = await self._loop.sock_accept(self._listener)
            connection.setblocking(False)
            self._spawn(self._serve(connection))

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    async def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(ConnectionError), connection:
            head = await self._read_head(connection)
            if head.startswith(REPORT_PATH):
                await self._loop.sock_sendall(connection, REPORT)
            elif head:
                await self._answer(connection, head)

    async def _read_head(self, connection: socket.socket) -> bytes:
        head = b""
        while b"\r\n\r\n" not in head:
            piece = await self._loop.sock_recv(connection, 1024)
            if not piece:
                return b""
            head += piece
        return head

    async def _answer(self, connection: socket.socket, head: bytes) -> None:
        """Send the answer and end it."""
        lines = head.split(b"\r\n")
        name = next(x for x in lines if x.lower().startswith(b"x-attempt-id:"))
        first = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + name + b"\r\n"
        await self._loop.sock_sendall(connection, first + self.answer)
        await asyncio.sleep(self.pause_s)
        await self._loop.sock_sendall(connection, self.last)
        if self.end in (End.ENDS_AND_RESETS, End.STAYS, End.READS_ON):
            connection.shutdown(socket.SHUT_WR)
        if self.end is End.ENDS_AND_RESETS:
            await asyncio.sleep(self.reset_after_s)
        if self.end in (End.RESETS, End.ENDS_AND_RESETS):
            reset = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        if self.end in (End.RESETS, End.ENDS_AND_RESETS, End.CLOSES):
            connection.close()
        self.ended.set()
        while self.end is End.READS_ON and await self._loop.sock_recv(
            connection, 65536
        ):
            pass
        if self.end in (End.STAYS, End.STAYS_OPEN):
            await asyncio.Event().wait()

    def close(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()


@contextlib.asynccontextmanager
async def early_server(
    answer: bytes, end: End, pause_s: float = 0.02, **options: object
) -> AsyncIterator[EarlyServer]:
    """Run a server that answers early."""
    server = EarlyServer(answer, end, pause_s, **options)
    server.start()
    try:
        yield server
    finally:
        server.close()
