"""Chat completions whose run sends nothing for a while, at a daemon that stops."""

from __future__ import annotations

import asyncio
import json
import signal
from types import SimpleNamespace

import pytest
from fleet import API_KEY, Fleet, NodeProcess, declared_state
from raw_caller import Caller

TIMING = {"drain_grace_s": 1.0, "drain_limit_s": 6.0}
TOKENS, TOKENS_PER_EVENT = 100, 5
EVENT_S = 0.052
"""Time of an event of an engine that isn't slowed down."""

PAUSE_S = 1.0
"""Longer than a daemon waits before it begins a second run. The rest of the answer
still fits into the time that a stop gives."""

SLOWED_S = 0.15
"""An event begins in this time, which then takes as long as the pause."""


EARNING_REQUESTS, EARNING_INTERVAL_S = 60, 0.02
"""Requests that earn the daemon some retries, and time between them; those of a burst
earn nothing until later."""

EARNS_AFTER_S = 0.6
"""Time from a daemon's start in which requests earn nothing."""


def chat_request(*, is_streamed: bool, key: str = "", text: str = "pauses") -> bytes:
    message = {"role": "user", "content": text}
    fields = {"model": "estimates", "messages": [message], "max_tokens": TOKENS}
    body = json.dumps({**fields, "stream": is_streamed}).encode()
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x"]
    lines += [f"Authorization: Bearer {API_KEY}", f"Content-Length: {len(body)}"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


CASES = {
    "at once": chat_request(is_streamed=False),
    "at once with a key": chat_request(is_streamed=False, key="k1"),
    "streamed": chat_request(is_streamed=True),
    "streamed with a key": chat_request(is_streamed=True, key="k2"),
}


async def start_daemon(fleet: Fleet) -> NodeProcess:
    """Start two groups and a daemon that serves them."""
    await fleet.start_standins(engines=8, spare=0)
    node = await fleet.start_node(fleet.settings(0, **TIMING))
    status, _ = await fleet.apply(node, declared_state(2), 0, "first")
    assert status == 200
    await fleet.until_converged(node, 1)
    return node


async def earn_retries(edge: SimpleNamespace) -> None:
    """Send requests whose callers leave.

    Whole answers would show the stop that a further run can end in time.
    """
    await asyncio.sleep(EARNS_AFTER_S)
    for number in range(EARNING_REQUESTS):
        caller = await Caller.connect(edge)
        await caller.send(chat_request(is_streamed=True, text=f"earns {number}"))
        await asyncio.sleep(EARNING_INTERVAL_S)
        caller.close()


async def attempts_of(fleet: Fleet, text: str = "pauses") -> list[dict]:
    """Return the attempts at engines for a request."""
    return [a for a in await fleet.attempts() if a["text"] == text]


async def pause_engines(fleet: Fleet) -> None:
    """Let the next event of each run take as long as the pause."""
    engines = (await fleet.counts())["engines"]
    for factor in (PAUSE_S / EVENT_S, 1.0):
        slowed = [fleet.act("slow", backend=e, factor=factor) for e in engines]
        await asyncio.gather(*slowed)
        await asyncio.sleep(SLOWED_S)


# Guards against a completion that is lost at a stop because its run sent nothing for a
# while: it is given up although no other may begin.
@pytest.mark.parametrize("case", CASES)
async def test_a_completion_that_pauses_during_a_stop_is_whole(case) -> None:
    async with Fleet.create() as fleet:
        node = await start_daemon(fleet)
        edge = SimpleNamespace(address=node.url.removeprefix("http://"))
        await earn_retries(edge)
        caller = await Caller.connect(edge)
        await caller.send(CASES[case])
        while not await attempts_of(fleet):
            await asyncio.sleep(0.01)
        await asyncio.sleep(3 * EVENT_S)
        node.send(signal.SIGTERM)
        await pause_engines(fleet)
        answer = await caller.answer()
        await node.process.wait()
        attempts = await attempts_of(fleet)
        log = (fleet.directory / f"{node.name}.log").read_text()
    named = [x for x in log.splitlines() if "request=" in x and "caller_gone" not in x]
    lines = "\n".join(named)
    assert answer.seen == (200, "whole"), lines
    assert "streamed" not in case or b"[DONE]" in answer.body, lines
    assert [a["end"] for a in attempts] == ["whole"], lines
