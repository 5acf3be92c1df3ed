"""Links to nodes that send without end."""

from __future__ import annotations

import asyncio

import pytest

from fordhatch.core import Timer
from fordhatch.protocol import PeerPool, _link
from fordhatch.protocol.messages import QueryContact, QueryStatus


# Guards against a node that keeps what another one sends without end.
@pytest.mark.parametrize("is_one_channel", [True, False])
async def test_a_peer_that_sends_without_end_is_left(monkeypatch, is_one_channel):
    monkeypatch.setattr(_link, "MAX_INBOX_BYTES", 1000)
    monkeypatch.setattr(_link, "MAX_CHANNELS", 50)

    async def never_answers(_message, _channel) -> None:
        await asyncio.Event().wait()

    server = PeerPool("server", b"key", Timer())
    server.handler = never_answers
    address = f"127.0.0.1:{await server.listen('127.0.0.1', 0)}"
    client = PeerPool("client", b"key", Timer())
    try:
        channel = (await client.open(address, QueryStatus())).unwrap()
        for _ in range(100):
            if not is_one_channel:
                channel = channel.link.open(QueryStatus())
            if (await channel.send(QueryContact("service"))).is_err():
                break
        async with asyncio.timeout(10):
            await channel.closed.wait()
    finally:
        await client.close()
        await server.close()
