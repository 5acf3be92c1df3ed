from __future__ import annotations

import asyncio

from fordhatch.core import TaskSet


async def test_a_task_that_misses_a_cancellation_is_cancelled_again() -> None:
    async def ignore_first_cancellation() -> None:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            await asyncio.sleep(3600)

    tasks = TaskSet()
    task = tasks.spawn(ignore_first_cancellation(), "stubborn")
    await asyncio.sleep(0)
    async with asyncio.timeout(20):
        await tasks.close()
    assert task.done()
