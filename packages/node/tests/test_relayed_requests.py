"""Attempts at backend servers through another node, and what is told of them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace

import aiohttp
import attrs
import pytest
from result import Err, Ok

from fordhatch.catalog import AnswerFields, BackendServer, BackendState, RefusalKind
from fordhatch.core import MemoryAccount, Timer
from fordhatch.node._relay_client import ExchangeRelayClient
from fordhatch.node._relay_peers import RelayPeers
from fordhatch.node._relay_server import MAX_RELAYED, ExchangeRelayServer
from fordhatch.node._relayed_answer import PIECE_BYTES, WINDOW_PIECES
from fordhatch.protocol.messages import QueryContact, RelayedEnd, RelayRequest
from fordhatch.registry import NodeAddress
from fordhatch.serving import RequestsInProgress, SendFailure, SendOptions, SendProblem
from fordhatch.serving.exchange import AnswerHold
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryNetwork

BACKEND = BackendServer("b1", "app", "10.0.0.1:1", "z1", BackendState.READY, 4)
WINDOW_BYTES = WINDOW_PIECES * PIECE_BYTES
OPTIONS = SendOptions(head_timeout_s=2.0)


@attrs.define
class StubRequest:
    """The request of a caller of the node that is cut off."""

    arrivals: list[bool] = attrs.field(factory=list)
    method: str = "POST"
    target: str = "/x"
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b"body"
    workspace_name: str | None = "w"
    fields: object = SimpleNamespace(request_id="r1")

    def recheck(self, _: BackendServer) -> None:
        return None

    def left_s(self, _: float) -> float:
        return 3.0

    def record_arrival(self, _: str, *, may_have_run: bool) -> None:
        self.arrivals.append(may_have_run)


@attrs.define
class StubAnswer:
    """The answer that a backend server gives to the relaying node."""

    pieces: list[bytes]
    pauses_s: float = 0.0
    breaks: bool = False
    read: int = 0
    is_closed: bool = False
    status: int = 200
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    fields: AnswerFields = AnswerFields("r1", RefusalKind.NONE, True, False)
    ends_with_connection: bool = False
    is_end_confirmed: bool = False

    async def read_piece(self) -> bytes:
        await asyncio.sleep(self.pauses_s)
        if self.read == len(self.pieces):
            if self.breaks:
                raise aiohttp.ClientPayloadError("reset")
            return b""
        self.read += 1
        return self.pieces[self.read - 1]

    def close(self) -> None:
        self.is_closed = True


async def confirms_end(answer: StubAnswer, left_s: float) -> bool:
    """Return whether an answer is complete, as a node in touch finds by a probe."""
    return answer.is_end_confirmed or not answer.ends_with_connection


@attrs.define
class RelaySite:
    """One node that is cut off, and others that may reach the backend server."""

    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    nodes: dict[str, NodeAddress] = attrs.field(factory=dict)
    servers: dict[str, ExchangeRelayServer] = attrs.field(factory=dict)
    asked: list[str] = attrs.field(factory=list)
    client: ExchangeRelayClient | None = None

    def _peers(self, name: str) -> RelayPeers:
        timer = Timer.from_seed(name)
        view = SimpleNamespace(shared=SimpleNamespace(nodes=self.nodes))
        pool = self.network.pool(name, f"{name}:1")
        return RelayPeers(name, "z1", view, pool, timer)

    def add_cut_off(self) -> None:
        peers = self._peers("cut")
        self.client = ExchangeRelayClient(peers, peers.pool, peers.timer)

    def add(
        self,
        name: str,
        send: Callable[..., Awaitable[object]],
        *,
        reaches: bool = True,
        can_relay: bool = True,
    ) -> None:
        self.nodes[name] = NodeAddress(name, f"{name}:1", "z1", can_relay=can_relay)
        peers = self._peers(name)
        memory = MemoryAccount(peers.timer)
        directory = SimpleNamespace(
            backends={"b1": BACKEND},
            of_service=lambda _: [BACKEND],
            evacuations=SimpleNamespace(zones=dict),
        )
        state = SimpleNamespace(
            is_leaving=False,
            refusal=lambda: None,
            view=SimpleNamespace(directory=directory),
            requests=RequestsInProgress(peers.timer, lambda: 1, memory),
            memory=memory,
            memory_refusal=lambda _: None,
        )
        path = SimpleNamespace(
            state=state,
            contact=SimpleNamespace(is_cut_off=lambda _: not reaches),
            exchange=SimpleNamespace(send_directly=send, confirms_end=confirms_end),
        )
        server = self.servers[name] = ExchangeRelayServer(path, peers, peers.timer)

        async def handle(message: object, channel: object) -> None:
            self.asked.append(f"{name} {type(message).__name__}")
            if isinstance(message, QueryContact):
                await server.answer_query(message, channel)
            elif isinstance(message, RelayRequest):
                await server.relay(message, channel)

        peers.pool.handler = handle


def hold_answers() -> AnswerHold:
    """Return a hold that counts in an account of its own."""
    memory = MemoryAccount(Timer())
    return AnswerHold(memory, memory.hold("answers"))


def answers(answer: StubAnswer) -> Callable[..., Awaitable[object]]:
    async def send(request, *_: object) -> object:
        request.record_arrival("b1", may_have_run=True)
        return Ok(answer)

    return send


async def never_answers(request, *_: object) -> object:
    request.record_arrival("b1", may_have_run=True)
    await asyncio.Event().wait()


async def unreachable(*_: object) -> object:
    return Err(SendFailure(SendProblem.NOT_SENT, "refused", is_unreachable=True))


async def refuses(request, *_: object) -> object:
    request.record_arrival("b1", may_have_run=False)
    return Err(SendFailure(SendProblem.REFUSED, "full"))


@contextlib.asynccontextmanager
async def site_of(**senders: Callable[..., Awaitable[object]]) -> AsyncIterator:
    site = RelaySite()
    site.add_cut_off()
    for name, send in senders.items():
        site.add(name, send)
    try:
        yield site
    finally:
        await asyncio.sleep(0.1)
        await site.client.close()
        await site.client.peers.close()


def simulate(scenario: Callable[[], Awaitable[None]]) -> None:
    run_in_virtual_time(scenario())


# Guards against the beginning of an answer without length that looks like a whole one.
def test_an_end_that_the_node_in_touch_does_not_confirm_is_a_broken_connection() -> (
    None
):
    async def scenario() -> None:
        answer = StubAnswer([b"a"], ends_with_connection=True)
        async with site_of(a=answers(answer)) as site:
            got = (await site.client.send(StubRequest(), BACKEND, OPTIONS)).unwrap()
            assert await got.read_piece() == b"a"
            with pytest.raises(aiohttp.ClientPayloadError):
                await got.read_piece()
            assert got.is_end_confirmed

    simulate(scenario)


def test_an_answer_arrives_whole_through_a_node_in_touch() -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"a", b"b"] * WINDOW_PIECES)
        async with site_of(a=answers(answer)) as site:
            request = StubRequest()
            got = (await site.client.send(request, BACKEND, OPTIONS)).unwrap()
            held = await hold_answers().read(got)
            assert (held.data, held.is_whole) == (b"ab" * WINDOW_PIECES, True)
            assert request.arrivals == [True]
            got.close()
            await asyncio.sleep(0.1)
            assert answer.is_closed
            assert site.client.peers.in_flight["a"] == 0

    simulate(scenario)


# Guards against memory that a slow caller takes on two nodes.
def test_an_answer_waits_for_a_caller_that_reads_slowly() -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"x"] * 500)
        async with site_of(a=answers(answer)) as site:
            got = (await site.client.send(StubRequest(), BACKEND, OPTIONS)).unwrap()
            await asyncio.sleep(1.0)
            assert answer.read <= WINDOW_PIECES
            got.close()

    simulate(scenario)


# Guards against a window that long pieces make too large.
def test_long_pieces_wait_for_a_caller_that_reads_slowly() -> None:
    async def scenario() -> None:
        answer = StubAnswer([bytes(WINDOW_BYTES // 2)] * 50)
        async with site_of(a=answers(answer)) as site:
            got = (await site.client.send(StubRequest(), BACKEND, OPTIONS)).unwrap()
            await asyncio.sleep(1.0)
            assert answer.read <= 3
            held = await hold_answers().read(got)
            assert set(held.data) == {0}
            got.close()

    simulate(scenario)


# Guards against a node that waits for a caller of another one without end.
@pytest.mark.parametrize("pauses_s", [0.0, 1.0])
def test_a_relayed_answer_ends_at_its_deadline(pauses_s: float) -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"x"] * 500, pauses_s=pauses_s)
        async with site_of(a=answers(answer)) as site:
            got = (await site.client.send(StubRequest(), BACKEND, OPTIONS)).unwrap()
            await asyncio.sleep(StubRequest().left_s(0.0) + 0.1)
            assert answer.is_closed
            got.close()

    simulate(scenario)


# Guards against work that goes on for a caller that has left.
def test_a_caller_that_leaves_ends_the_attempt_at_the_other_node() -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"x"] * 500, pauses_s=0.1)
        async with site_of(a=answers(answer)) as site:
            got = (await site.client.send(StubRequest(), BACKEND, OPTIONS)).unwrap()
            await got.read_piece()
            got.close()
            await asyncio.sleep(0.2)
            assert answer.is_closed

    simulate(scenario)


# Guards against "not run" for a request that the other node may have sent.
HEADS = {
    "status": (0, []),
    "interim": (103, []),
    "name": (200, [("X Field", "x")]),
    "value": (200, [("X-Field", "a\x01b")]),
    "line": (200, [("X-Field", "a\r\nX-Server-Seal: s")]),
    "lengths": (200, [("Content-Length", "1"), ("Content-Length", "2")]),
    "coding": (200, [("Transfer-Encoding", "x")]),
}


# Guards against the head of another version's node, which checked less.
@pytest.mark.parametrize("kind", HEADS)
def test_a_relayed_answer_with_an_invalid_head_may_have_run(kind: str) -> None:
    async def scenario() -> None:
        status, headers = HEADS[kind]
        answer = StubAnswer([b"x"], status=status, headers=headers)
        async with site_of(a=answers(answer)) as site:
            request = StubRequest()
            got = await site.client.send(request, BACKEND, OPTIONS)
            assert got.unwrap_err().problem is SendProblem.BROKEN
            assert request.arrivals == [True]
            await asyncio.sleep(0.1)
            assert answer.is_closed

    simulate(scenario)


def test_a_relayed_answer_keeps_odd_and_sound_fields() -> None:
    async def scenario() -> None:
        headers = [("X-Field", "caf\udce9"), ("!x", ""), ("Content-Length", "1")]
        answer = StubAnswer([b"x"], status=299, headers=headers)
        async with site_of(a=answers(answer)) as site:
            got = await site.client.send(StubRequest(), BACKEND, OPTIONS)
            assert (got.unwrap().status, got.unwrap().headers) == (299, headers)
            got.unwrap().close()

    simulate(scenario)


def test_a_request_without_a_reply_may_have_run() -> None:
    async def scenario() -> None:
        async with site_of(a=never_answers) as site:
            request = StubRequest()
            got = await site.client.send(request, BACKEND, OPTIONS)
            assert got.unwrap_err().problem is SendProblem.SILENT
            assert request.arrivals == [True]

    simulate(scenario)


def test_a_node_that_dies_midway_leaves_a_request_that_may_have_run() -> None:
    async def scenario() -> None:
        async with site_of(a=never_answers) as site:
            request = StubRequest()
            sending = asyncio.ensure_future(site.client.send(request, BACKEND, OPTIONS))
            await asyncio.sleep(0.1)
            site.network.drop("a:1")
            assert (await sending).unwrap_err().problem.may_have_run
            assert request.arrivals == [True]

    simulate(scenario)


def test_a_refusal_of_the_backend_server_is_passed_on_as_one() -> None:
    async def scenario() -> None:
        async with site_of(a=refuses) as site:
            request = StubRequest()
            got = await site.client.send(request, BACKEND, OPTIONS)
            assert got.unwrap_err().problem is SendProblem.REFUSED
            assert request.arrivals == [False]

    simulate(scenario)


def test_a_connection_that_breaks_midway_is_told_as_lost() -> None:
    async def scenario() -> None:
        async with site_of(a=answers(StubAnswer([b"x"], breaks=True))) as site:
            got = (await site.client.send(StubRequest(), BACKEND, OPTIONS)).unwrap()
            assert await got.read_piece() == b"x"
            with pytest.raises(aiohttp.ClientPayloadError):
                await got.read_piece()

    simulate(scenario)


# Guards against a request that is lost with the first node that is cut off as well.
def test_the_next_node_is_tried_if_one_does_not_reach_the_server_either() -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"x"])
        async with site_of(a=unreachable, b=answers(answer)) as site:
            for _ in range(6):
                request = StubRequest()
                got = await site.client.send(request, BACKEND, OPTIONS)
                assert got.is_ok()
                assert request.arrivals == [True]
                answer.read = 0

    simulate(scenario)


def test_no_node_in_touch_leaves_the_attempt_to_the_caller() -> None:
    async def scenario() -> None:
        async with site_of() as site:
            site.add("a", unreachable, reaches=False)
            assert await site.client.send(StubRequest(), BACKEND, OPTIONS) is None

    simulate(scenario)


# Guards against a connection that a node without these messages would close.
def test_a_node_that_does_not_know_the_messages_is_never_asked() -> None:
    async def scenario() -> None:
        async with site_of() as site:
            site.add("old", answers(StubAnswer([b"x"])), can_relay=False)
            assert await site.client.send(StubRequest(), BACKEND, OPTIONS) is None
            assert site.asked == []

    simulate(scenario)


# Guards against callers of the node in touch who are pushed out by others.
def test_a_node_with_enough_to_do_for_others_takes_no_more() -> None:
    async def scenario() -> None:
        async with site_of(a=answers(StubAnswer([b"x"]))) as site:
            site.servers["a"]._relayed = MAX_RELAYED
            request = StubRequest()
            assert await site.client.send(request, BACKEND, OPTIONS) is None
            assert request.arrivals == []

    simulate(scenario)


# Guards against a second run of a request that may have arrived: only a node that says
# that it knows no such message has certainly not sent it.
def test_a_reply_of_another_kind_does_not_prove_that_nothing_arrived(
    monkeypatch,
) -> None:
    async def replies_oddly(server, message, channel) -> None:
        await channel.send(RelayedEnd())

    monkeypatch.setattr(ExchangeRelayServer, "relay", replies_oddly)

    async def scenario() -> None:
        async with site_of(a=refuses, b=refuses) as site:
            request = StubRequest()
            got = await site.client.send(request, BACKEND, OPTIONS)
            assert got.unwrap_err().problem is SendProblem.BROKEN
            assert request.arrivals == [True]
            assert sum("RelayRequest" in asked for asked in site.asked) == 1

    simulate(scenario)
