"""Backend server whose answers are written byte by byte by a test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

REPORT_PATH = "/v1/report"
"""Path of reports, which are answered without a script."""

HEALTH_PATH = "/health"
"""Path of health checks, which are answered without a script if a test says how."""

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


@attrs.frozen
class SeenRequest:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of this attempt."""
        return self.headers["x-attempt-id"]


Script = Callable[[SeenRequest, asyncio.StreamWriter], Awaitable[None]]


def http_answer(
    request: SeenRequest,
    body: bytes,
    *,
    status: int = 200,
    request_id: str | None = None,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a complete signed answer with a ``Content-Length``."""
    fields = {
        "X-Attempt-Id": request_id or request.request_id,
        "X-Server-Seal": SIGNATURE,
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@attrs.define(eq=False, repr=False)
class ScriptedBackend:
    """Listens on loopback, records every request and runs the script for it."""

    script: Script
    seen: list[SeenRequest] = attrs.field(factory=list)
    left: list[str] = attrs.field(factory=list)
    """Ids of requests whose client disconnected before the script finished."""
    reports: int = 0
    """Number of requests for a report."""
    report: bytes | None = b"{}"
    """Body of the report; None to leave the request unanswered."""
    report_headers: dict[str, str] = attrs.field(factory=dict)
    report_status: int = 200
    late_s: float = 0.0
    """Time in seconds that reports and answers to health checks take."""
    runner_id: str = ""
    """Id that answers to health checks name; without it the script answers them."""
    health: bytes | None = None
    """Body of the answer to a health check; None for an empty one."""
    health_headers: dict[str, str] | None = None
    """Headers of that answer; None to name the id."""
    health_status: int = 200
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> str:
        """Start to listen and return ``host:port``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._answer(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await _read(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        if request.target == REPORT_PATH:
            self.reports += 1
            if self.report is None:
                await reader.read()
                writer.close()
                return
            await asyncio.sleep(self.late_s)
            writer.write(
                _plain_answer(self.report_status, self.report_headers, self.report)
            )
            writer.close()
            return
        if request.target == HEALTH_PATH and self._answers_health():
            named = {"X-Runner-Id": self.runner_id} if self.runner_id else {}
            headers = named if self.health_headers is None else self.health_headers
            body = self.health or b""
            await asyncio.sleep(self.late_s)
            writer.write(_plain_answer(self.health_status, headers, body))
            writer.close()
            return
        self.seen.append(request)
        work = asyncio.ensure_future(self.script(request, writer))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([work, disconnected], return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.left.append(request.request_id)
            work.cancel()
        disconnected.cancel()
        writer.close()

    def _answers_health(self) -> bool:
        return bool(self.runner_id) or self.health is not None

    def close_connections(self, but: asyncio.StreamWriter | None = None) -> None:
        """Close every connection but one, and listen on.

        The end of the process and a start again do the same to all of them.
        """
        for writer in self._writers - {but}:
            writer.close()

    async def start_again(self, address: str) -> None:
        """Listen again at an address, after ``close``."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()


def _plain_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    fields = {"Content-Length": len(body), **headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


async def _read(reader: asyncio.StreamReader) -> SeenRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return SeenRequest(method, target, headers, body)
