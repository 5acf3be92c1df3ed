"""HTTP listeners of the process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from ._caller_connection import HEAD_TIMEOUT_S, KEEP_ALIVE_S, CallerConnections
from ._caller_writes import unacknowledged_bytes

MAX_HEADER_BYTES = 32 * 1024
"""Longest line of a request's head: twice the most that a configuration allows, so
that the configured limit decides."""

BACKLOG = 1024
"""Connections that may wait to be accepted, so that bursts are not dropped."""

LOOP_TURNS = 3
"""Turns of the event loop after which a request that has been read is in progress."""

CLOSE_TIMEOUT_S = 0.1
"""Longest time in which requests may end while a server closes."""

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define(eq=False, repr=False)
class HttpServer:
    """Serves one address with one handler."""

    _server: web.Server
    _listener: asyncio.Server
    _active: dict[web.RequestHandler, asyncio.Task[object]]
    """Tasks of the requests in progress, by connection."""

    @classmethod
    async def listen(
        cls,
        address: str,
        handler: HttpHandler,
        port: socket.socket | None = None,
        head_timeout_s: Callable[[], float] = lambda: HEAD_TIMEOUT_S,
    ) -> HttpServer:
        """Start serving an address.

        Args:
            address: ``host:port``.
            handler: Handles every request.
            port: A socket that already listens there; None to open one.
            head_timeout_s: Returns how long the head of a request may take.
        """
        active: dict[web.RequestHandler, asyncio.Task[object]] = {}

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            active[request.protocol] = asyncio.current_task()
            try:
                return await handler(request)
            finally:
                del active[request.protocol]

        server = CallerConnections(
            handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            head_timeout_s=head_timeout_s,
        )
        loop = asyncio.get_running_loop()
        if port is not None:
            listener = await loop.create_server(server, sock=port, backlog=BACKLOG)
            return cls(server, listener, active)
        host, _, number = address.rpartition(":")
        listener = await loop.create_server(server, host, int(number), backlog=BACKLOG)
        return cls(server, listener, active)

    @property
    def address(self) -> str:
        """The bound address, ``host:port``."""
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    def has_unread(self) -> bool:
        """Return whether the kernel still holds bytes of answers to be sent.

        They are lost if their caller sends more after this process has ended.
        """
        return any(
            c.transport is not None and unacknowledged_bytes(c.transport)
            for c in self._server.connections
        )

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        self._listener.close()

    async def close(self) -> None:
        """Close the listener and every connection.

        Requests in progress have a short time to end. No byte is read from a connection
        without one, so that a request that comes now is known not to have been read.
        """
        self._listener.close()
        for connection in self._idle():
            connection.transport.pause_reading()
        for _ in range(LOOP_TURNS):
            # Requests that have been read begin.
            await asyncio.sleep(0)
        for connection in self._idle():
            connection.force_close()
        if self._active:
            await asyncio.wait(list(self._active.values()), timeout=CLOSE_TIMEOUT_S)
        await self._server.shutdown(0.0)

    def _idle(self) -> list[web.RequestHandler]:
        """Return the open connections without a request in progress."""
        found = [c for c in self._server.connections if c not in self._active]
        return [c for c in found if c.transport and not c.transport.is_closing()]
