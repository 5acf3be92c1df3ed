"""Streams whose run sends nothing more, at a node that has been told to stop.

Whole answers take as long as is left of the grace period; what these streams lack is
shorter.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

import pytest
from raw_caller import Caller, event_chunk, request_bytes, stream_head, streams
from silent_heads import (
    earn_retries,
    is_short,
    seen,
    send_end,
    send_one_event,
    told,
)
from stopping_node import StoppingNode, StoppingSite
from test_silent_runs_at_a_stop import until_relayed

LONG_GRACE_S = 8
EVENTS = 100
INTERVAL_S = 0.08
"""With it, a whole answer takes 8 s: longer than the grace period has left for it."""

CHANGED_AFTER = 50

GROUPS = ("small.1", "small.2")
REQUEST_ID = "changed-stream"

WHOLE = (200, "whole", list(range(1, EVENTS + 1)))


class Heads:
    """Scripts of heads whose first runs can be told to change after some events."""

    def __init__(self, *, then_ends: bool) -> None:
        """Send whole streams at first.

        Args:
            then_ends: Whether a changed run sends its second half at once; otherwise it
                sends nothing more.
        """
        self.is_changed = False
        self.then_ends = then_ends

    async def serve(self, request: object, writer: asyncio.StreamWriter) -> None:
        """Send a stream, or what the caller doesn't have of it."""
        if is_short(request):
            await send_one_event(request, writer)
        elif self.is_changed and "last-event-id" not in request.headers:
            await self._serve_changed(request, writer)
        else:
            await streams(EVENTS, INTERVAL_S)(request, writer)

    async def _serve_changed(
        self, request: object, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request))
        for number in range(1, CHANGED_AFTER + 1):
            writer.write(event_chunk(number))
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        if not self.then_ends:
            await asyncio.Event().wait()
        for number in range(CHANGED_AFTER + 1, EVENTS + 1):
            writer.write(event_chunk(number))
        await send_end(writer)


@contextlib.asynccontextmanager
async def site_of(folder: Path, heads: Heads):
    """Start a site with two heads, whose links can be cut without the store's."""
    while True:
        async with StoppingSite.start(folder) as site:
            scripted = [await site.add_backend(heads.serve, g) for g in GROUPS]
            ports = sorted(map(int, site.ports.values()))
            if not ports[0] < site.store_port < ports[1]:
                yield site, tuple(scripted)
                return


async def learn(node: StoppingNode) -> None:
    """Let a node see how long a whole answer takes, and earn retries.

    What it has earned is lost after some seconds.
    """
    caller = await Caller.connect(node)
    assert (await caller.ask("/stream/1", "first")).is_whole
    caller.close()
    await earn_retries(node, "/single/1")


async def begin(node: StoppingNode) -> Caller:
    """Begin a stream and read its events until shortly before its run changes."""
    caller = await Caller.connect(node)
    await caller.send(request_bytes("/stream/1", REQUEST_ID))
    await caller.begun(b"id: %d\n" % (CHANGED_AFTER - 5))
    return caller


# Guards against a stream that is cut with seconds left, since another attempt is taken
# to need the time of a whole answer, and not that of the rest.
async def test_the_rest_of_a_stalled_stream_comes_from_another_group(tmp_path) -> None:
    heads = Heads(then_ends=False)
    async with site_of(tmp_path, heads) as (site, _):
        node = await site.add_node(LONG_GRACE_S)
        await learn(node)
        heads.is_changed = True
        caller = await begin(node)
        node.stop()
        answer = await caller.answer()
        await node.end()
        lines = await told(node, REQUEST_ID)
    assert seen(answer) == WHOLE, lines


# Guards against the same where the node in between stands still, with the rest of the
# answer in its kernel.
@pytest.mark.parametrize("stands_still_s", [1.0, 10.0])
async def test_what_a_relaying_node_holds_costs_no_stream(
    tmp_path, stands_still_s
) -> None:
    heads = Heads(then_ends=True)
    async with site_of(tmp_path, heads) as (site, cut_from):
        in_touch = [await site.add_node(LONG_GRACE_S) for _ in range(2)]
        node = await site.add_node(LONG_GRACE_S, cut_from=cut_from)
        await until_relayed(node)
        await learn(node)
        heads.is_changed = True
        caller = await begin(node)
        node.stop()
        relaying = next(n for n in in_touch if n.about(REQUEST_ID)).process
        relaying.send_signal(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(stands_still_s, relaying.send_signal, signal.SIGCONT)
        answer = await caller.answer()
        await node.end()
        lines = await told(node, REQUEST_ID)
    assert seen(answer) == WHOLE, lines
