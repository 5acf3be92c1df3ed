"""Callers on raw sockets, which tell a whole answer from other ends of a connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import attrs
from serving_site import CALL_HEADERS, STREAM_HEADERS

from fordhatch_standins import SIGNATURE, http_answer

WAIT_LIMIT_S = 30.0
"""After this time something counts as never happening."""

ETHERNET_SEGMENT_BYTES = 1448
"""Largest segment of a TCP connection over an Ethernet."""

RECEIVE_BYTES = 4096
"""Receive buffer of a slow caller."""

EVENT_BYTES = 1000

TCP_TABLE = Path("/proc/net/tcp")

SAME_READINGS = 25
"""After this number of equal readings of it, a connection is taken to be full."""


class Node(Protocol):
    """A node that callers connect to."""

    address: str
    """Its ``host:port`` for callers."""


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not holds():
            await asyncio.sleep(0.005)


def request_bytes(
    path: str, request_id: str, body: bytes = b"", **headers: str
) -> bytes:
    """Return a request as it is sent."""
    usual = STREAM_HEADERS if path.startswith("/s") else CALL_HEADERS
    fields = {**usual, "X-Deadline-Ms": "120000", "X-Attempt-Id": request_id}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in {**fields, **headers}.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@attrs.frozen
class Answer:
    """What a caller got."""

    status: int
    """Status; 0 without a head."""
    headers: dict[str, str]
    body: bytes
    end: str
    """``whole``, or how the connection ended before: ``closed`` or ``reset``."""
    head: bytes = b""
    """The head as received."""

    @property
    def seen(self) -> tuple[int, str]:
        """Status and end."""
        return self.status, self.end

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete."""
        return self.end == "whole"


@attrs.define(eq=False, repr=False)
class Caller:
    """A caller on a connection of its own, which is kept."""

    connection: socket.socket
    _buffer: bytes = b""
    _end: str = ""

    @classmethod
    async def connect(cls, node: Node, receive_bytes: int = 0) -> Caller:
        """Open a connection; ``receive_bytes`` bounds what the kernel holds."""
        connection = socket.socket()
        connection.setblocking(False)
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
            # The node's kernel holds more for the large segments of loopback.
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES
            )
        host, _, port = node.address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        return cls(connection)

    async def send(self, data: bytes) -> None:
        """Send bytes; an end of the connection shows in the answer."""
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_sendall(self.connection, data)

    async def ask(self, path: str, request_id: str, **headers: str) -> Answer:
        """Send a request and read its answer."""
        await self.send(request_bytes(path, request_id, **headers))
        return await self.answer()

    async def answer(self, *, pause_s: float = 0.0, read_bytes: int = 65536) -> Answer:
        """Read one answer, with a pause before each read."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while (found := self._parse()) is None:
                await asyncio.sleep(pause_s)
                await self._read(read_bytes)
        return found

    async def begun(self, mark: bytes) -> None:
        """Read until bytes have arrived, which stay for the answer."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while mark not in self._buffer and not self._end:
                await self._read(65536)

    async def _read(self, read_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        try:
            piece = await loop.sock_recv(self.connection, read_bytes)
        except ConnectionError:
            self._end = "reset"
            return
        self._buffer += piece
        if not piece:
            self._end = "closed"

    def _parse(self) -> Answer | None:
        """Take an answer off the buffer; None if more is to be read."""
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return Answer(0, {}, b"", self._end) if self._end else None
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = [line.partition(": ") for line in lines]
        headers = {name.lower(): value for name, _, value in pairs}
        status = int(first.split(" ")[1])
        body, used = _body(headers, rest)
        if used is None:
            if not self._end:
                return None
            return Answer(status, headers, body, self._end, head)
        self._buffer = rest[used:]
        return Answer(status, headers, body, "whole", head)

    def is_closed(self) -> bool:
        """Return whether the connection has ended, as far as it is known here."""
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def held_bytes(self) -> int:
        """Return what both kernels hold of the answers: sent and not yet read."""
        ends = [self.connection.getpeername(), self.connection.getsockname()]
        node, own = (f"{_hexadecimal(ip)}:{port:04X}" for ip, port in ends)
        rows = [x.split() for x in TCP_TABLE.read_text().splitlines()[1:]]
        sent = [r[4].partition(":")[0] for r in rows if r[1:3] == [node, own]]
        unread = [r[4].partition(":")[2] for r in rows if r[1:3] == [own, node]]
        return sum(int(count, 16) for count in [*sent, *unread])

    async def until_full(self) -> int:
        """Wait until the kernels take no more of an answer; returns what they hold."""
        held = [0]
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not held[-1] or len({*held[-SAME_READINGS:]}) > 1:
                await asyncio.sleep(0.02)
                held.append(self.held_bytes())
        return held[-1]

    def reset(self) -> None:
        """End the connection in both directions, by a reset."""
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.connection.close()

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def _hexadecimal(address: str) -> str:
    return "".join(f"{int(part):02X}" for part in reversed(address.split(".")))


def _body(headers: dict[str, str], rest: bytes) -> tuple[bytes, int | None]:
    """Return a body as far as it is there, and its length on the wire if whole."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        length = int(headers.get("content-length", 0))
        return rest[:length], length if len(rest) >= length else None
    body, at = [], 0
    while (line_end := rest.find(b"\r\n", at)) >= 0:
        size = int(rest[at:line_end], 16)
        start = line_end + 2
        if len(rest) < start + size + 2:
            body.append(rest[start : start + size])
            break
        body.append(rest[start : start + size])
        at = start + size + 2
        if size == 0:
            return b"".join(body), at
    return b"".join(body), None


# Scripts of backend servers.


def stream_head(request: object) -> bytes:
    """Return the head of a stream in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.request_id}\r\n"
        f"X-Server-Seal: {SIGNATURE}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def event_chunk(number: int, size: int = 1) -> bytes:
    """Return one event as a chunk."""
    event = b"id: %d\ndata: %s\n\n" % (number, b"t" * size)
    return b"%x\r\n%s\r\n" % (len(event), event)


def streams(count: int, interval_s: float, size: int = 1) -> Callable:
    """Return a script that streams events at an interval."""

    async def script(request: object, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(request))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, count + 1):
            writer.write(event_chunk(number, size))
            await writer.drain()
            await asyncio.sleep(interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


async def answers_of_a_size(request: object, writer: asyncio.StreamWriter) -> None:
    """Answer with as many bytes as the path says."""
    size = int(request.target.rpartition("/")[2])
    if not request.target.startswith("/s"):
        writer.write(http_answer(request, b"x" * size))
        return
    writer.write(stream_head(request))
    for number in range(1, size // EVENT_BYTES):
        writer.write(event_chunk(number, EVENT_BYTES))
        await asyncio.sleep(0.002)
    writer.write(b"0\r\n\r\n")
