"""HTTP listeners of the process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from ._caller_connection import HEAD_TIMEOUT_S, KEEP_ALIVE_S, CallerConnections

MAX_HEADER_BYTES = 32 * 1024
"""Longest line of a request's head: twice the most that a configuration allows, so
that the configured limit decides."""

BACKLOG = 1024
"""Connections that may wait to be accepted, so that bursts are not dropped."""

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define(eq=False, repr=False)
class HttpServer:
    """Serves one address with one handler."""

    _server: web.Server
    _listener: asyncio.Server

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
        server = CallerConnections(
            handler,
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
            return cls(server, listener)
        host, _, number = address.rpartition(":")
        listener = await loop.create_server(server, host, int(number), backlog=BACKLOG)
        return cls(server, listener)

    @property
    def address(self) -> str:
        """The bound address, ``host:port``."""
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        self._listener.close()

    async def close(self) -> None:
        """Close the listener and every connection."""
        self._listener.close()
        await self._server.shutdown(0.1)
