"""HTTP listeners of the process."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from fordhatch.core import unacknowledged_bytes

from ._caller_connection import HEAD_TIMEOUT_S, KEEP_ALIVE_S, CallerConnections

MAX_HEADER_BYTES = 32 * 1024
"""Longest line of a request's head: twice the most that a configuration allows, so
that the configured limit decides."""

BACKLOG = 1024
"""Connections that may wait to be accepted, so that bursts are not dropped."""

LOOP_TURNS = 3
"""Turns of the event loop after which a request that has been read is in progress."""

ACCEPT_TURNS = 20
"""Most turns of the event loop in which waiting connections are accepted."""

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

    def buffered_bytes(self) -> int:
        """Return how many bytes of answers the connections hold in this process."""
        transports = [c.transport for c in self._server.connections]
        return sum(t.get_write_buffer_size() for t in transports if t is not None)

    def has_unread(self) -> bool:
        """Return whether the kernel still holds bytes of answers to be sent.

        They are lost if their caller sends more after this process has ended.
        """
        return any(
            c.transport is not None and unacknowledged_bytes(c.transport)
            for c in self._server.connections
        )

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept.

        Those that wait are accepted before: the kernel resets them with the listener,
        and a process with little processor time gets to them late.
        """
        for _ in range(ACCEPT_TURNS):
            if not self._has_waiting():
                break
            await asyncio.sleep(0)
        self._listener.close()

    def _has_waiting(self) -> bool:
        """Return whether connections wait to be accepted."""
        poll = select.poll()
        for listening in self._listener.sockets:
            poll.register(listening.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close_idle(self) -> int:
        """Close the connections on which nothing has come and nothing is owed.

        Returns:
            Number of connections on which a request has come or may come at once;
            without those on which one is in progress.
        """
        left = 0
        for connection in self._idle():
            if not connection.is_idle():
                left += 1
            elif not unacknowledged_bytes(connection.transport):
                connection.force_close()
        return left

    async def close(self) -> None:
        """Close the listener and every connection.

        Requests in progress have ``CLOSE_TIMEOUT_S`` to end. No byte is read from a
        connection without one, so that a request that comes now is known not to have
        been read.
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
        for connection in list(self._active):
            if connection.transport is not None:
                connection.transport.abort()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    def _idle(self) -> list[web.RequestHandler]:
        """Return the open connections without a request in progress."""
        found = [c for c in self._server.connections if c not in self._active]
        return [c for c in found if c.transport and not c.transport.is_closing()]
