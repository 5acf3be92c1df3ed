"""Requests on kept connections that arrive while the listener closes."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web
from raw_caller import Caller, request_bytes, streams

from fordhatch_standins import http_answer


async def answers(request, writer) -> None:
    writer.write(http_answer(request, b"whole"))


@pytest.fixture
def bytes_read(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """What the listener has read of its connections."""
    read: list[bytes] = []
    receive = web.RequestHandler.data_received

    def record(handler: web.RequestHandler, data: bytes) -> None:
        read.append(data)
        receive(handler, data)

    monkeypatch.setattr(web.RequestHandler, "data_received", record)
    return read


# Guards against a request that is read and neither answered nor passed on: its caller
# can't know whether it has run.
@pytest.mark.parametrize("path", ["/once/1", "/stream/1"])
@pytest.mark.parametrize("after_s", [0.0, 0.03, 0.08])
async def test_a_request_while_the_listener_closes_is_refused_or_not_read(
    site, bytes_read, path, after_s
) -> None:
    plain = await site.add_backend(answers)
    head = await site.add_backend(streams(3, 0.0), group="small.1")
    caller = await Caller.connect(site)
    assert (await caller.ask(path, "r1")).seen == (200, "whole")
    site.state.leave(since_s=site.state.timer.now_s() - 3.1)
    closing = asyncio.create_task(site.server.close())
    await asyncio.sleep(after_s)
    if not caller.is_closed():
        await caller.send(request_bytes(path, "r2"))
        answer = await caller.answer()
        was_read = b"r2" in b"".join(bytes_read)
        assert answer.seen == (503, "whole") if was_read else answer.status == 0
    await closing
    assert len(plain.seen) + len(head.seen) == 1
