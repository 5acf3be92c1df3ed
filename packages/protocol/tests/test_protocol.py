from __future__ import annotations

import asyncio
import contextlib
import zlib

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback_proxy import LoopbackProxy

from fordhatch.core import Ran, ResultCode, Timer, metrics
from fordhatch.protocol import (
    FrameError,
    Link,
    PeerPool,
    decode,
    encode,
    pack_rows,
    unpack_rows,
)
from fordhatch.protocol.messages import (
    MAX_LOAD_ENTRIES,
    DemandReply,
    LoadReport,
    LoadTotals,
    QueryStatus,
    RelayedHead,
    StatusReply,
    TableChanges,
    TablesChanged,
    WatchTables,
)

KEY = b"a-shared-key-for-tests"


def changes(table: str = "servers", version: int = 4) -> TableChanges:
    rows = pack_rows([("i-1", 1, 4, b"x", False)])
    return TableChanges(table, [1, version], 0.25, 9.5, False, rows)


def status(name: str = "n1", version: int = 0) -> StatusReply:
    return StatusReply(name, "start", version, True, False, [1, 7], 0.2)


def test_nested_messages_round_trip() -> None:
    answer = TablesChanged([changes(), changes("op", 9)])
    assert decode(encode(7, answer)) == (7, answer)


# Guards against a relayed answer that is lost to a byte that is no UTF-8.
def test_bytes_that_are_no_text_round_trip() -> None:
    value = b"caf\xe9 \xff".decode(errors="surrogateescape")
    head = RelayedHead(200, [("X-Field", value)])
    assert decode(encode(7, head)) == (7, head)


def test_long_tables_are_compressed_and_round_trip() -> None:
    rows = [(f"i-{n}", 1, n, b'{"service": "llm"}' * 9, False) for n in range(200)]
    body = pack_rows(rows)
    assert len(body) < 8000
    assert unpack_rows(body) == rows
    for cut in (body[:-1], body[:1], body[:1] + b"x", body[:500]):
        with pytest.raises(FrameError):
            unpack_rows(cut)


def test_compressed_rows_can_not_grow_beyond_the_limit() -> None:
    # Only the length is invalid, so that no other check rejects the rows.
    rows = [["x" * (17 * 1024 * 1024), 1, b"", False]]
    bomb = b"\xc1" + zlib.compress(msgpack.packb(rows))
    with pytest.raises(FrameError):
        unpack_rows(bomb)


@pytest.mark.parametrize(
    "rows",
    [
        [["i-1", 4, "x", False]],
        [["i-1", 4]],
        [["i-1", True, b"x", False]],
        [[4, 4, b"x", False]],
        [5],
        {"i-1": 4},
        "rows",
    ],
)
def test_malformed_rows_are_rejected(rows) -> None:
    with pytest.raises(FrameError):
        unpack_rows(msgpack.packb(rows))


@settings(derandomize=True)
@given(st.binary(max_size=200))
def test_unpacking_random_bytes_raises_only_frame_errors(noise) -> None:
    with contextlib.suppress(FrameError):
        unpack_rows(noise)


def test_empty_rows_are_packed_as_empty_bytes() -> None:
    assert pack_rows([]) == b""
    assert unpack_rows(b"") == []


@settings(derandomize=True)
@given(st.binary(max_size=200))
def test_decoding_random_bytes_raises_only_frame_errors(noise) -> None:
    with contextlib.suppress(FrameError):
        decode(noise)


MALFORMED_MESSAGES = [
    (62, ["x", 1.0, True]),
    (62, [{"op": "1"}, 1.0, True]),
    (62, [{"op": 1}, "soon", True]),
    (62, [{"op": 1}, 1.0, 1]),
    (62, [{"op": 1}, 1.0, True, 4]),
    (62, [{"op": 1}]),
    (62, []),
    (61, ["servers", [1, 1], 0.1, 0.2, False, [["i-1", 1, 4, b"x", False]]]),
    (61, ["servers", [1, 1], 0.1, 0.2, False, "rows"]),
    (61, ["servers", [1, True], 0.1, 0.2, False, b""]),
    (61, ["servers", 1, 0.1, 0.2, False, b""]),
    (61, ["servers", [1, 1, 1], 0.1, 0.2, False, b""]),
    (63, [[["servers", [1, 1], 0.1, 0.2, False, "rows"]]]),
    (63, ["servers"]),
    (51, ["n", "s", 1, True, False, 1, 0.2]),
    (51, ["n", "s", 1, 1, False, [1, 1], 0.2]),
    (62, [{"op": 1}, 2, False]),
    (73, []),
    (73, [[7, 1]]),
    (73, ["i-1"]),
    (73, [[7, -1, 1]]),
    (73, [[7, 0, 1]]),
    (73, [[7, 1, -1]]),
    (73, [[-1, 1, 1]]),
    (73, [["i-1", 1, 1]]),
    (73, [[7, 1.5, 1]]),
    (73, [[7, float("nan"), 1]]),
    (73, [[7, 1, float("inf")]]),
    (73, [[7, True, 1]]),
    (73, [[7, None, 1]]),
    (73, [[2**32, 1, 1]]),
    (73, [[7, 10**6 + 1, 1]]),
    (73, [[7, 1, 10**12 + 1]]),
    (73, [[7, 1, 1] * (MAX_LOAD_ENTRIES + 1)]),
    (74, [True, True, -0.1, [7, 1, 1]]),
    (74, [True, True, float("nan"), [7, 1, 1]]),
    (74, [1, True, 0.1, [7, 1, 1]]),
    (74, [True, None, 0.1, [7, 1, 1]]),
    (74, [True, True, 0.1, [7, 1, -1]]),
]


@pytest.mark.parametrize(("tag", "fields"), MALFORMED_MESSAGES)
def test_malformed_messages_are_rejected(tag, fields) -> None:
    with pytest.raises(FrameError):
        decode(msgpack.packb([0, tag, fields]))


def test_load_messages_round_trip_and_are_small() -> None:
    """Each of 74 nodes sends one five times a second; the reply names every head."""
    loads = [n for key in range(2**31, 2**31 + 40) for n in (key, 15, 60_000)]
    reply = LoadTotals(True, True, 0.1, loads)
    assert decode(encode(7, reply)) == (7, reply)
    assert len(encode(70_000, reply)) < 420
    report = LoadReport(loads[:24])
    assert decode(encode(7, report)) == (7, report)
    assert len(encode(70_000, report)) < 100
    assert decode(encode(7, LoadReport([]))) == (7, LoadReport([]))


def test_integers_are_accepted_as_durations() -> None:
    request = decode(msgpack.packb([0, 62, [{"op": [0, 1]}, 2, False]]))[1]
    assert request == WatchTables({"op": [0, 1]}, 2.0, False)


async def pools(server_key: bytes = KEY, handler=None):
    server = PeerPool("server", server_key, Timer())
    server.handler = handler
    port = await server.listen("127.0.0.1", 0)
    return server, PeerPool("client", KEY, Timer()), f"127.0.0.1:{port}"


async def test_answers_arrive_on_their_own_channel() -> None:
    async def echo(message, channel) -> None:
        wanted = message.after_versions["op"][1]
        for index in range(wanted):
            await channel.send(status(str(wanted), index))
            await asyncio.sleep(0)

    server, client, address = await pools(handler=echo)

    async def request(number: int) -> list[tuple[str, int]]:
        message = WatchTables({"op": [0, number]}, 1.0, False)
        channel = (await client.open(address, message)).unwrap()
        replies = [(await channel.receive(5.0)).unwrap() for _ in range(number)]
        await channel.close()
        return [(r.node_name, r.configuration_version) for r in replies]

    answers = await asyncio.gather(*(request(n) for n in range(1, 8)))
    expected = [[(str(n), i) for i in range(n)] for n in range(1, 8)]
    assert answers == expected
    assert client.links() == 1
    await client.close()
    await server.close()


async def test_peer_without_the_shared_key_is_refused() -> None:
    async def answer(message, channel) -> None:
        await channel.send(status())

    server, client, address = await pools(b"another-shared-key", answer)
    refused = (await client.request(address, QueryStatus(), 5.0)).unwrap_err()
    assert (refused.code, refused.ran) == (ResultCode.PEER_REFUSED, Ran.NO)
    await client.close()
    await server.close()


@pytest.mark.parametrize("position", [0, -1])
async def test_a_frame_with_a_flipped_bit_ends_the_connection(
    monkeypatch, position
) -> None:
    seen = []

    async def answer(message, channel) -> None:
        seen.append(message)
        await channel.send(status())

    server, client, address = await pools(handler=answer)
    assert (await client.request(address, QueryStatus(), 5.0)).is_ok()
    write = Link._write_raw

    def write_flipped(link: Link, body: bytes) -> None:
        changed = bytearray(body)
        changed[position] ^= 1 if link.is_client else 0
        write(link, bytes(changed))

    monkeypatch.setattr(Link, "_write_raw", write_flipped)
    failed = await client.request(address, QueryStatus(), 5.0)
    assert failed.unwrap_err().ran is Ran.MAYBE
    assert len(seen) == 1
    await client.close()
    await server.close()


async def test_a_malformed_load_report_is_refused_logged_and_counted(
    monkeypatch,
) -> None:
    """A node that reports nonsense must not change what the collector tells others."""
    seen, logged = [], []
    monkeypatch.setattr(
        "fordhatch.protocol._link.log_event",
        lambda event, **f: logged.append((event, f)),
    )
    before = metrics.FRAMES_REFUSED.labels("stream")._value.get()

    async def answer(message, channel) -> None:
        seen.append(message)
        await channel.send(LoadTotals(True, True, 0.1, []))

    server, client, address = await pools(handler=answer)
    report = LoadReport([7, 1, 1])
    assert (await client.request(address, report, 5.0)).is_ok()
    object.__setattr__(report, "loads", [7, -1, 1])
    assert (await client.request(address, report, 5.0)).is_err()
    assert len(seen) == 1
    ((event, fields),) = logged
    assert (event, fields["peer"]) == ("frame_refused", "client")
    assert fields["code"] == "FRAME_INVALID"
    assert metrics.FRAMES_REFUSED.labels("stream")._value.get() == before + 1
    await client.close()
    await server.close()


async def test_closing_a_channel_cancels_its_handler() -> None:
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


async def test_requests_on_a_broken_link_may_have_run() -> None:
    async def silent(message, channel) -> None:
        await asyncio.sleep(60.0)

    server, client, address = await pools(handler=silent)
    channel = (await client.open(address, QueryStatus())).unwrap()
    await asyncio.sleep(0.05)
    await server.close()
    failure = (await channel.receive(5.0)).unwrap_err()
    assert (failure.code, failure.ran) == (ResultCode.PEER_UNREACHABLE, Ran.MAYBE)
    await client.close()


async def test_a_link_that_receives_nothing_is_replaced() -> None:
    async def answer(message, channel) -> None:
        await channel.send(status())

    server, client, address = await pools(handler=answer)
    proxy = LoopbackProxy(int(address.rpartition(":")[2]))
    proxy_address = f"127.0.0.1:{await proxy.start()}"
    assert (await client.request(proxy_address, QueryStatus(), 5.0)).is_ok()
    proxy.silence_open()
    lost = await client.request(proxy_address, QueryStatus(), 0.2)
    assert lost.unwrap_err().code is ResultCode.DEADLINE_EXCEEDED
    assert (await client.request(proxy_address, QueryStatus(), 5.0)).is_ok()
    await client.close()
    await server.close()
    await proxy.close()


async def test_a_late_answer_does_not_retire_a_link_that_received_others() -> None:
    async def answer(message, channel) -> None:
        await channel.send(status())

    server, client, address = await pools(handler=answer)
    assert (await client.request(address, QueryStatus(), 5.0)).is_ok()
    link = client._links[address]
    late_sent_s = client.timer.now_s()
    assert (await client.request(address, QueryStatus(), 5.0)).is_ok()
    client._retire_if_silent(link, late_sent_s)
    assert client._links[address] is link
    client._retire_if_silent(link, client.timer.now_s() + 1.0)
    assert (await client.request(address, QueryStatus(), 5.0)).is_ok()
    assert client._links[address] is not link
    await client._close_idle()
    assert not link.alive
    await client.close()
    await server.close()


async def test_unauthenticated_peer_cannot_make_a_node_reserve_memory(
    monkeypatch,
) -> None:
    monkeypatch.setattr("fordhatch.protocol._pool.HANDSHAKE_TIMEOUT_S", 60.0)
    server, client, address = await pools()
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((15 * 1024 * 1024).to_bytes(4, "big") + b"x" * 64)
    # The server sends its Hello and then closes the connection.
    received = await asyncio.wait_for(reader.read(-1), 5.0)
    assert len(received) < 200
    writer.close()
    await client.close()
    await server.close()


async def test_a_starting_node_counts_as_refusing_and_not_as_unreachable() -> None:
    """A starting node, which has no shared key yet, must not count as unreachable.

    Its listener fails the handshake; a stopped node has no listener.
    """
    starting = PeerPool("b", b"", Timer())
    port = await starting.listen("127.0.0.1", 0)
    pool = PeerPool("a", KEY, Timer())
    got = await pool.request(f"127.0.0.1:{port}", QueryStatus(), 5.0)
    assert got.unwrap_err().code is ResultCode.PEER_REFUSED
    await starting.close()
    got = await pool.request(f"127.0.0.1:{port}", QueryStatus(), 5.0)
    assert got.unwrap_err().code is ResultCode.PEER_UNREACHABLE
    await pool.close()


@pytest.mark.parametrize(
    "entry",
    [
        ["llm", "m", -1.0, 0.0],
        ["llm", "m", 1.0, float("nan")],
        ["llm", "m", float("inf"), 1.0],
        ["llm", "m", 1.0, 1e300],
        ["llm", "m", 1, 0.5],
        ["llm", None, 1.0, 0.5],
        ["llm", "m", 1.0],
        ["llm", "m", "1", 0.5],
    ],
)
def test_invalid_demand_is_rejected(entry: list[object]) -> None:
    with pytest.raises(FrameError):
        decode(msgpack.packb([0, 67, [[entry]]]))


def test_demand_replies_round_trip() -> None:
    reply = DemandReply([("llm", "m", 24.0, 1.6)])
    channel, found = decode(encode(3, reply))
    assert channel == 3
    assert [tuple(entry) for entry in found.models] == reply.models
