"""Callers whose heads and bodies never end."""

from __future__ import annotations

import asyncio

import pytest
from serving_site import CALL_HEADERS, configuration
from test_plain_calls import answers

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.serving import HttpServer

HEAD = "".join(f"{name}: {value}\r\n" for name, value in CALL_HEADERS.items())
HEAD = f"POST /once/1 HTTP/1.1\r\n{HEAD}X-Attempt-Id: r1\r\n"
STARTS = {
    "nothing": "",
    "head": HEAD + "X-Slow: ",
    "length": HEAD + "Content-Length: 1000\r\n\r\n",
    "chunks": HEAD + "Transfer-Encoding: chunked\r\n\r\n",
}


async def trickle(reader, writer, unit: bytes) -> bytes:
    """Write a unit at a time until the other end answers or closes."""
    received = asyncio.ensure_future(reader.read(4096))
    while not received.done():
        writer.write(unit)
        await asyncio.wait([received], timeout=0.02)
    writer.close()
    try:
        return await received
    except ConnectionResetError:
        # Bytes of a head were on their way when the connection was closed.
        return b""


# Guards against callers that hold connections, and requests in progress, without end.
@pytest.mark.parametrize("kind", STARTS)
async def test_a_request_that_never_ends_is_ended(site, kind, monkeypatch) -> None:
    monkeypatch.setattr("fordhatch.serving._caller_connection.KEEP_ALIVE_S", 0.3)
    backend = await site.add_backend(answers)
    server = await HttpServer.listen(
        "127.0.0.1:0", site.callers.handle, None, lambda: 0.3
    )
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(STARTS[kind].replace("3000", "300").encode())
    unit = {"nothing": b"", "chunks": b"1\r\nx\r\n"}.get(kind, b"x")
    async with asyncio.timeout(30):
        got = await trickle(reader, writer, unit)
    await server.close()
    has_head = kind in ("length", "chunks")
    assert got.startswith(b"HTTP/1.1 504") == has_head
    assert (b'"ran": "no"' in got) == has_head
    assert backend.seen == []


# Guards against a bound that counts the time of an answer, or an idle connection.
async def test_a_kept_connection_serves_slow_requests(site) -> None:
    async def slowly(request, writer) -> None:
        await asyncio.sleep(0.4)
        await answers(request, writer)

    await site.add_backend(slowly)
    server = await HttpServer.listen(
        "127.0.0.1:0", site.callers.handle, None, lambda: 0.2
    )
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for _ in range(2):
        writer.write((HEAD + "Content-Length: 2\r\n\r\n").encode() + b"a")
        await asyncio.sleep(0.3)
        writer.write(b"b")
        assert (await reader.readuntil(b"whole body")).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.3)
    writer.close()
    await server.close()


async def test_the_configuration_names_the_time_of_a_head(site) -> None:
    limits = {"max-body-bytes": 100_000, "header-timeout-ms": 500}
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(2, limits=limits))
    await site.until(lambda: site.callers.admission.head_timeout_s() == 0.5)


# Guards against bodies that are each short enough, and too much together.
async def test_long_bodies_are_refused_while_others_take_the_memory(site) -> None:
    site.state.memory.capacity_bytes = 150_000
    may_end = asyncio.Event()

    async def waits(request, writer) -> None:
        await may_end.wait()
        await answers(request, writer)

    backend = await site.add_backend(waits)
    long, short = bytes(90_000), bytes(1_000)
    first = asyncio.create_task(site.ask("/once/1", body=long))
    await site.until(lambda: backend.seen)
    refused = await site.ask("/once/1", body=long)
    assert (refused.status, b'"ran": "no"' in refused.body) == (503, True)
    second = asyncio.create_task(site.ask("/once/1", body=short))
    await site.until(lambda: len(backend.seen) == 2)
    may_end.set()
    assert [(await first).status, (await second).status] == [200, 200]
    assert (await site.ask("/once/1", body=long)).status == 200
