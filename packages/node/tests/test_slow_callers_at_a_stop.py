"""Callers that read slowly, or send on, while their node's process stops."""

from __future__ import annotations

import asyncio

from raw_caller import RECEIVE_BYTES, Caller, answers_of_a_size, request_bytes
from stopping_node import StoppingNode, StoppingSite

LONG_GRACE_S = 8
READS_AFTER_S = 5.0
"""When such callers read, after the signal, unless the process has ended before."""
PAUSE_S = 0.2
"""How long a caller does not read after it has sent its next request."""

SETTLES_S = 0.5
FIRST_SIZE = 90_000
KERNEL_SIZE = 50_000
"""Size of an answer that the kernels hold, but not the caller's alone."""

MIN_LEFT = 8_000
MAX_LEFT = 24_000
"""Bytes of an answer that its node still has to hand to the kernel. A write returns at
once until 64 KB wait, and the kernel takes up to 20 KB more while the answer comes."""


async def full_caller(node: StoppingNode, path: str) -> Caller:
    """Return a caller of whose answer the kernels hold all but a little."""
    size = FIRST_SIZE
    while True:
        caller = await Caller.connect(node, RECEIVE_BYTES)
        await caller.send(request_bytes(f"{path}/{size}", path))
        held = await caller.until_full()
        if MIN_LEFT < size - held < MAX_LEFT:
            # What a busy machine delays is still on its way.
            await asyncio.sleep(SETTLES_S)
            held = await caller.until_full()
        if MIN_LEFT < size - held < MAX_LEFT:
            return caller
        caller.close()
        size = held + (MIN_LEFT + MAX_LEFT) // 2


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
        await node.end_within(READS_AFTER_S)
        seen = [(await caller.answer()).seen for caller in callers]
        await node.end()
    assert seen == [(200, "whole"), (200, "whole")], node.lines[-3:]


# Guards against the tail of an answer that the kernel holds when the process ends: it
# resets a connection on which the caller sends its next request, and drops the rest.
async def test_a_next_request_after_the_end_does_not_cost_the_answer_before(
    tmp_path,
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        await site.add_backend(answers_of_a_size)
        node = await site.add_node(LONG_GRACE_S)
        caller = await Caller.connect(node, RECEIVE_BYTES)
        await caller.send(request_bytes(f"/once/{KERNEL_SIZE}", "first"))
        await caller.until_full()
        node.stop()
        await node.end_within(READS_AFTER_S)
        await caller.send(request_bytes(f"/once/{KERNEL_SIZE}", "next"))
        await asyncio.sleep(PAUSE_S)
        answer = await caller.answer()
        await node.end()
    assert answer.seen == (200, "whole"), (len(answer.body), node.about("first"))
