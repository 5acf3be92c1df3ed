"""A backend server as a process of its own, whose answers have no length.

Usage: lengthless_server.py HOST:PORT ID PAUSE_S [BORN_MS]

The second half of an answer follows the first after a pause. Reports name nobody.
"""

from __future__ import annotations

import asyncio
import sys

FIRST, SECOND = b"first half\n", b"second half\n"
WHOLE = FIRST + SECOND

REPORT = b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the path and the headers of a request, whose body is read too."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines)
    headers = {name.lower(): value for name, value in fields.items()}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return first.split()[1], headers


class LengthlessServer:
    """Answers requests, reports and health checks on one address."""

    def __init__(self, runner_id: str, pause_s: float) -> None:
        """Create the server."""
        self.runner_id = runner_id
        self.pause_s = pause_s

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one request of a connection."""
        path, headers = await read_head(reader)
        if path == "/v1/report":
            writer.write(REPORT)
        elif path == "/health":
            writer.write(self.health())
        else:
            await self.run(headers["x-attempt-id"], writer)
        writer.close()

    def health(self) -> bytes:
        """Return the answer to a health check."""
        return (
            f"HTTP/1.1 200 OK\r\nX-Runner-Id: {self.runner_id}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    async def run(self, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Run a request."""
        print(f"runs {attempt}", flush=True)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Server-Seal: {self.runner_id}.{attempt}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + FIRST)
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        writer.write(SECOND)
        await writer.drain()


async def main(address: str, runner_id: str, pause_s: str) -> None:
    """Serve until the process is killed."""
    host, _, port = address.rpartition(":")
    server = LengthlessServer(runner_id, float(pause_s))
    listener = await asyncio.start_server(server.serve, host, int(port))
    print("listens", flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
