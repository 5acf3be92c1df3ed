"""Answers of a node's process that is stopped: whole, refused or named in its log."""

from __future__ import annotations

import asyncio
import json

from stopping_node import (
    Answer,
    Caller,
    StoppingSite,
    streams,
)


def outcome(answer: Answer) -> str:
    """Return how an answer ended, for a failure whether its request may have run."""
    if answer.status < 500 or answer.end != "whole":
        return f"{answer.status} {answer.end}"
    has_not_run = json.loads(answer.body)["error"]["ran"] == "no"
    return "not run" if answer.status == 503 and has_not_run else "may have run"


# Guards against a stream that a leaving node takes on and can't finish.
async def test_a_stream_that_outlasts_the_stop_is_refused_as_not_run(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        head = await site.add_backend(streams(30, 0.1), "small.1")
        node = await site.add_node()
        callers = [await Caller.connect(node) for _ in range(4)]
        asked = [c.ask("/stream/1", f"r{n}") for n, c in enumerate(callers)]
        assert {a.seen for a in await asyncio.gather(*asked)} == {(200, "whole")}
        node.stop()
        await node.until_logged("node_leaving")
        await asyncio.sleep(1.5)
        answer = await callers[0].ask("/stream/1", "late")
        await node.end()
    assert outcome(answer) == "not run", node.about("late")
    assert "late" not in [r.request_id for r in head.seen]
