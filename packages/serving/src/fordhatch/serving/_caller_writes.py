"""Writes to callers, up to the last byte of an answer and the end of its connection.

An answer has ended when its bytes have left the process, not when they were handed to
the connection, and a connection is closed when its caller has read them. A caller that
takes nothing for too long is given up.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import attrs
from aiohttp import web

from fordhatch.core import Timer, unacknowledged_bytes

MIN_WRITE_S = 5.0
"""Time in which a caller has at least to take a byte of what is written, also after its
deadline: packets that a link loses are sent again for some seconds."""

MAX_UNWATCHED_BYTES = 32 * 1024
"""Writes up to this size don't wait on an empty connection with usual limits."""

LINGER_S = 1.0
"""How long a connection stays open for its caller to close it, once the caller's kernel
has its last answer: a closed connection is reset if the caller sends more, and what the
caller has not read is dropped."""

LINGER_POLL_INTERVAL_S = 0.05
"""Time between checks whether the caller's kernel has it."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Socket option: a close resets the connection."""


@contextlib.asynccontextmanager
async def while_caller_reads(
    http_request: web.BaseRequest, timer: Timer, due_s: float
) -> AsyncIterator[None]:
    """Write to a caller, and break its connection if it takes nothing in time.

    Args:
        http_request: The caller's request.
        timer: The node's timer.
        due_s: When the final answer is due, in monotonic seconds.

    Raises:
        ConnectionResetError: If the connection was broken.
    """
    limit_s = max(due_s - timer.now_s(), MIN_WRITE_S)
    try:
        async with asyncio.timeout(limit_s) as deadline:
            watch = _ReaderWatch(http_request, deadline, _taken_bytes(http_request))
            watch.start(limit_s)
            try:
                yield
            finally:
                watch.stop()
    except TimeoutError:
        reset(http_request)
        raise ConnectionResetError("the caller does not read") from None


@attrs.define(eq=False, repr=False)
class _ReaderWatch:
    """Extends the deadline of a write while its caller takes bytes of it."""

    http_request: web.BaseRequest
    deadline: asyncio.Timeout
    taken_bytes: int
    """Bytes that the kernel had taken at the last check."""
    _check: asyncio.TimerHandle | None = None

    def start(self, limit_s: float) -> None:
        """Check shortly before the end of a time."""
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(0.9 * limit_s, self._extend_for_reader)

    def _extend_for_reader(self) -> None:
        before, self.taken_bytes = self.taken_bytes, _taken_bytes(self.http_request)
        if self.taken_bytes > before:
            loop = asyncio.get_running_loop()
            self.deadline.reschedule(loop.time() + MIN_WRITE_S)
            self.start(MIN_WRITE_S)

    def stop(self) -> None:
        """Check no more; a handle that isn't dropped would hold the request."""
        self._check.cancel()
        self._check = None


def _taken_bytes(http_request: web.BaseRequest) -> int:
    """Return the bytes of an answer that the kernel has taken."""
    transport = http_request.transport
    left = transport.get_write_buffer_size() if transport is not None else 0
    return http_request.writer.output_size - left


def send_continue(http_request: web.BaseRequest) -> None:
    """Tell a caller that waits for it to send the body of its request."""
    expects = http_request.headers.get("Expect", "").lower() == "100-continue"
    if expects and http_request.transport is not None:
        http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def write(
    http_request: web.BaseRequest,
    response: web.StreamResponse,
    piece: bytes,
    timer: Timer,
    due_s: float,
) -> None:
    """Write a piece of an answer; see ``while_caller_reads``."""
    transport = http_request.transport
    is_short = len(piece) <= MAX_UNWATCHED_BYTES
    if transport is None or (is_short and not transport.get_write_buffer_size()):
        await response.write(piece)
        return
    async with while_caller_reads(http_request, timer, due_s):
        await response.write(piece)


async def finish(
    http_request: web.BaseRequest,
    response: web.StreamResponse,
    timer: Timer,
    due_s: float,
) -> None:
    """Send the end of an answer, and wait until all of it has left the process.

    Raises:
        ConnectionError: If the caller has disconnected, or takes nothing any more.
    """
    async with while_caller_reads(http_request, timer, due_s):
        transport = http_request.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)
        await response.write_eof()
        if transport is not None and not transport.is_closing():
            transport.set_write_buffer_limits()


def reset(http_request: web.BaseRequest) -> None:
    """Break the connection of a caller so that no answer can look complete.

    Where only the end of the connection marks the end of the answer, a close would.
    """
    transport = http_request.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    # It may be closed already, or the system may not offer it.
    with contextlib.suppress(OSError, ValueError, AttributeError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


async def linger(
    http_request: web.BaseRequest, response: web.StreamResponse, timer: Timer
) -> None:
    """Wait until a caller has closed a connection whose last answer has been sent."""
    transport = http_request.transport
    is_last = response.prepared and response.keep_alive is False
    if not is_last or transport is None or transport.is_closing():
        return
    if http_request.can_read_body and not http_request.content.is_eof():
        # The server reads the rest of the body first.
        return
    transport.write_eof()
    try:
        await _until_taken(transport, timer)
        await timer.sleep(LINGER_S)
    except asyncio.CancelledError:
        if http_request.transport is not None:
            raise
        asyncio.current_task().uncancel()


async def _until_taken(transport: asyncio.Transport, timer: Timer) -> None:
    """Wait until the caller's kernel has acknowledged everything, or takes no more."""
    left = unacknowledged_bytes(transport)
    changed_s = timer.now_s()
    while left and timer.now_s() - changed_s < MIN_WRITE_S:
        await timer.sleep(LINGER_POLL_INTERVAL_S)
        before, left = left, unacknowledged_bytes(transport)
        if left != before:
            changed_s = timer.now_s()
