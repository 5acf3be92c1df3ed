"""Completions and calls of a daemon whose backend servers send no answers."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from broken_answers import is_own_failure
from fleet import API_KEY, Fleet
from raw_caller import Answer, Caller
from test_silent_runs_of_the_daemon import chat_request, start_daemon

from fordhatch_standins import BrokenKind

NOT_RUN = "no"


def bill_request(text: str, key: str = "") -> bytes:
    body = json.dumps({"text": text}).encode()
    lines = ["POST /services/yard/billing/17 HTTP/1.1", "Host: x"]
    lines += [f"Authorization: Bearer {API_KEY}", f"Content-Length: {len(body)}"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def requests_of(kind: BrokenKind) -> list[bytes]:
    """Return a request of each sort."""
    return [
        chat_request(is_streamed=False, text=f"{kind} whole"),
        chat_request(is_streamed=True, text=f"{kind} streamed"),
        chat_request(is_streamed=False, text=f"{kind} key", key=f"c-{kind}"),
        bill_request(f"{kind} bill"),
        bill_request(f"{kind} key", key=f"b-{kind}"),
    ]


async def ask(edge: SimpleNamespace, request: bytes) -> Answer:
    caller = await Caller.connect(edge)
    try:
        await caller.send(request)
        return await caller.answer()
    finally:
        caller.close()


# Guards against an answer that is believed by fordhatch's own interface, in a
# completion, in a stream of one, for a key, or in a call of a plain service.
async def test_nothing_of_an_answer_that_is_none_reaches_a_caller() -> None:
    async with Fleet.create() as fleet:
        node = await start_daemon(fleet)
        edge = SimpleNamespace(address=node.url.removeprefix("http://"))
        for kind in BrokenKind:
            await fleet.act("broken", share=1.0, kinds=[kind])
            asked = [ask(edge, request) for request in requests_of(kind)]
            for answer in await asyncio.gather(*asked):
                assert is_own_failure(answer), (kind, answer)
                assert b"not an answer" not in answer.body, (kind, answer)
                ran = json.loads(answer.body)["error"]["ran"]
                assert ran != NOT_RUN, (kind, answer)
            await fleet.act("broken", share=0.0)
        for request in requests_of("sound"):
            answer = await ask(edge, request)
            assert answer.seen == (200, "whole"), answer
        log = (fleet.directory / f"{node.name}.log").read_text()
    assert "event=answer_invalid" in log
    assert "ended_by=error" not in log
