"""Heads as other servers write them, which have to pass."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from aiohttp import web
from broken_answers import parser
from same_answer import order, report

from fordhatch.adapter import BackendClient

__all__ = ["parser"]

BODY = b'{"seq": 3}'


class Handler(BaseHTTPRequestHandler):
    """Answers each request as the standard library does."""

    def do_GET(self) -> None:
        if self.headers.get("Content-Length"):
            self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Set-Cookie", "a=b; Path=/; HttpOnly")
        self.send_header("Set-Cookie", "c=d")
        if self.has_length:
            self.send_header("Content-Length", str(len(BODY)))
        self.end_headers()
        self.wfile.write(BODY)

    do_POST = do_GET  # noqa: N815

    def log_message(self, *_: object) -> None:
        pass


@contextmanager
def standard_server(version: str, *, has_length: bool) -> Iterator[str]:
    """Run a server of the standard library; yields its address."""
    fields = {"protocol_version": version, "has_length": has_length}
    handler = type("Chosen", (Handler,), fields)
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield ":".join(map(str, server.server_address))
    finally:
        server.shutdown()


# Guards against sound answers that are lost to the check.
@pytest.mark.parametrize("call", [report, order])
@pytest.mark.parametrize(
    ("version", "has_length"),
    [("HTTP/1.0", True), ("HTTP/1.0", False), ("HTTP/1.1", True)],
)
async def test_answers_of_the_standard_library_pass(
    parser, call: Callable, version: str, has_length: bool
) -> None:
    with standard_server(version, has_length=has_length) as address:
        assert (await call(address)).is_ok()


async def test_answers_of_the_http_library_pass(parser) -> None:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/whole":
            return web.json_response({"seq": 3}, headers={"X-Runner-Id": "i-1"})
        response = web.StreamResponse(headers={"X-Runner-Id": "i-1"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        for piece in (BODY[:4], BODY[4:]):
            await response.write(piece)
        return response

    server = web.Server(handle)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    address = ":".join(map(str, listener.sockets[0].getsockname()))
    client = BackendClient.create()
    try:
        for path in ("/whole", "/chunks"):
            found = await client.check_health(address, path, "i-1", timeout_s=5.0)
            assert found.unwrap().orders == 3
    finally:
        await client.close()
        listener.close()
        await server.shutdown(0.1)
