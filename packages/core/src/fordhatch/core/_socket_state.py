"""What the kernel says of a connection."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

_TCP_CLOSE = 7
"""State of a connection that was reset (``linux/tcp_states.h``)."""


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that this node's kernel still keeps to send; 0 if unknown."""
    return _kernel_bytes(transport, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel has received and not passed on; 0 if unknown."""
    return _kernel_bytes(transport, termios.FIONREAD)


def is_reset(transport: asyncio.Transport) -> bool:
    """Return whether the other end has reset a connection; false if unknown."""
    connection = transport.get_extra_info("socket")
    try:
        # The first byte is the state.
        found = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, ValueError, AttributeError):
        return False
    return found[:1] == bytes([_TCP_CLOSE])


def _kernel_bytes(transport: asyncio.Transport, request: int) -> int:
    connection = transport.get_extra_info("socket")
    found = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(connection.fileno(), request, found)
    except (OSError, ValueError):
        # Closed meanwhile, or the system does not tell.
        return 0
    return struct.unpack("i", found)[0]
