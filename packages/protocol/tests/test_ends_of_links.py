"""Requests in progress on a connection between nodes that is dropped or breaks."""

from __future__ import annotations

import asyncio

import uvloop

from fordhatch.core import Timer
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import QueryStatus, StatusReply, WatchTables

KEY = b"a-shared-key-for-tests"
QUESTION_TIMEOUT_S = 0.1
WORKS_FOR_S = 0.5


async def works_for_a_while(message, channel) -> None:
    """Answer a long request late, and no question at all."""
    if isinstance(message, WatchTables):
        await asyncio.sleep(WORKS_FOR_S)
        await channel.send(StatusReply("b", "start", 1, True, False, [1, 7], 0.2))
    else:
        await channel.closed.wait()


async def pools() -> tuple[PeerPool, PeerPool, str]:
    server = PeerPool("b", KEY, Timer())
    server.handler = works_for_a_while
    port = await server.listen("127.0.0.1", 0)
    return server, PeerPool("a", KEY, Timer()), f"127.0.0.1:{port}"


# Guards against streams relayed by a node that all end because a short question to that
# node, on the same connection, gets no answer in time.
async def test_an_unanswered_question_does_not_end_other_requests() -> None:
    server, client, address = await pools()
    watch = WatchTables({"op": [0, 1]}, 5.0, False)
    channel = (await client.open(address, watch)).unwrap()
    asked = await client.request(address, QueryStatus(), QUESTION_TIMEOUT_S)
    assert asked.is_err()
    got = await channel.receive(20.0)
    await client.close()
    await server.close()
    assert got.is_ok(), got.unwrap_err()


# Guards against an error that is raised in the middle of a relayed stream, and ends it
# without a line: uvloop's transports raise one when they are written to after the end.
def test_sending_on_a_connection_that_has_just_broken_is_a_failure() -> None:
    async def scenario() -> None:
        server, client, address = await pools()
        watch = WatchTables({"op": [0, 1]}, 5.0, False)
        channel = (await client.open(address, watch)).unwrap()
        channel.link.writer.transport.abort()
        await asyncio.sleep(0)
        sent = await channel.send(QueryStatus())
        await client.close()
        await server.close()
        assert sent.is_err()

    uvloop.run(scenario())
