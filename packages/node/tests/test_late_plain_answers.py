"""Answers of plain services that come after a second attempt has begun."""

from __future__ import annotations

import asyncio

import pytest
from raw_caller import Caller, request_bytes, until
from silent_heads import CLOSED_WITHIN_S, earn_retries, refuse, told
from stopping_node import StoppingSite

from fordhatch_standins import http_answer

LATE_S = 0.6
"""Longer than the part of the route's objective that a node waits for a first answer,
much shorter than its callers wait."""


async def refuses(request, writer) -> None:
    refuse(request, writer)


async def fails(request, writer) -> None:
    writer.write(http_answer(request, b"failed", status=500))


async def ends_without_an_answer(request, writer) -> None:
    writer.transport.abort()


async def runs_on(request, writer) -> None:
    await asyncio.sleep(60)


async def answers(request, writer) -> None:
    writer.write(http_answer(request, b"second"))


class TwoServers:
    """Two plain servers; the one that gets a request first is late with its answer."""

    def __init__(self, second, first=None) -> None:
        self.second = second
        self.first = first
        """What the late server does at last; None to answer."""
        self.runs: dict[str, list[object]] = {}

    async def add_to(self, site: StoppingSite) -> None:
        self.servers = [await site.add_backend(self.serve) for _ in range(2)]

    async def serve(self, request, writer) -> None:
        if not request.target.startswith("/get/late"):
            writer.write(http_answer(request, b"at once"))
            return
        runs = self.runs.setdefault(request.request_id, [])
        runs.append(request)
        if len(runs) > 1:
            await self.second(request, writer)
            return
        await asyncio.sleep(60 if self.second is answers else LATE_S)
        if self.first is not None:
            await self.first(request, writer)
            return
        writer.write(http_answer(request, b"first"))


async def ask_late(site: StoppingSite, servers: TwoServers, *, has_retries=True):
    """Send a request whose first server is late; returns its answer and its lines."""
    await servers.add_to(site)
    node = await site.add_node(has_retry_slack=has_retries)
    if has_retries:
        await earn_retries(node, "/get/1")
    caller = await Caller.connect(node)
    answer = await caller.ask("/get/late", "late")
    return answer, await told(node, "late")


# Guards against an answer that is lost because its server took longer than the node
# waits, and the second one couldn't do better.
@pytest.mark.parametrize(
    "second",
    [refuses, fails, ends_without_an_answer, runs_on],
    ids=lambda script: script.__name__,
)
async def test_a_late_answer_reaches_the_caller(tmp_path, second) -> None:
    servers = TwoServers(second)
    async with StoppingSite.start(tmp_path) as site:
        answer, lines = await ask_late(site, servers)
    assert (answer.seen, answer.body) == ((200, "whole"), b"first"), lines
    assert len(servers.runs["late"]) == 2


# Guards against an answer that is lost because its server took longer than the node
# waits, though no retry is left.
async def test_a_late_answer_reaches_the_caller_without_a_retry(tmp_path) -> None:
    servers = TwoServers(refuses)
    async with StoppingSite.start(tmp_path) as site:
        answer, lines = await ask_late(site, servers, has_retries=False)
    assert (answer.seen, answer.body) == ((200, "whole"), b"first"), lines
    assert len(servers.runs["late"]) == 1


# Guards against a late attempt that keeps its caller waiting, or its server at work,
# once the second one has answered.
async def test_a_second_answer_ends_the_late_attempt(tmp_path) -> None:
    servers = TwoServers(answers)
    async with StoppingSite.start(tmp_path) as site:
        answer, lines = await ask_late(site, servers)
        async with asyncio.timeout(CLOSED_WITHIN_S):
            await until(lambda: any("late" in s.left for s in servers.servers))
    assert (answer.seen, answer.body) == ((200, "whole"), b"second"), lines


async def answers_late(request, writer) -> None:
    await asyncio.sleep(LATE_S)
    writer.write(http_answer(request, b"second"))


# Guards against a second attempt that ends because the late one has failed meanwhile.
@pytest.mark.parametrize(
    "first",
    [refuses, fails, ends_without_an_answer],
    ids=lambda script: script.__name__,
)
async def test_a_second_answer_counts_when_the_late_attempt_fails(
    tmp_path, first
) -> None:
    servers = TwoServers(answers_late, first)
    async with StoppingSite.start(tmp_path) as site:
        answer, lines = await ask_late(site, servers)
    assert (answer.seen, answer.body) == ((200, "whole"), b"second"), lines
    assert len(servers.runs["late"]) == 2


# Guards against an attempt that goes on for a caller that has left.
async def test_both_attempts_end_when_the_caller_leaves(tmp_path) -> None:
    servers = TwoServers(runs_on, runs_on)
    async with StoppingSite.start(tmp_path) as site:
        await servers.add_to(site)
        node = await site.add_node()
        await earn_retries(node, "/get/1")
        caller = await Caller.connect(node)
        await caller.send(request_bytes("/get/late", "late"))
        await until(lambda: len(servers.runs.get("late", ())) == 2)
        left = [s.left for s in servers.servers]
        assert not any("late" in ids for ids in left)
        caller.close()
        async with asyncio.timeout(CLOSED_WITHIN_S):
            await until(lambda: all("late" in ids for ids in left))
