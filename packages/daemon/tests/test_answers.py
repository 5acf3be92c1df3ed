"""Every caller gets the whole answer to its own request, or an explicit error."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from memory_site import expected_text, small_site

from fordhatch.core import Ran, ResultCode
from fordhatch.engine import Token


async def doubled(events):
    async for event in events:
        yield event
        yield event


async def reordered(events):
    held = None
    async for event in events:
        is_token = isinstance(event.unwrap(), Token)
        if held is None and is_token and event.unwrap().index % 3 == 0:
            held = event
            continue
        yield event
        if held is not None:
            yield held
            held = None


async def gapped(events):
    async for event in events:
        if not (isinstance(event.unwrap(), Token) and event.unwrap().index == 5):
            yield event


async def truncated(events):
    async for event in events:
        if isinstance(event.unwrap(), Token) and event.unwrap().index < 7:
            yield event


def renamed(**fields):
    async def change(events):
        async for event in events:
            yield event.map(lambda part: attrs.evolve(part, **fields))

    return change


CHANGES = {
    "doubled": doubled,
    "reordered": reordered,
    "gapped": gapped,
    "truncated": truncated,
    "another request's": renamed(request_id="another"),
    "another group's": renamed(group_id="another"),
    "another epoch's": renamed(epoch=99),
}


@pytest.mark.parametrize("name", CHANGES)
def test_stream_faults_do_not_reach_the_caller(virtual, name: str) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.change_next = CHANGES[name]
        done = await site.ask(site.request("dent"))
        assert done.unwrap().text == expected_text("dent")

    virtual(scenario)


@pytest.mark.parametrize("name", ["gapped", "truncated", "another epoch's"])
def test_broken_stream_that_may_not_be_repeated_is_an_explicit_error(
    virtual, name: str
) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.change_next = CHANGES[name]
        request = site.request("dent", repeatable=False)
        failure = (await site.ask(request)).unwrap_err()
        assert failure.ran is Ran.MAYBE
        assert sum(site.engines.executions().values()) == 1

    virtual(scenario)


def test_stream_is_continued_on_another_group_when_a_member_dies(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        asking = asyncio.ensure_future(site.ask(site.request("dent", tokens=400)))
        await asyncio.sleep(1.0)
        busy = next(
            e for e in site.engines.servers.values() if getattr(e, "running", None)
        )
        members = busy.order_in_force.members
        site.engines.down.add(members[3])
        done = await asking
        assert done.unwrap().text == expected_text("dent", 400)
        assert sum(site.engines.executions().values()) == 1, "it started over"

    virtual(scenario)


def test_stream_is_continued_when_its_home_node_dies(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        asking = asyncio.ensure_future(site.ask(site.request("dent", tokens=600), 0))
        await asyncio.sleep(1.0)
        home = next(n for n in site.nodes if n.home.total_in_flight())
        if home is site.nodes[0]:
            # The entry node is the home itself: its callers go down with it.
            asking.cancel()
            return
        await site.kill_node(site.nodes.index(home))
        done = await asking
        assert done.unwrap().text == expected_text("dent", 600)

    virtual(scenario)


def test_caller_that_goes_away_cancels_the_engines_work(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        asking = asyncio.ensure_future(site.ask(site.request("dent", tokens=5000)))
        await asyncio.sleep(1.0)
        asking.cancel()
        await asyncio.sleep(1.0)
        engines = [e for e in site.engines.servers.values() if hasattr(e, "running")]
        assert sum(len(e.running) + len(e.waiting) for e in engines) == 0
        assert sum(n.home.total_in_flight() for n in site.nodes) == 0

    virtual(scenario)


def test_frozen_engine_does_not_hold_a_caller_for_ever(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        asking = asyncio.ensure_future(site.ask(site.request("dent", tokens=400)))
        await asyncio.sleep(1.0)
        busy = next(
            a for a, e in site.engines.servers.items() if getattr(e, "running", 0)
        )
        site.engines.frozen.add(busy)
        done = await asking
        assert done.unwrap().text == expected_text("dent", 400)

    virtual(scenario)


def test_deadline_is_final_and_says_maybe(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        request = site.request("dent", tokens=5000, timeout_s=2.0)
        start_s = asyncio.get_running_loop().time()
        failure = (await site.ask(request)).unwrap_err()
        assert failure.code is ResultCode.DEADLINE_EXCEEDED
        assert failure.ran is Ran.MAYBE
        assert asyncio.get_running_loop().time() - start_s < 2.5

    virtual(scenario)


def test_overload_is_refused_at_once_as_not_run_with_when_to_come_back(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, max_running=2)
        for node in site.nodes:
            node.home.max_queued = 3
        requests = [site.request(f"box {i}", tokens=200) for i in range(60)]
        started_s = asyncio.get_running_loop().time()
        refused_s: list[float] = []

        async def ask(request) -> object:
            done = await site.ask(request)
            if done.is_err():
                refused_s.append(asyncio.get_running_loop().time() - started_s)
            return done

        done = await asyncio.gather(*(ask(r) for r in requests))
        refused = [d.unwrap_err() for d in done if d.is_err()]
        assert refused
        assert len(refused) < 60
        assert {f.code for f in refused} == {ResultCode.OVERLOADED}
        assert all(f.ran is Ran.NO and f.retry_after_s for f in refused)
        assert max(refused_s) < 3.0, "a refusal was held back"
        ran = sum(site.engines.executions().values())
        assert ran == 60 - len(refused)

    virtual(scenario)
