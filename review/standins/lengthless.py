"""A plain runner as a process of its own, whose answers have no length.

Usage: lengthless.py HOST:PORT ID
"""

from __future__ import annotations

import asyncio
import sys

SECOND_HALF_AFTER_S = 0.8
"""Pause within an answer, while the runner works on its second half."""

HALF_BYTES = 400
"""Half of the usual length of an answer."""


def whole_body(attempt: str) -> bytes:
    """Return the whole body of the answer to a request."""
    half = HALF_BYTES * b"x"
    return b"first %b %b\nsecond %b %b\n" % (attempt.encode(), half, b"half", half)


def split(body: bytes) -> tuple[bytes, bytes]:
    """Return the two parts in which a body is sent."""
    middle = body.index(b"\n") + 1
    return body[:middle], body[middle:]


class Lengthless:
    """Answers requests on one address."""

    def __init__(self, runner_id: str) -> None:
        """Create the runner."""
        self.runner_id = runner_id

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one request of a connection."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            fields = {name.lower(): value for name, value in fields.items()}
            await reader.readexactly(int(fields.get("content-length", 0)))
            await self._answer(lines[0].split()[1], fields, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.runner_id) != self.runner_id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                b"X-Runner-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % self.runner_id.encode()
            )
            return
        if path == "/health":
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Runner-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % self.runner_id.encode()
            )
            return
        if not attempt:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        print(f"runs {attempt}", flush=True)
        first, second = split(whole_body(attempt))
        seal = f"{self.runner_id}.{attempt}"
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Server-Seal: {seal}\r\nConnection: close\r\n\r\n".encode()
            + first
        )
        await writer.drain()
        await asyncio.sleep(SECOND_HALF_AFTER_S)
        writer.write(second)
        await writer.drain()


async def main(address: str, runner_id: str) -> None:
    """Serve until the process is killed."""
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(
        Lengthless(runner_id).serve, host, int(port), reuse_address=True
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
