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
from fordhatch.core import Timer
from fordhatch.node._relay_client import ExchangeRelayClient
from fordhatch.node._relay_peers import (
    DENIED_S,
    QUERY_TIMEOUT_S,
    STRAGGLERS_S,
    RelayPeers,
)
from fordhatch.node._relay_server import MAX_RELAYED, ExchangeRelayServer
from fordhatch.node._relayed_answer import WINDOW_PIECES
from fordhatch.protocol.messages import QueryContact, RelayRequest
from fordhatch.registry import NodeAddress
from fordhatch.serving import (
    RequestsInProgress,
    SendFailure,
    SendOptions,
    SendProblem,
)
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryNetwork

BACKEND = BackendServer("b1", "app", "10.0.0.1:1", "z1", BackendState.READY, 4)
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
        directory = SimpleNamespace(
            backends={"b1": BACKEND},
            of_service=lambda _: [BACKEND],
            evacuations=SimpleNamespace(zones=dict),
        )
        state = SimpleNamespace(
            is_leaving=False,
            refusal=lambda: None,
            view=SimpleNamespace(directory=directory),
            requests=RequestsInProgress(peers.timer, lambda: 1),
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
    yield site
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
            assert await got.read_all() == b"ab" * WINDOW_PIECES
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


async def times_of(site: RelaySite, count: int = 1, limit_s: float = 2.0) -> list:
    """Send requests at once; return each result with the time that it took."""

    async def one() -> tuple[object, float]:
        began_s = site.client.timer.now_s()
        options = SendOptions(head_timeout_s=limit_s)
        got = await site.client.send(StubRequest(), BACKEND, options)
        return got, site.client.timer.now_s() - began_s

    return await asyncio.gather(*(one() for _ in range(count)))


# Guards against requests that wait for a node that is stopped, each of them and again
# whenever it is searched for: with one other node, with some, with more than one batch.
@pytest.mark.parametrize("others", [0, 6, 18])
def test_a_stopped_node_is_waited_for_once_and_used_when_it_is_heard_of(others) -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"x"])
        async with site_of(stopped=answers(answer)) as site:
            for n in range(others):
                site.add(f"n{n}", unreachable, reaches=False)
            stopped = site.network.pools["stopped:1"]
            stopped.is_stopped = True
            first = await times_of(site, 20)
            limit_s = QUERY_TIMEOUT_S if others == 0 else STRAGGLERS_S
            assert max(took_s for _, took_s in first) <= limit_s + 0.001
            for _ in range(4):
                await asyncio.sleep(DENIED_S + 0.1)
                assert {(got, took_s) for got, took_s in await times_of(site, 20)} == {
                    (None, 0.0)
                }
            stopped.is_stopped = False
            await asyncio.sleep(DENIED_S + 0.1)
            await times_of(site)
            ((got, _),) = await times_of(site)
            assert got.is_ok()

    simulate(scenario)


# Guards against an answer that comes after the deadline because another node does not
# respond, at any point: the search, the connection, the wait for the head.
@pytest.mark.parametrize("limit_s", [0.02, 0.1, 0.3, 2.0])
@pytest.mark.parametrize("known", [False, True])
def test_an_attempt_ends_in_time_though_the_other_node_is_stopped(
    limit_s, known
) -> None:
    async def scenario() -> None:
        async with site_of(a=never_answers, b=never_answers, c=never_answers) as site:
            for name in site.nodes:
                site.network.pools[f"{name}:1"].is_stopped = True
                if known:
                    site.client.peers.confirm("app", name)
            for _ in range(3):
                for _, took_s in await times_of(site, 5, limit_s):
                    assert took_s <= limit_s + 0.001
            assert site.client.peers.in_touch("app") == []

    simulate(scenario)


# Guards against an attempt that the other node gives up later than this one: that the
# server has not got the request would not be known.
def test_the_other_node_answers_before_this_one_gives_up() -> None:
    async def scenario() -> None:
        async def out_of_time(request, _, options: SendOptions) -> object:
            await asyncio.sleep(options.head_timeout_s)
            return Err(SendFailure(SendProblem.NOT_SENT, "late"))

        async with site_of(a=out_of_time) as site:
            for limit_s in (0.1, 2.0):
                ((got, _),) = await times_of(site, limit_s=limit_s)
                assert got.unwrap_err().problem is SendProblem.NOT_SENT

    simulate(scenario)


# Guards against attempts that stay open for a node that is stopped and reads nothing.
def test_an_attempt_for_a_node_that_reads_nothing_ends_at_the_deadline() -> None:
    async def scenario() -> None:
        answer = StubAnswer([b"x"] * 500)
        async with site_of(a=answers(answer)) as site:
            await site.client.send(StubRequest(), BACKEND, OPTIONS)
            await asyncio.sleep(StubRequest().left_s(0.0) + 0.1)
            assert answer.is_closed
            assert site.servers["a"]._relayed == 0

    simulate(scenario)


# Guards against requests that wait for one search after the other, each for nodes that
# are slow to say that they are cut off as well.
def test_after_a_search_in_vain_the_next_ones_are_not_waited_for() -> None:
    async def scenario() -> None:
        async with site_of() as site:
            for n in range(6):
                site.add(f"n{n}", unreachable, reaches=False)
            assert await times_of(site, 5) == [(None, 0.0)] * 5
            for pool in site.network.pools.values():
                pool.handler = lambda *_: asyncio.sleep(0.2)
            for _ in range(4):
                await asyncio.sleep(DENIED_S + 0.1)
                assert await times_of(site, 5) == [(None, 0.0)] * 5
                assert len(site.client.peers._searches) == 1

    simulate(scenario)
