"""Answers of backend servers and of the store that never end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
import pytest
import pytest_asyncio

from fordhatch.adapter import BackendClient, GroupOrder, OrderKind, StoreClient
from fordhatch.adapter import _bounded_http as bounded_http
from fordhatch.adapter import _store as store
from fordhatch.core import ResultCode

JSON = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = JSON + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "line": (JSON + b"X-Long: ", b"x"),
    "fields": (JSON, b"X-Field: value\r\n"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Field: value\r\n"),
}
BODIES = {
    "body": (JSON + b"\r\n", b" "),
    "failed": (b"HTTP/1.1 503 X\r\n\r\n", b" "),
    "extension": (CHUNKED + b"1;", b"x"),
    "chunks": (CHUNKED, b"1000\r\n" + 4096 * b" " + b"\r\n"),
}
IN_BUFFERS_BYTES = 8 * 2**20
"""Bytes that may be in buffers of the kernel and of both ends on loopback."""


@attrs.define
class Endless:
    """A server that writes a beginning, and then repeats something until it is left."""

    beginning: bytes = b""
    repeated: bytes = b""
    sent_bytes: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _left: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = ":".join(map(str, self._server.sockets[0].getsockname()))

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        piece = self.repeated * (64 * 1024 // len(self.repeated))
        writer.write(self.beginning)
        try:
            while self.sent_bytes < 4 * IN_BUFFERS_BYTES:
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
            await reader.read()
            self._left.set()
        except (ConnectionError, asyncio.CancelledError):
            self._left.set()
        finally:
            writer.close()

    async def until_left(self) -> None:
        """Wait until the client has closed its connection."""
        async with asyncio.timeout(10):
            await self._left.wait()

    async def close(self) -> None:
        self._server.close()


@pytest_asyncio.fixture
async def endless() -> AsyncIterator[Endless]:
    server = Endless()
    await server.start()
    yield server
    await server.close()


async def report(address: str) -> object:
    client = BackendClient.create()
    try:
        return await client.report(address, "i-1", timeout_s=30.0)
    finally:
        await client.close()


async def order(address: str) -> object:
    client = BackendClient.create()
    try:
        leave = GroupOrder(OrderKind.LEAVE, "g", 1)
        return await client.order(address, "i-1", leave, timeout_s=30.0)
    finally:
        await client.close()


async def read(address: str) -> object:
    client = StoreClient.from_address(address)
    try:
        return await client.read("t", timeout_s=30.0)
    finally:
        await client.close()


CODES = {
    report: ResultCode.PROBE_INCONCLUSIVE,
    order: ResultCode.WRONG_ANSWER,
    read: ResultCode.STORE_UNAVAILABLE,
}


# Guards against a client that reads, or holds, without end until it is out of time, and
# against a sender that is taken for ended although it has answered.
@pytest.mark.parametrize("call", [report, order, read])
@pytest.mark.parametrize("kind", HEADS)
async def test_a_head_without_end_ends_its_connection(
    endless: Endless, call: Callable, kind: str
) -> None:
    endless.beginning, endless.repeated = HEADS[kind]
    got = await call(endless.address)
    await endless.until_left()
    assert got.unwrap_err().code is CODES[call]
    assert endless.sent_bytes < bounded_http.MAX_HEAD_BYTES + IN_BUFFERS_BYTES


# Guards against a client that holds a body without end. A long answer is still an
# answer: its status and its headers count.
@pytest.mark.parametrize("call", [report, order, read])
@pytest.mark.parametrize("kind", BODIES)
async def test_a_body_without_end_ends_its_connection(
    endless: Endless, call: Callable, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store, "MAX_ANSWER_BYTES", 64 * 1024)
    endless.beginning, endless.repeated = BODIES[kind]
    got = await call(endless.address)
    await endless.until_left()
    assert got.is_ok() == (call is not read)
    assert endless.sent_bytes < IN_BUFFERS_BYTES


# Guards against short enough answers that are too much together.
async def test_answers_of_the_store_share_what_may_be_held(
    endless: Endless, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store, "MAX_ANSWERS_BYTES", 64 * 1024)
    endless.beginning, endless.repeated = BODIES["body"]
    assert (await read(endless.address)).is_err()
    await endless.until_left()
