"""A stop while a caller keeps the connection of its last answer open."""

from __future__ import annotations

import asyncio

from raw_caller import Caller
from stopping_node import StoppingSite
from test_plain_calls import answers


# Guards against components that are not closed because a caller keeps a connection.
async def test_a_kept_connection_does_not_keep_components_from_closing(
    tmp_path,
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        await site.add_backend(answers)
        node = await site.add_node(grace_s=6)
        warm = await Caller.connect(node)
        assert (await warm.ask("/once/1", "r0")).status == 200
        caller = await Caller.connect(node)
        node.stop()
        await asyncio.sleep(2.75)
        assert (await caller.ask("/once/1", "r1")).end == "whole"
        await node.end()
        events = [x for x in node.lines if "event=node_" in x or "cut_short" in x]
        assert not any("close_cut_short" in x for x in events)
