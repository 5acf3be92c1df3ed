"""How long an answer waits for a caller that does not read it."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from aiohttp import web

from fordhatch.core import Timer

MIN_WRITE_S = 1.0
"""Time that a caller has at least to read what is written, also after its deadline."""


@contextlib.asynccontextmanager
async def while_caller_reads(
    http_request: web.BaseRequest, timer: Timer, due_s: float
) -> AsyncIterator[None]:
    """Write to a caller, and break its connection if it does not read in time.

    Args:
        http_request: The caller's request.
        timer: The node's timer.
        due_s: When the final answer is due, in monotonic seconds.

    Raises:
        ConnectionResetError: If the connection was broken.
    """
    try:
        async with timer.timeout(max(due_s - timer.now_s(), MIN_WRITE_S)):
            yield
    except TimeoutError:
        if http_request.transport is not None:
            http_request.transport.abort()
        raise ConnectionResetError("the caller does not read") from None
