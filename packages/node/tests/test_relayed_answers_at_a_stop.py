"""Streams through a node in touch that is stopped."""

from __future__ import annotations

import asyncio

from raw_caller import Caller, request_bytes, streams, until
from stopping_node import StoppingSite


async def lasts_as_the_path_says(request, writer) -> None:
    await streams(10 if "short" in request.target else 600, 0.05)(request, writer)


# Guards against a stream that ends at the stop of the node in between, which no line of
# that node's log names.
async def test_streams_through_a_node_that_stops_are_whole_or_logged(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        head = await site.add_backend(lasts_as_the_path_says, "small.1")
        in_touch = await site.add_node()
        cut_off = await site.add_node(cut_from=head)
        callers = {name: await Caller.connect(cut_off) for name in ("short", "long")}
        number = 0
        while (await callers["short"].ask("/stream/short", f"w{number}")).status != 200:
            number += 1
            await asyncio.sleep(0.05)
        for name, caller in callers.items():
            await caller.send(request_bytes(f"/stream/{name}", name))
            await caller.begun(b"id: 2\n")
        in_touch.stop()
        ends = [(await caller.answer()).is_whole for caller in callers.values()]
        await in_touch.end()
        await until(lambda: cut_off.end_lines("long"))
        found = len(in_touch.stop_lines("long")), len(cut_off.end_lines("long"))
    assert ends == [True, False]
    assert found == (1, 1), (in_touch.about("long"), cut_off.about("long"))
