"""Chat completions that a daemon's stop ends: answered or cut, and in its log."""

from __future__ import annotations

import json
import signal
from types import SimpleNamespace

import pytest
from fleet import API_KEY, Fleet, declared_state
from raw_caller import Answer, Caller
from stopping_node import parse_line, says_stop

TIMING = {"drain_grace_s": 1.0, "drain_limit_s": 2.5}
MANY_TOKENS = 2000
"""Their answer takes many times as long as the daemon waits for it."""


def chat_request(name: str, *, is_streamed: bool, key: str = "") -> bytes:
    message = {"role": "user", "content": name}
    fields = {"model": "estimates", "messages": [message], "max_tokens": MANY_TOKENS}
    body = json.dumps({**fields, "stream": is_streamed}).encode()
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x"]
    lines += [f"Authorization: Bearer {API_KEY}", f"Content-Length: {len(body)}"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def outcome(answer: Answer) -> str:
    """Return how a completion ended, for a failure whether it may have run."""
    if answer.status == 200:
        return "whole" if b"[DONE]" in answer.body else "cut"
    if not answer.is_whole:
        return "no answer"
    is_refused = answer.status == 503
    return "not run" if is_refused else json.loads(answer.body)["error"]["ran"]


CASES = {
    "at once": (chat_request("a", is_streamed=False), "maybe"),
    "at once with a key": (chat_request("b", is_streamed=False, key="k1"), "maybe"),
    "streamed": (chat_request("c", is_streamed=True), "cut"),
    "streamed with a key": (chat_request("d", is_streamed=True, key="k2"), "cut"),
}


# Guards against completions that end with the process: no answer, no line; also if its
# terminal is closed, or a signal comes more than once or beside another.
@pytest.mark.parametrize(
    "signals",
    [
        [signal.SIGTERM],
        [signal.SIGTERM, signal.SIGTERM, signal.SIGINT],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGHUP],
    ],
    ids=lambda found: "+".join(x.name for x in found),
)
async def test_completions_that_the_stop_ends_are_answered_and_logged(signals) -> None:
    async with Fleet.create() as fleet:
        await fleet.start_standins(engines=4, spare=0)
        node = await fleet.start_node(fleet.settings(0, **TIMING))
        status, _ = await fleet.apply(node, declared_state(1), 0, "first")
        assert status == 200
        await fleet.until_converged(node, 1)
        edge = SimpleNamespace(address=node.url.removeprefix("http://"))
        callers = {name: await Caller.connect(edge) for name in CASES}
        for name, caller in callers.items():
            await caller.send(CASES[name][0])
            if CASES[name][1] == "cut":
                await caller.begun(b"content")
        for number in signals:
            node.send(number)
        found = {n: outcome(await caller.answer()) for n, caller in callers.items()}
        await node.process.wait()
        log = (fleet.directory / f"{node.name}.log").read_text().splitlines()
    stopped = [f.get("request", "") for f in map(parse_line, log) if says_stop(f)]
    named = [request_id for request_id in stopped if request_id.startswith("req-")]
    expected = {name: end for name, (_, end) in CASES.items()}
    assert (found, len(named), len({*named})) == (expected, 4, 4)
