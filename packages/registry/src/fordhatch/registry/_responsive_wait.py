"""Waiting that does not count the time in which this node itself was too slow.

An answer that has arrived is only read when the event loop gets to it. If the loop is
busy, a timeout says nothing about the other side.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from enum import Enum
from typing import Any

SLICE_S = 0.05
"""Length of the parts of a wait; each of them counts or does not."""

MAX_SLICE_FACTOR = 2.0
"""A part that took longer than this multiple of its length does not count."""

MAX_WAIT_S = 2.0
"""Longest wait, including the time that does not count. A node that is too slow for
that long can't tell who answers."""


class WaitEnd(Enum):
    """How a wait has ended."""

    DONE = "done"
    """An operation is done."""
    TIMED_OUT = "timed out"
    """None was done within the time, and this node was responsive all the while."""
    INCONCLUSIVE = "inconclusive"
    """None was done, but this node was too slow to tell why."""


async def wait_while_responsive(
    operations: Collection[asyncio.Future[Any]], duration_s: float
) -> WaitEnd:
    """Wait until one of the operations is done.

    Args:
        operations: The operations; they go on when the wait has ended.
        duration_s: Longest wait, in seconds in which this node was responsive.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    counted_s = 0.0
    while counted_s < duration_s:
        slice_s = min(SLICE_S, duration_s - counted_s)
        slice_began_s = loop.time()
        done, _ = await asyncio.wait(
            operations, timeout=slice_s, return_when=asyncio.FIRST_COMPLETED
        )
        if done:
            return WaitEnd.DONE
        now_s = loop.time()
        if now_s - slice_began_s <= slice_s * MAX_SLICE_FACTOR:
            counted_s += slice_s
        elif now_s - began_s > MAX_WAIT_S:
            return WaitEnd.INCONCLUSIVE
    return WaitEnd.TIMED_OUT
