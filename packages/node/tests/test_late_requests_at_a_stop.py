"""Requests that come late in the grace period of a node's process, in calm."""

from __future__ import annotations

import asyncio
import time

import pytest
from raw_caller import Answer, Caller, request_bytes
from stopping_node import GRACE_S, StoppingNode, StoppingSite
from test_answers_at_a_stop import outcome

from fordhatch_standins import http_answer

INTERVAL_S = 0.1
USUAL = {"/once/1": 0.4, "/long/1": 1.6, "/twice/1": 30.0}
"""Time of an answer by route, in seconds; the last one outlasts the grace period."""


async def answers_after_a_while(request, writer) -> None:
    path, _, _ = request.target.partition("?")
    await asyncio.sleep(USUAL[path])
    writer.write(http_answer(request, b"whole body"))


async def ask_until_the_end(
    node: StoppingNode, path: str, is_kept: bool, sent_s: dict[str, float]
) -> dict[str, Answer]:
    """Send requests at an interval until the process is gone; returns the answers."""
    kept = [await Caller.connect(node) for _ in range(50)] if is_kept else []
    asked: dict[str, asyncio.Task[Answer]] = {}

    async def ask(name: str) -> Answer:
        try:
            caller = kept.pop() if is_kept else await Caller.connect(node)
        except ConnectionError:
            return Answer(0, {}, b"", "refused")
        await caller.send(request_bytes(path, name))
        try:
            return await caller.answer()
        finally:
            caller.close()

    while node.process.returncode is None and len(asked) < 50:
        name = f"{path.strip('/').replace('/', '-')}-{is_kept}-{len(asked)}"
        sent_s[name] = time.monotonic()
        asked[name] = asyncio.create_task(ask(name))
        await asyncio.sleep(INTERVAL_S)
    return {name: await task for name, task in asked.items()}


# Guards against a request that a leaving node passes on though it can't be finished,
# and cuts at its end.
@pytest.mark.parametrize("path", USUAL)
async def test_a_late_request_is_finished_or_refused_as_not_run(tmp_path, path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        backend = await site.add_backend(answers_after_a_while)
        node = await site.add_node()
        if USUAL[path] < GRACE_S:
            first = await Caller.connect(node)
            assert (await first.ask(path, "first")).status == 200
        sent_s: dict[str, float] = {}
        asking = [
            asyncio.create_task(ask_until_the_end(node, path, is_kept, sent_s))
            for is_kept in (False, True)
        ]
        await asyncio.sleep(0.2)
        node.stop()
        await node.until_logged("node_leaving")
        leaving_s = time.monotonic()
        got = {
            k: a for found in await asyncio.gather(*asking) for k, a in found.items()
        }
        await node.end()
    run = {request.request_id for request in backend.seen}
    ends = {name: outcome(answer) for name, answer in got.items()}
    assert {ends[n] for n in run & ends.keys()} <= {"whole", "may have run"}, ends
    # What a leaving node gets and can't finish has not run.
    may_have_run = [n for n in run & ends.keys() if ends[n] == "may have run"]
    assert all(sent_s[n] <= leaving_s for n in may_have_run), ends
    not_answered = [n for n in ends if got[n].end == "reset"]
    assert not_answered == []
