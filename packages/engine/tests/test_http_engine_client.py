from __future__ import annotations

import asyncio

import pytest

from fordhatch.core import Ran, ResultCode
from fordhatch.engine import HttpEngineClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok"


class DyingServer:
    """Answers the first request and drops the connection at every later one."""

    def __init__(self) -> None:
        self.requests = 0
        self.address = ""

    async def __aenter__(self) -> DyingServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_) -> None:
        self.server.close()

    async def _serve(self, reader, writer) -> None:
        while await reader.readline():
            while (await reader.readline()).strip():
                pass
            self.requests += 1
            if self.requests > 1:
                break
            writer.write(ANSWER)
        writer.close()


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_call_is_never_sent_a_second_time(method: str) -> None:
    client = HttpEngineClient.from_defaults()
    async with DyingServer() as server:
        first = await client.call(server.address, method, "/", {}, b"", 5.0)
        assert first.unwrap().body == b"ok"
        second = await client.call(server.address, method, "/", {}, b"", 5.0)
        assert second.unwrap_err().ran is Ran.MAYBE
        assert server.requests == 2
    await client.close()


async def test_refused_connection_proves_that_nothing_ran() -> None:
    client = HttpEngineClient.from_defaults()
    failure = (await client.call("127.0.0.1:1", "POST", "/", {}, b"", 5.0)).unwrap_err()
    assert (failure.code, failure.ran) == (ResultCode.BACKEND_LOST, Ran.NO)
    await client.close()
