"""Connections of callers while their node's process stops."""

from __future__ import annotations

import asyncio
import signal

import pytest
from raw_caller import Answer, Caller, request_bytes, streams
from stopping_node import StoppingNode, StoppingSite, parse_line
from test_plain_calls import answers

GRACE_S = 8
STOPPED_AT_S = 2.9
"""When the process is paused, after the signal: it still accepts connections."""
PAUSE_S = 0.6
"""How long: until it accepts none any more."""
CALLERS = 4


async def ask_while_paused(node: StoppingNode, kept: list[Caller]) -> list[Answer]:
    """Send requests on kept and on new connections while the process is paused."""
    node.process.send_signal(signal.SIGSTOP)
    new = [await Caller.connect(node) for _ in range(CALLERS)]
    callers = [*kept, *new]
    for number, caller in enumerate(callers):
        await caller.send(request_bytes("/once/1", f"late{number}"))
    await asyncio.sleep(PAUSE_S)
    node.process.send_signal(signal.SIGCONT)
    return await asyncio.gather(*(caller.answer() for caller in callers))


# Guards against connections that are reset, with the requests that came on them, since
# the process gets to them after the time at which it stops listening.
async def test_what_waits_when_a_node_stops_listening_is_answered(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        await site.add_backend(answers)
        node = await site.add_node(GRACE_S)
        kept = [await Caller.connect(node) for _ in range(CALLERS)]
        for number, caller in enumerate(kept):
            assert (await caller.ask("/once/1", f"first{number}")).status == 200
        node.stop()
        await asyncio.sleep(STOPPED_AT_S)
        seen = await ask_while_paused(node, kept)
        took_s = await node.end()
    assert [a.end for a in seen] == 2 * CALLERS * ["whole"], seen
    assert {a.headers.get("connection") for a in seen} == {"close"}
    assert all(node.end_lines(f"late{n}") for n in range(2 * CALLERS))
    last = parse_line(node.lines[-1])
    counts = [last[x] for x in ("accepted", "ended", "required_lines")]
    assert (last["event"], counts) == ("node_stopped", 3 * [str(3 * CALLERS)])
    assert took_s < GRACE_S


# Guards against kept connections that are closed only with their process, so that a
# request that crosses the close is reset; and against a stop that waits for them.
@pytest.mark.parametrize("has_asked", [True, False])
async def test_an_idle_connection_is_closed_before_the_process_ends(
    tmp_path, has_asked: bool
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        head = await site.add_backend(answers)
        node = await site.add_node(GRACE_S)
        idle = await Caller.connect(node)
        if has_asked:
            assert (await idle.ask("/once/1", "first")).status == 200
        node.stop()
        await asyncio.sleep(0.5)
        assert not idle.is_closed()
        ended = await idle.answer()
        was_there = node.process.returncode is None
        took_s = await node.end()
    assert ended.end == "closed"
    assert was_there
    assert took_s < GRACE_S / 2
    assert len(head.seen) == has_asked


# Guards against a kept connection that ends, where a request on it could still be
# refused as not run: the process is there for other requests.
async def test_a_kept_connection_is_answered_as_long_as_requests_go_on(
    tmp_path,
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        await site.add_backend(answers)
        await site.add_backend(streams(600, 0.05), "small.1")
        node = await site.add_node(GRACE_S)
        kept, streamed = [await Caller.connect(node) for _ in range(2)]
        assert (await kept.ask("/once/1", "first")).status == 200
        await streamed.send(request_bytes("/stream/1", "stream"))
        await streamed.begun(b"id: 2\n")
        node.stop()
        await asyncio.sleep(STOPPED_AT_S + PAUSE_S)
        late = await kept.ask("/once/1", "late")
        await node.end()
    assert late.seen == (503, "whole")
