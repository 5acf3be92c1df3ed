"""Answers in chunks that a backend server continues with something else."""

from __future__ import annotations

import asyncio

import pytest
from raw_caller import Caller, stream_head
from test_stream_calls import ALL, chunk, events, streams
from test_unexpected_ends import about, log

__all__ = ["log"]

NO_CHUNK = b"zz\r\nno chunk\r\n"
PAUSE_S = 0.05


def continues(first: bytes, rest: bytes):
    """Return a script that sends two parts of a body, and then no chunk."""

    async def script(request, writer) -> None:
        writer.write(stream_head(request) + chunk(first))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.write((chunk(rest) if rest else b"") + NO_CHUNK)
        await writer.drain()
        await asyncio.sleep(60)

    return script


PLACES = {"alone": False, "behind a chunk": True}
"""Where the malformed chunk is: while the node waits, or behind what it waits for."""


# Guards against an error of the HTTP library that ends a stream without a line, and
# against a wait until the deadline for bytes that the library does not read any more.
@pytest.mark.parametrize("place", PLACES)
async def test_a_stream_resumes_after_a_malformed_chunk(site, log, place) -> None:
    rest = events(3, 3) if PLACES[place] else b""
    script = continues(events(1, 2), rest)
    bad = await site.add_backend(script, group="small.1", zone="z1")
    await site.add_backend(streams, group="small.2", zone="z2")
    caller = await Caller.connect(site)
    answer = await caller.ask("/stream/1", "r1", **{"X-Deadline-Ms": "900"})
    caller.close()
    assert (answer.seen, answer.body) == ((200, "whole"), ALL), about(log, "r1")
    assert len(bad.seen) == 1


# Guards against the same in a plain answer.
@pytest.mark.parametrize("place", PLACES)
async def test_a_plain_answer_with_a_malformed_chunk_is_a_failure(
    site, log, place
) -> None:
    await site.add_backend(continues(b"a quarter", b"half" if PLACES[place] else b""))
    caller = await Caller.connect(site)
    answer = await caller.ask("/once/1", "r1", **{"X-Deadline-Ms": "900"})
    caller.close()
    assert answer.seen == (502, "whole"), about(log, "r1")
