"""Connections of callers, with a bound on the time that a request's head may take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from fordhatch.core import record_bound, unread_bytes

HEAD_TIMEOUT_S = 10.0
"""Longest time from the first byte of a head to its last, where the configuration names
none."""

KEEP_ALIVE_S = 120.0
"""Idle connections are closed after this time. Callers reuse connections that were
idle for up to four fifths of a limit that the configuration sets and may raise; this
is above any usual limit."""


FIRST_REQUEST_S = 0.5
"""Time in which a caller sends the first bytes after it has connected."""


class CallerConnection(web.RequestHandler):
    """Reads requests on one connection; closes it at a head without end.

    The library bounds the lines of a head and their number, and the time of a
    connection that is idle after an answer, but no other time.
    """

    # The base class has slots.
    __slots__ = ("_began_s", "_has_partial_head", "_head_handle", "_head_timeout_s")

    def __init__(self, *args: Any, head_timeout_s: float, **options: Any) -> None:
        super().__init__(*args, **options)
        self._head_timeout_s = head_timeout_s
        self._head_handle: asyncio.TimerHandle | None = None
        self._began_s = 0.0
        self._has_partial_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time until the first head."""
        super().connection_made(transport)
        self._began_s = self._loop.time()
        self._limit(KEEP_ALIVE_S)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the bound."""
        self._unlimit()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a head, or of a body."""
        seen = self._request_count
        super().data_received(data)
        if not self._awaits_head() or self._request_count > seen:
            self._has_partial_head = False
            self._unlimit()
        elif data:
            self._has_partial_head = True
            if self._head_timeout_s > 0:
                self._limit(self._head_timeout_s)

    def is_idle(self) -> bool:
        """Return whether nothing of a request has come, and none is expected now.

        A caller connects to send a request, but has some time for it.
        """
        if not self._awaits_head() or self._has_partial_head:
            return False
        age_s = self._loop.time() - self._began_s
        if not self._request_count and age_s < FIRST_REQUEST_S:
            return False
        return unread_bytes(self.transport) == 0

    def _awaits_head(self) -> bool:
        """Return whether no request is in progress, nor its body still read."""
        return self._waiter is not None and not self._waiter.done()

    def _limit(self, time_s: float) -> None:
        """Bound the time of the head, unless an earlier bound is set."""
        ends_s = self._loop.time() + time_s
        if self._head_handle is not None and self._head_handle.when() <= ends_s:
            return
        self._unlimit()
        self._head_handle = self._loop.call_at(ends_s, self._end_head)

    def _unlimit(self) -> None:
        if self._head_handle is not None:
            self._head_handle.cancel()
            self._head_handle = None

    def _end_head(self) -> None:
        self._head_handle = None
        if self._awaits_head():
            record_bound("request_head")
            self.force_close()


class CallerConnections(web.Server):
    """Creates connections whose heads are bounded in time."""

    def __init__(
        self, *args: Any, head_timeout_s: Callable[[], float], **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._head_timeout_s = head_timeout_s

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, loop=self._loop, head_timeout_s=self._head_timeout_s(), **self._kwargs
        )
