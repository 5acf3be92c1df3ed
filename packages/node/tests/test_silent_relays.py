"""Attempts through other nodes, some of which are stopped or slow to reply."""

from __future__ import annotations

import asyncio

import pytest
from result import Err
from test_relayed_requests import (
    BACKEND,
    OPTIONS,
    RelaySite,
    StubAnswer,
    StubRequest,
    answers,
    never_answers,
    simulate,
    site_of,
    unreachable,
)

from fordhatch.node._relay_peers import DENIED_S, QUERY_TIMEOUT_S, STRAGGLERS_S
from fordhatch.serving import SendFailure, SendOptions, SendProblem


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
