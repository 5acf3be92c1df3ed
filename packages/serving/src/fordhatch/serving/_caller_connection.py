"""The end of an answer on its caller's connection.

An answer has ended when its bytes have left the process, not when they were handed to
the connection, and a connection is closed when its caller has read them.
"""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

from aiohttp import web

from fordhatch.core import Timer

READ_STALL_S = 30.0
"""Longest time in which a caller may take none of the rest of its answer."""

LINGER_S = 1.0
"""How long a connection stays open for its caller to close it, once the caller's kernel
has its last answer: a closed connection is reset if the caller sends more, and what the
caller has not read is dropped."""

LINGER_POLL_INTERVAL_S = 0.05
"""Time between checks whether the caller's kernel has it."""


async def finish(http_request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send the end of an answer, and wait until all of it has left the process.

    Raises:
        ConnectionError: If the caller has disconnected, or takes nothing any more.
    """
    transport = http_request.transport
    if transport is not None:
        transport.set_write_buffer_limits(high=0)
    sending = asyncio.ensure_future(response.write_eof())
    try:
        await _until_sent(sending, transport)
    finally:
        sending.cancel()


async def _until_sent(
    sending: asyncio.Future[None], transport: asyncio.Transport | None
) -> None:
    while True:
        left = transport.get_write_buffer_size() if transport is not None else 0
        await asyncio.wait([sending], timeout=READ_STALL_S)
        if sending.done():
            sending.result()
            return
        if left > 0 and transport.get_write_buffer_size() >= left:
            transport.abort()
            raise ConnectionResetError(f"nothing read in {READ_STALL_S} s")


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
    while left and timer.now_s() - changed_s < READ_STALL_S:
        await timer.sleep(LINGER_POLL_INTERVAL_S)
        before, left = left, unacknowledged_bytes(transport)
        if left != before:
            changed_s = timer.now_s()


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that this node's kernel still keeps to send; 0 if unknown."""
    connection = transport.get_extra_info("socket")
    found = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, found)
    except (OSError, ValueError):
        # Closed meanwhile, or the system does not tell.
        return 0
    return struct.unpack("i", found)[0]
