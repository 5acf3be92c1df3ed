"""A channel within one node, for requests whose home is the entry node itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from result import Ok, Result

from fordhatch.core import Failure
from fordhatch.protocol import receive_from

Serve = Callable[[Any, Any], Awaitable[None]]
"""Serves a message and sends its answers to the outbox given."""


@attrs.define(eq=False)
class LocalChannel:
    """Carries messages like a channel to another node."""

    _inbox: asyncio.Queue[Any] = attrs.field(factory=asyncio.Queue)
    _task: asyncio.Future[None] | None = None

    @classmethod
    def from_handler(cls, serve: Serve, message: object) -> LocalChannel:
        """Start ``serve`` on a message and return where its answers arrive."""
        channel = cls()
        channel._task = asyncio.ensure_future(channel._run(serve, message))
        return channel

    async def _run(self, serve: Serve, message: object) -> None:
        try:
            await serve(message, self)
        finally:
            self._inbox.put_nowait(None)

    async def send(self, message: object) -> Result[None, Failure]:
        """Take an answer from the handler."""
        self._inbox.put_nowait(message)
        return Ok(None)

    async def receive(self, timeout_s: float | None = None) -> Result[Any, Failure]:
        """Return the next answer; see ``fordhatch.protocol.Channel.receive``."""
        return await receive_from(self._inbox, timeout_s)

    async def close(self) -> None:
        """Cancel the work."""
        self._task.cancel()
