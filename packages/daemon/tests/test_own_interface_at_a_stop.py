"""Requests of fordhatch's own interface at a node that is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
from types import SimpleNamespace

import attrs
import pytest
from in_process_site import API_KEY, InProcessSite, chat_body
from raw_caller import Caller

from fordhatch.chat import ClaimState
from fordhatch.serving import Dispatch
from fordhatch.serving.plain._plain_call import PlainCalls


# Guards against work behind a refused request that is sent afterwards, and against a
# key that is used up by a request that was refused as not run.
@pytest.mark.parametrize("has_times", [False, True])
async def test_what_is_refused_as_not_run_does_not_run_later(
    monkeypatch, has_times
) -> None:
    site = await InProcessSite.start()
    node = site.nodes[0].daemon.node
    node.state.bounds = attrs.evolve(node.state.bounds, grace_s=5.0)
    free = asyncio.Event()
    choose = PlainCalls._next_backend

    async def wait_for_permit(self, call):
        if self is node.path.dispatch.plain:
            await free.wait()
        return await choose(self, call)

    monkeypatch.setattr(PlainCalls, "_next_backend", wait_for_permit)
    asked = asyncio.create_task(site.post_bill("k1"))
    await site.until(lambda: len(site.claims()) == 1)
    await asyncio.sleep(0.1)
    leaving = asyncio.create_task(node.leave(site.nodes[0].server, listen_for_s=1.0))
    answer = await asked
    assert answer.error["ran"] == "no"
    if has_times:
        # As if a request of the same route that was in progress had ended.
        for route in node.view.configuration.current.routes:
            node.state.requests.times.record(route.name, 0.05)
    if has_times:
        free.set()
    await leaving
    await asyncio.sleep(0.3)
    runs = site.plain_runs()
    retry = None
    if not has_times:
        await site.nodes[0].kill()
        retry = await site.post_bill("k1", node=1)
        free.set()
    await site.session.close()
    assert runs == 0
    if retry is not None:
        assert retry.status == 200


# Guards against a stop that ends work which goes on for a retry, with time left.
async def test_a_stop_waits_for_work_whose_caller_has_left() -> None:
    site = await InProcessSite.start()
    node = site.nodes[0].daemon.node
    node.state.bounds = attrs.evolve(node.state.bounds, grace_s=20.0)
    site.plain.work_s = 3.0
    asked = asyncio.create_task(site.post_bill("k1"))
    await site.until(lambda: len(site.claims()) == 1)
    await asyncio.sleep(0.3)
    asked.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asked
    await asyncio.sleep(0.1)
    await node.leave(site.nodes[0].server, listen_for_s=0.5)
    states = [c.state for c in site.claims()]
    await site.session.close()
    assert states == [ClaimState.DONE]


# Guards against a failure behind a complete answer on the same connection.
async def test_a_completion_that_is_being_read_gets_no_second_answer(
    monkeypatch,
) -> None:
    site = await InProcessSite.start()

    async def serve(self, request, reply):
        await reply.begin(200, [])
        reply.pieces.append("x" * 3_000_000)
        await reply.end()

    monkeypatch.setattr(Dispatch, "serve", serve)
    node = site.nodes[0]
    caller = await Caller.connect(SimpleNamespace(address=node.server.address), 4096)
    body = chat_body("a")
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x"]
    lines += [f"Authorization: Bearer {API_KEY}", f"Content-Length: {len(body)}"]
    await caller.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await asyncio.sleep(1.0)
    requests = node.daemon.node.state.requests
    requests.end_all()
    await asyncio.sleep(0.05)
    got = b""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(15):
            while piece := await loop.sock_recv(caller.connection, 65536):
                got += piece
    except (TimeoutError, ConnectionError):
        await site.session.close()
    assert got.count(b"HTTP/1.1 ") == 1
