"""A server that sends the same answer to everyone, and calls of all clients to it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable

import attrs
import pytest_asyncio

from fordhatch.adapter import (
    BackendClient,
    GroupOrder,
    OrderKind,
    StoreClient,
    StoreVersion,
)


@attrs.define
class Server:
    """A server that answers each request with the same bytes."""

    answer: bytes = b""
    closes: bool = False
    """Whether it ends its connections itself."""
    resets_after_s: float | None = None
    """Time after which it resets them; None if it doesn't."""
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
            if self.resets_after_s is not None:
                await asyncio.sleep(self.resets_after_s)
                reset = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
                writer.transport.abort()
            elif not self.closes:
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


async def watch(address: str) -> object:
    after = StoreVersion(0, 1)
    return await with_store(
        address, lambda c: c.watch("t", after, wait_s=0.0, timeout_s=5.0)
    )
