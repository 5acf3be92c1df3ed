"""Streams whose run sends nothing for a while, at a node that has been told to stop."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from raw_caller import Caller
from silent_heads import WHOLE, SilentRuns, seen, told
from stopping_node import StoppingNode, StoppingSite

OK = 200

SILENCES_S = (0.6, 1.2)
"""Longer than a node waits before it begins a second run; the rest of the stream still
fits into the grace period."""


# Guards against a sound run that is given up at a stop, which then refuses to begin
# another: the caller's stream is cut with seconds left.
@pytest.mark.parametrize("silence_s", SILENCES_S)
async def test_a_stream_that_pauses_during_a_stop_is_whole(tmp_path, silence_s) -> None:
    async with StoppingSite.start(tmp_path) as site:
        runs = await SilentRuns.start(site)
        await runs.earn_retries()
        caller, request_id = await runs.begin()
        runs.node.stop()
        await runs.go_on_after(silence_s)
        answer = await caller.answer()
        await runs.node.end()
        lines = await told(runs.node, request_id)
    assert seen(answer) == WHOLE, lines
    assert runs.node.process.returncode == 0


@contextlib.asynccontextmanager
async def site_with_ports_beside_the_store(folder: Path):
    """Start a site whose backend servers' links can be cut without the store's."""
    while True:
        async with StoppingSite.start(folder) as site:
            runs = await SilentRuns.start(site)
            ports = sorted(map(int, site.ports.values()))
            if not ports[0] < site.store_port < ports[1]:
                yield site, runs
                return


# Guards against the same on both sides of a stream that another node relays.
@pytest.mark.parametrize("stops", ["caller's node", "relaying node"])
async def test_a_relayed_stream_that_pauses_during_a_stop_is_whole(
    tmp_path, stops
) -> None:
    async with site_with_ports_beside_the_store(tmp_path) as (site, runs):
        cut_off = await site.add_node(cut_from=(runs.silent, runs.other))
        await until_relayed(cut_off)
        await runs.earn_retries(cut_off)
        caller, request_id = await runs.begin(cut_off)
        stopping = cut_off if stops == "caller's node" else runs.node
        stopping.stop()
        await runs.go_on_after(SILENCES_S[0])
        answer = await caller.answer()
        lines = await told(cut_off, request_id) + await told(runs.node, request_id)
    assert seen(answer) == WHOLE, lines


async def until_relayed(node: StoppingNode) -> None:
    """Wait until requests reach the backend servers through another node."""
    caller = await Caller.connect(node)
    number = 0
    while (await caller.ask("/single/1", f"w{number}")).status != OK:
        number += 1
        await asyncio.sleep(0.05)
    caller.close()
