from __future__ import annotations

import asyncio
import contextlib

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordhatch.core import Ran, ResultCode, Timer
from fordhatch.protocol import (
    FrameError,
    PeerPool,
    decode,
    decode_datagram,
    encode,
    encode_datagram,
)
from fordhatch.protocol.messages import (
    Accepted,
    NodeRecord,
    Piece,
    Ping,
    PullConfig,
    QueryStatus,
    VersionDigest,
)

KEY = b"a-shared-key-for-tests"


def test_nested_messages_come_back_equal() -> None:
    record = NodeRecord("a", "a:1", "r", "z", 3, "alive")
    digest = VersionDigest(4, {"r": 5}, {"r": (6, "a")})
    ping = Ping(1, record, digest, [record])
    assert decode(encode(7, ping)) == (7, ping)


@settings(derandomize=True)
@given(st.binary(max_size=200))
def test_noise_is_refused_and_nothing_else(noise) -> None:
    with contextlib.suppress(FrameError):
        decode(noise)
    with pytest.raises(FrameError):
        decode_datagram(KEY, noise)


@pytest.mark.parametrize("fields", [["x", "y"], [1], [1, 2], [1, "y", 3], [True, "y"]])
def test_wrong_fields_are_refused(fields) -> None:
    with pytest.raises(FrameError):
        decode(msgpack.packb([0, 31, fields]))


def test_datagram_with_a_flipped_bit_is_refused() -> None:
    data = bytearray(encode_datagram(KEY, QueryStatus()))
    data[-1] ^= 1
    with pytest.raises(FrameError):
        decode_datagram(KEY, bytes(data))
    with pytest.raises(FrameError):
        decode_datagram(b"another key", encode_datagram(KEY, QueryStatus()))


async def pools(server_key: bytes = KEY, handler=None):
    server = PeerPool("server", server_key, Timer())
    server.handler = handler
    port = await server.listen("127.0.0.1", 0)
    return server, PeerPool("client", KEY, Timer()), f"127.0.0.1:{port}"


async def test_answers_arrive_on_their_own_channel() -> None:
    async def echo(message, channel) -> None:
        for index in range(message.after_revision):
            await channel.send(Piece(index, str(message.after_revision)))
            await asyncio.sleep(0)

    server, client, address = await pools(handler=echo)

    async def ask(number: int) -> list[str]:
        channel = (await client.open(address, PullConfig(number))).unwrap()
        texts = [(await channel.receive(5.0)).unwrap().text for _ in range(number)]
        await channel.close()
        return texts

    answers = await asyncio.gather(*(ask(n) for n in range(1, 8)))
    assert answers == [[str(n)] * n for n in range(1, 8)]
    assert client.links() == 1
    await client.close()
    await server.close()


async def test_stranger_without_the_key_is_refused() -> None:
    async def answer(message, channel) -> None:
        await channel.send(Accepted())

    server, client, address = await pools(b"another-shared-key", answer)
    refused = (await client.request(address, QueryStatus(), 5.0)).unwrap_err()
    assert (refused.code, refused.ran) == (ResultCode.PEER_UNREACHABLE, Ran.NO)
    await client.close()
    await server.close()


async def test_closing_a_channel_cancels_the_work() -> None:
    cancelled = asyncio.Event()

    async def work(message, channel) -> None:
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server, client, address = await pools(handler=work)
    channel = (await client.open(address, QueryStatus())).unwrap()
    await asyncio.sleep(0.05)
    await channel.close()
    await asyncio.wait_for(cancelled.wait(), 5.0)
    await client.close()
    await server.close()


async def test_broken_link_ends_every_request_as_maybe() -> None:
    async def silent(message, channel) -> None:
        await asyncio.sleep(60.0)

    server, client, address = await pools(handler=silent)
    channel = (await client.open(address, QueryStatus())).unwrap()
    await asyncio.sleep(0.05)
    await server.close()
    failure = (await channel.receive(5.0)).unwrap_err()
    assert (failure.code, failure.ran) == (ResultCode.PEER_UNREACHABLE, Ran.MAYBE)
    await client.close()


async def test_stranger_cannot_make_a_node_reserve_memory(monkeypatch) -> None:
    monkeypatch.setattr("fordhatch.protocol._pool.HANDSHAKE_TIMEOUT_S", 60.0)
    server, client, address = await pools()
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((15 * 1024 * 1024).to_bytes(4, "big") + b"x" * 64)
    # The server's hello comes first; then it hangs up.
    ended = await asyncio.wait_for(reader.read(-1), 5.0)
    assert len(ended) < 200
    writer.close()
    await client.close()
    await server.close()
