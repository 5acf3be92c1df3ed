"""Callers that read slowly, or send on, while their node's process stops."""

from __future__ import annotations

import asyncio
import time

from stopping_node import (
    Caller,
    StoppingNode,
    StoppingSite,
    event_chunk,
    request_bytes,
    stream_head,
)

from fordhatch_standins import http_answer

LONG_GRACE_S = 8
READS_AFTER_S = 4.2
"""When such callers begin to read, after the signal: later than an idle node ends."""
RECEIVE_BYTES = 4096
HUGE = 1_000_000
EVENT_BYTES = 1000
IN_THE_PROCESS = 32_000
"""Bytes of an answer that its node still has to hand to the kernel: a write of less
than 64 KB returns at once."""


async def answers_of_a_size(request, writer) -> None:
    size = int(request.target.rpartition("/")[2])
    if not request.target.startswith("/s"):
        writer.write(http_answer(request, b"x" * size))
        return
    writer.write(stream_head(request))
    for number in range(1, size // EVENT_BYTES):
        writer.write(event_chunk(number, EVENT_BYTES))
        await asyncio.sleep(0.002)
    writer.write(b"0\r\n\r\n")


async def full_caller(node: StoppingNode, path: str) -> Caller:
    """Return a caller of whose answer the kernels hold all but a little."""
    probe = await Caller.connect(node, RECEIVE_BYTES)
    await probe.send(request_bytes(f"{path}/{HUGE}", "probe"))
    size = await probe.until_full() + IN_THE_PROCESS
    probe.close()
    caller = await Caller.connect(node, RECEIVE_BYTES)
    await caller.send(request_bytes(f"{path}/{size}", path))
    await caller.until_full()
    return caller


# Guards against the tail of an answer that is lost in the buffer of a process that
# ends: its last byte has been handed to the connection, but not to the kernel.
async def test_a_caller_that_reads_late_gets_its_whole_answer(tmp_path) -> None:
    paths = ("/once", "/stream")
    async with StoppingSite.start(tmp_path) as site:
        await site.add_backend(answers_of_a_size)
        await site.add_backend(answers_of_a_size, "small.1")
        node = await site.add_node(LONG_GRACE_S)
        callers = await asyncio.gather(*(full_caller(node, path) for path in paths))
        node.stop()
        await asyncio.sleep(node.stopped_s + READS_AFTER_S - time.monotonic())
        seen = [(await caller.answer()).seen for caller in callers]
        await node.end()
    assert seen == [(200, "whole"), (200, "whole")], node.about("/once")
