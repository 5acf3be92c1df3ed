"""Requests on kept connections that arrive while the listener closes."""

from __future__ import annotations

import asyncio
import time

import pytest
from aiohttp import web
from raw_caller import Caller, request_bytes, streams

from fordhatch.serving._caller_writes import LINGER_S
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


# Guards against a close that waits for callers without a limit.
async def test_a_close_does_not_wait_for_callers_that_keep_the_connection(site) -> None:
    await site.add_backend(answers)
    site.state.leave()
    caller = await Caller.connect(site)
    asked = await caller.ask("/once/1", "r1", Connection="close")
    assert asked.end == "whole"
    began = time.monotonic()
    await site.server.close()
    took_s = time.monotonic() - began
    assert took_s < LINGER_S
