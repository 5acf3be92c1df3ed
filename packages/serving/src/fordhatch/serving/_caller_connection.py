"""The end of an answer on its caller's connection.

An answer has ended when its bytes have left the process, not when they were handed to
the connection.
"""

from __future__ import annotations

import asyncio

from aiohttp import web

READ_STALL_S = 30.0
"""Longest time in which a caller may take none of the rest of its answer."""


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
