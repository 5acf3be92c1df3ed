"""Limit on the calls in progress."""

from __future__ import annotations

import asyncio

from fordhatch.core import CallLimiter


async def test_calls_beyond_the_limit_wait_in_order() -> None:
    limiter = CallLimiter(2)
    running: list[int] = []
    finish = [asyncio.Event() for _ in range(4)]

    async def call(number: int) -> None:
        async with limiter.slot():
            running.append(number)
            await finish[number].wait()

    calls = [asyncio.ensure_future(call(n)) for n in range(4)]
    await asyncio.sleep(0)
    assert running == [0, 1]
    finish[1].set()
    await asyncio.sleep(0.01)
    assert running == [0, 1, 2]
    for event in finish:
        event.set()
    await asyncio.gather(*calls)
    assert running == [0, 1, 2, 3]


async def test_a_cancelled_call_gives_its_turn_back() -> None:
    limiter = CallLimiter(1)

    async def call() -> None:
        async with limiter.slot():
            await asyncio.sleep(60.0)

    first, second = (asyncio.ensure_future(call()) for _ in range(2))
    await asyncio.sleep(0)
    for task in (second, first):
        task.cancel()
    await asyncio.gather(first, second, return_exceptions=True)
    async with asyncio.timeout(1.0), limiter.slot():
        pass
