"""Reports, health checks, orders and the store: answers whose head is none."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
import pytest
import pytest_asyncio
from broken_answers import parser

from fordhatch.adapter import BackendClient, GroupOrder, OrderKind, StoreClient
from fordhatch.core import Ran, ResultCode

__all__ = ["parser"]

JSON = b"Content-Type: application/json\r\n"
BODY = b'{"ver": 7, "rows": [], "born": 5, "seq": 3}'
SIZE = b"Content-Length: %d\r\n" % len(BODY)
LENGTH = JSON + SIZE

HEADS = {
    "status 000": b"HTTP/1.1 000 X\r\n" + LENGTH,
    "status 600": b"HTTP/1.1 600 X\r\n" + LENGTH,
    "status 101": b"HTTP/1.1 101 X\r\n" + LENGTH,
    "version 2": b"HTTP/2.0 200 OK\r\n" + LENGTH,
    "control in the reason": b"HTTP/1.1 200 \x01\r\n" + LENGTH,
    "blank in a name": b"HTTP/1.1 200 OK\r\nX Field: x\r\n" + LENGTH,
    "control in a name": b"HTTP/1.1 200 OK\r\nX\x01Field: x\r\n" + LENGTH,
    "control in a value": b"HTTP/1.1 200 OK\r\nX-Field: \x01\r\n" + LENGTH,
    "blank before the colon": b"HTTP/1.1 200 OK\r\nStore-Era : 9\r\n" + LENGTH,
    "two lengths": b"HTTP/1.1 200 OK\r\n" + LENGTH + b"Content-Length: 3\r\n",
    "too short": b"HTTP/1.1 200 OK\r\n" + JSON + b"Content-Length: 3\r\n",
    "unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n" + JSON,
    "two ids": b"HTTP/1.1 200 OK\r\n" + 2 * b"X-Runner-Id: i-1\r\n" + LENGTH,
}
SOUND = b"HTTP/1.1 200 OK\r\n" + LENGTH


@attrs.define
class Server:
    """A server that answers each request with the same bytes."""

    answer: bytes = b""
    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = ":".join(map(str, self._server.sockets[0].getsockname()))

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await writer.drain()
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def close(self) -> None:
        self._server.close()


@pytest_asyncio.fixture
async def server() -> AsyncIterator[Server]:
    started = Server()
    await started.start()
    yield started
    await started.close()


async def with_backend_client(call: Callable) -> object:
    client = BackendClient.create()
    try:
        return await call(client)
    finally:
        await client.close()


async def report(address: str) -> object:
    return await with_backend_client(lambda c: c.report(address, "i-1", timeout_s=5.0))


async def health(address: str) -> object:
    return await with_backend_client(
        lambda c: c.check_health(address, "/health", "i-1", timeout_s=5.0)
    )


async def order(address: str) -> object:
    leave = GroupOrder(OrderKind.LEAVE, "g", 1)
    return await with_backend_client(
        lambda c: c.order(address, "i-1", leave, timeout_s=5.0)
    )


async def with_store(address: str, call: Callable) -> object:
    client = StoreClient.from_address(address)
    try:
        return await call(client)
    finally:
        await client.close()


async def read(address: str) -> object:
    return await with_store(address, lambda c: c.read("t", timeout_s=5.0))


async def write(address: str) -> object:
    return await with_store(address, lambda c: c.write({}, {}, timeout_s=5.0))


CODES = {
    report: ResultCode.PROBE_INCONCLUSIVE,
    health: ResultCode.PROBE_INCONCLUSIVE,
    order: ResultCode.WRONG_ANSWER,
    read: ResultCode.STORE_UNAVAILABLE,
    write: ResultCode.STORE_OUTCOME_UNKNOWN,
}


# Guards against a report, an order or an outcome that is believed, and against a sender
# that is taken for ended although it has answered.
@pytest.mark.parametrize("call", CODES, ids=lambda call: call.__name__)
async def test_an_answer_with_an_invalid_head_is_none(server, parser, call) -> None:
    for kind, head in HEADS.items():
        server.answer = head + b"\r\n" + BODY
        got = await call(server.address)
        assert got.is_err(), kind
        assert got.unwrap_err().code is CODES[call], kind
    server.answer = SOUND + b"\r\n" + BODY
    assert (await call(server.address)).is_ok()


@pytest.mark.parametrize("call", [order, write], ids=["order", "write"])
async def test_what_got_an_invalid_head_may_have_happened(server, parser, call) -> None:
    server.answer = HEADS["status 000"] + b"\r\n" + BODY
    got = await call(server.address)
    assert got.unwrap_err().ran is Ran.MAYBE
