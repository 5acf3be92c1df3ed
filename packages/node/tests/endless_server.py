"""A backend server as a process of its own, whose answers never end.

Usage: endless_server.py BYTES_PER_S HOST:PORT=KIND...

All connections together send at most that many bytes a second. Reports,
health checks and orders are answered.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from lengthless_server import read_head

PIECE_BYTES = 128 * 1024
SOUND_BODY = b"sound"
SOUND_EVENTS = 6
SLOW_PAUSE_S = 0.1
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

OK = "HTTP/1.1 200 OK"
FAILED = "HTTP/1.1 500 Failed"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = "Content-Type: text/event-stream\r\n" + CHUNKED


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _fill(unit: bytes) -> bytes:
    return unit * (PIECE_BYTES // len(unit))


# By kind: status line, what follows the signed fields, what is repeated without end.
KINDS: dict[str, tuple[str, str, bytes]] = {
    "body": (OK, "Connection: close\r\n\r\n", _fill(b"x")),
    "chunks": (OK, CHUNKED, _chunk(_fill(b"x"))),
    "failure": (FAILED, "Connection: close\r\n\r\n", _fill(b"x")),
    "failure-chunks": (FAILED, CHUNKED, _chunk(_fill(b"x"))),
    "event": (OK, EVENTS, _chunk(_fill(b"x"))),
    "small-pieces": (OK, EVENTS, _fill(_chunk(b"x"))),
    "old-events": (OK, EVENTS, _chunk(_fill(b"id: 0\ndata: x\n\n"))),
    "line": (OK, "X-Long: ", _fill(b"x")),
    "fields": (OK, "", _fill(b"X-Field: value\r\n")),
    "interim": ("", "", _fill(b"HTTP/1.1 102 Processing\r\n\r\n")),
    "extension": (OK, CHUNKED + "1;", _fill(b"x")),
    "trailers": (OK, CHUNKED + "0\r\n", _fill(b"X-Field: value\r\n")),
    "surplus": (OK, "Content-Length: 5\r\n\r\nsound", _fill(b"x")),
    "answers": (OK, "Content-Length: 5\r\n\r\nsound", _fill(b"HTTP/1.1 204 X\r\n\r\n")),
    "noise": ("", "", _fill(bytes(range(256)))),
    "no-line-end": ("", "", _fill(b"x")),
    "empty-lines": ("", "", _fill(b"\r\n")),
    "folded": (OK, "X-Long: x\r\n", _fill(b" x\r\n")),
    "noise-behind-a-head": (OK, "Connection: close\r\n\r\n", _fill(bytes(range(256)))),
    "slow": (OK, "Connection: close\r\n\r\n", b"x"),
    "slow-events": (OK, EVENTS, _chunk(b"x")),
    "slow-head": (OK, "X-Long: ", b"x"),
}


class EndlessServer:
    """Answers requests by their kind, within a rate for all of them."""

    def __init__(self, bytes_per_s: float) -> None:
        """Create the server."""
        self.bytes_per_s = bytes_per_s
        self.next_s = 0.0

    async def _wait_for_turn(self, size: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self.next_s = max(self.next_s, now_s) + size / self.bytes_per_s
        await asyncio.sleep(self.next_s - now_s)

    def serves(self, kind: str) -> Callable:
        """Return what answers the one request of a connection."""

        async def serve(reader, writer) -> None:
            try:
                await self._answer(kind, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return serve

    async def _answer(self, kind: str, reader, writer) -> None:
        _, headers = await read_head(reader)
        attempt = headers.get("x-attempt-id")
        if attempt is None:
            writer.write(REPORT)
            return
        signed = f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\n"
        if kind == "sound":
            length = f"Content-Length: {len(SOUND_BODY)}\r\n\r\n"
            writer.write(f"{OK}\r\n{signed}{length}".encode() + SOUND_BODY)
            return
        if kind == "sound-events":
            writer.write(f"{OK}\r\n{signed}{EVENTS}".encode())
            for number in range(1, SOUND_EVENTS + 1):
                writer.write(_chunk(b"id: %d\ndata: t\n\n" % number))
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(b"0\r\n\r\n")
            return
        status, rest, unit = KINDS[kind]
        writer.write(f"{status}\r\n{signed}{rest}".encode() if status else b"")
        while True:
            writer.write(unit)
            await writer.drain()
            await self._wait_for_turn(len(unit))
            if len(unit) < PIECE_BYTES // 2:
                await asyncio.sleep(SLOW_PAUSE_S)


async def main(bytes_per_s: str, *places: str) -> None:
    """Serve until the process is killed."""
    server = EndlessServer(float(bytes_per_s))
    for place in places:
        address, _, kind = place.partition("=")
        host, _, port = address.rpartition(":")
        await asyncio.start_server(server.serves(kind), host, int(port))
    print("listens", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
