"""Limit on the calls that a component has in progress at the same time."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs


@attrs.define(eq=False, repr=False)
class CallLimiter:
    """Lets a limited number of calls run at once; the others wait in order.

    Each call takes processor time of this node. If hundreds begin at once, each of
    them waits for all others, and their timeouts measure this node's own queue.
    """

    limit: int
    _slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the slots."""
        self._slots = asyncio.Semaphore(self.limit)

    @contextlib.asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Wait for a turn, and hold it for the duration of the block."""
        async with self._slots:
            yield
