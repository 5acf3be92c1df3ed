"""What a relayed request holds on either side is released without the collector."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
from held_memory import BODY, without_collector
from result import Ok
from test_relayed_requests import (
    BACKEND,
    OPTIONS,
    StubAnswer,
    StubRequest,
    simulate,
    site_of,
)

from fordhatch.node._relay_server import RelayedRequest
from fordhatch.node._relayed_answer import RelayedAnswer
from fordhatch.protocol import Channel
from fordhatch.protocol.messages import RelayRequest

TYPES = (Channel, RelayedAnswer, RelayedRequest, RelayRequest, StubAnswer, StubRequest)
LONG_BYTES = 90_000


def gives(count: int, **changes: object):
    """Return a sender whose backend server answers in pieces that are bodies."""

    async def send(request, *_: object) -> object:
        request.record_arrival("b1", may_have_run=True)
        return Ok(StubAnswer([bytes(LONG_BYTES) for _ in range(count)], **changes))

    return send


async def ask(site, reads: int) -> None:
    """Ask through another node; read some pieces of the answer and drop it."""
    request = StubRequest(body=bytes(BODY))
    got = await site.client.send(request, BACKEND, OPTIONS)
    if got is None or got.is_err():
        return
    answer = got.unwrap()
    with contextlib.suppress(aiohttp.ClientError):
        while reads and await answer.read_piece():
            reads -= 1
    answer.close()


KINDS = {
    "whole": (gives(20), 1000),
    "broken": (gives(2, breaks=True), 1000),
    "end not confirmed": (gives(2, ends_with_connection=True), 1000),
    "late": (gives(50, pauses_s=1.0), 1000),
    "caller leaves": (gives(50, pauses_s=0.1), 3),
}


# Guards against bodies that stay in the memory of either node.
@pytest.mark.parametrize("kind", KINDS)
def test_a_relayed_request_is_released(kind: str) -> None:
    send, reads = KINDS[kind]

    async def scenario() -> None:
        async with site_of(a=send) as site:
            await ask(site, 0)
            await asyncio.sleep(5.0)
            with without_collector(*TYPES) as memory:
                await ask(site, reads)
                await memory.until_freed()

    simulate(scenario)
