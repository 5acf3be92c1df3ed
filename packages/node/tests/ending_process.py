"""A process that ends as a node's does, in the way that its argument names."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from types import SimpleNamespace

from fordhatch.core import MemoryAccount, Timer, log_event
from fordhatch.node import ProcessEnd, run_logged
from fordhatch.serving import AcceptedRequest, RequestsInProgress, StopPlan

GRACE_S = 4.0
LINES = 3000
"""More than a pipe holds."""


async def stubborn() -> None:
    """Swallow every cancellation."""
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(60)


def stopping_state(in_progress: str = "") -> SimpleNamespace:
    """Return the state of a node that got its signal now."""
    timer = Timer()
    requests = RequestsInProgress(timer, lambda: 1, MemoryAccount(timer))
    if in_progress:
        writer = SimpleNamespace(output_size=0)
        http_request = SimpleNamespace(writer=writer, transport=None)
        reply = SimpleNamespace(is_over=False, is_whole=False, outcome="")
        accepted = AcceptedRequest(in_progress, http_request, reply, timer.now_s())
        requests._accepted.add(accepted)
        requests.accepted_count += 1
    now_s = time.monotonic()
    plan = StopPlan.from_grace(now_s, now_s, GRACE_S, 0.0)
    return SimpleNamespace(timer=timer, requests=requests, stop=plan)


async def raises(end: ProcessEnd) -> None:
    """Raise while a task goes on that can't be cancelled."""
    task = asyncio.ensure_future(stubborn())
    await asyncio.sleep(0.05)
    assert not task.done()
    raise OSError("address in use")


async def stands_still(end: ProcessEnd) -> None:
    """Let the event loop stand still with a request in progress."""
    state = stopping_state(in_progress="r1")
    end.limit(state, state.stop)
    log_event("listening")
    while True:
        pass


async def writes_much(end: ProcessEnd) -> None:
    """Write more lines with which requests end than the pipe takes."""
    state = stopping_state()
    end.limit(state, state.stop)
    for number in range(LINES):
        log_event("request_done", request=f"r{number}")


async def closes_slowly(end: ProcessEnd) -> None:
    """Close a component that does not close."""
    state = stopping_state()
    end.limit(state, state.stop)
    await end.close(state, stubborn)


if __name__ == "__main__":
    ways = (raises, stands_still, writes_much, closes_slowly)
    run_logged("n1", {way.__name__: way for way in ways}[sys.argv[1]])
