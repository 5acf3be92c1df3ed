"""Load reports between nodes in one process, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import attrs
import pytest

from fordhatch.core import ResultCode, Timer, metrics
from fordhatch.node import _load_gossip
from fordhatch.node._load_gossip import LoadGossip
from fordhatch.protocol.messages import LoadReport
from fordhatch.registry import NodeAddress
from fordhatch.serving import CollectorChoice, SharedLoad
from fordhatch.serving.load._collector_choice import rank_collectors
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins._memory_network import MemoryNetwork


def address(name: str) -> NodeAddress:
    return NodeAddress(name, f"{name}:1", "z1", 1.0, 0.0)


@attrs.define(eq=False, repr=False)
class Site:
    """Nodes that report to each other, with their requests in flight."""

    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    shared: SimpleNamespace = attrs.field(
        factory=lambda: SimpleNamespace(nodes={n: address(n) for n in "abcdef"})
    )
    gossips: dict[str, LoadGossip] = attrs.field(factory=dict)
    held: contextlib.ExitStack = attrs.field(factory=contextlib.ExitStack)

    def add(self, name: str) -> LoadGossip:
        timer = Timer.from_seed(name)
        pool = self.network.pool(name, address(name).address)
        load = SharedLoad(timer, lambda service: service == "llm")
        gossip = LoadGossip(
            name, SimpleNamespace(shared=self.shared), pool, timer, load,
            CollectorChoice(name),
        )  # fmt: skip

        async def answer(message: object, channel: object) -> None:
            await gossip.receive(message, channel)

        pool.handler = answer
        gossip.start()
        self.gossips[name] = gossip
        return gossip

    def hold(self, name: str, backend_id: str = "i-1", service: str = "llm") -> None:
        load = self.gossips[name].load
        self.held.enter_context(load.counted(service, backend_id, 100))

    async def lose(self, name: str) -> None:
        self.network.drop(address(name).address)
        await self.gossips[name].close()

    def total(self, name: str) -> float:
        return self.gossips[name].load.total_in_flight("i-1")

    def age_s(self, name: str) -> float:
        return self.gossips[name].load.age_s()


def played(steps: Callable[[Site], Awaitable[None]]) -> None:
    async def run() -> None:
        site = Site()
        for name in site.shared.nodes:
            site.add(name)
        try:
            await steps(site)
        finally:
            site.held.close()
            for gossip in site.gossips.values():
                await gossip.close()

    run_in_virtual_time(run())


def in_rank(site: Site) -> list[str]:
    return rank_collectors(site.shared.nodes)


def test_every_node_learns_the_total_of_all() -> None:
    async def steps(site: Site) -> None:
        for name in "abcdef":
            site.hold(name)
        await asyncio.sleep(1.0)
        assert [site.total(name) for name in "abcdef"] == [6.0] * 6
        assert max(site.age_s(name) for name in "abcdef") < 0.5
        assert site.gossips["a"].load.total_tokens("i-1") == 600.0
        site.held.close()
        await asyncio.sleep(2.5)
        messages = site.network.messages
        await asyncio.sleep(5.0)
        assert site.network.messages == messages

    played(steps)


def test_no_message_is_sent_where_no_service_calls_for_it() -> None:
    async def steps(site: Site) -> None:
        for name in "abcdef":
            site.hold(name, service="app")
        await asyncio.sleep(3.0)
        assert site.network.messages == 0

    played(steps)


def test_the_next_in_rank_collects_when_the_collector_is_lost_and_until_it_is_back(
) -> None:  # fmt: skip
    async def steps(site: Site) -> None:
        first, second, *others = in_rank(site)
        for name in "abcdef":
            site.hold(name)
        await asyncio.sleep(1.0)
        await site.lose(first)
        without_s = 0.0
        for _ in range(30):
            await asyncio.sleep(0.05)
            ages_s = [site.age_s(name) for name in others]
            without_s += 0.05 * any(age_s > 1.0 for age_s in ages_s)
        assert without_s <= 0.3
        # The report of the lost node lapses with it.
        await asyncio.sleep(1.0)
        assert {site.total(name) for name in (second, *others)} == {5.0}
        site.add(first)
        site.hold(first)
        await asyncio.sleep(4.0)
        assert {site.total(name) for name in "abcdef"} == {6.0}
        chosen = {g._last_choice for g in _choices(site)}
        assert chosen == {first}

    played(steps)


def _choices(site: Site) -> list[CollectorChoice]:
    return [gossip.collectors for gossip in site.gossips.values()]


def test_a_node_that_reaches_only_the_second_collector_gets_no_partial_totals() -> None:
    """With totals of its own requests only it would fill groups that are full."""

    async def steps(site: Site) -> None:
        first, _, cut, *others = in_rank(site)
        pair = {address(first).address, address(cut).address}
        site.network.cut = lambda a, b: {a, b} == pair
        for name in "abcdef":
            site.hold(name)
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert not site.gossips[cut].load.is_used_for("llm")
        assert {site.total(name) for name in others} == {5.0}

    played(steps)


def test_a_first_collector_that_is_cut_off_does_not_take_the_others_for_idle() -> None:
    async def steps(site: Site) -> None:
        first, *others = in_rank(site)
        for name in "abcdef":
            site.hold(name)
        await asyncio.sleep(1.0)
        site.network.cut = lambda a, b: address(first).address in {a, b}
        await asyncio.sleep(2.0)
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert not site.gossips[first].load.is_used_for("llm")
            assert {site.total(name) for name in others} == {5.0}
        site.network.cut = lambda a, b: False
        await asyncio.sleep(3.5)
        assert {site.total(name) for name in "abcdef"} == {6.0}

    played(steps)


def test_lost_reports_leave_the_last_totals_in_use() -> None:
    async def steps(site: Site) -> None:
        first, _, node, *_ = in_rank(site)
        for name in "abcdef":
            site.hold(name)
        await asyncio.sleep(1.0)
        site.network.cut = lambda a, b: address(node).address in {a, b}
        await asyncio.sleep(0.3)
        assert site.total(first) == 6.0
        assert site.gossips[node].load.is_used_for("llm")
        await asyncio.sleep(1.2)
        assert site.total(first) == 5.0
        assert not site.gossips[node].load.is_used_for("llm")

    played(steps)


def test_a_suspended_node_does_not_use_old_totals_and_keeps_its_collector() -> None:
    async def steps(site: Site) -> None:
        first, _, node, *_ = in_rank(site)
        for name in "abcdef":
            site.hold(name)
        await asyncio.sleep(1.0)
        gossip = site.gossips[node]
        gossip.timer.suspension.total_s += 30.0
        assert not gossip.load.is_used_for("llm")
        await asyncio.sleep(1.0)
        assert gossip.load.is_used_for("llm")
        assert gossip.collectors._last_choice == first

    played(steps)


def test_a_restarted_node_counts_once() -> None:
    async def steps(site: Site) -> None:
        first, _, node, *_ = in_rank(site)
        for name in "abcdef":
            site.hold(name)
        site.hold(node)
        await asyncio.sleep(1.0)
        assert site.total(first) == 7.0
        await site.lose(node)
        site.add(node)
        site.hold(node)
        await asyncio.sleep(0.5)
        assert site.total(first) == 6.0

    played(steps)


def test_a_report_of_a_node_that_is_not_listed_is_refused_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        _load_gossip,
        "log_event",
        lambda event, **fields: logged.append((event, fields)),
    )
    before = metrics.LOAD_REPORTS_REFUSED._value.get()

    async def steps(site: Site) -> None:
        collector = in_rank(site)[0]
        stranger = site.network.pool("stranger", "x:1")
        to = address(collector).address
        report = LoadReport([7, 1, 1])
        for _ in range(3):
            answer = await stranger.request(to, report, 1.0)
            assert answer.unwrap_err().code is ResultCode.LOAD_REPORT_REFUSED
        # A node that is not listed reports nothing.
        unlisted = site.add("unlisted")
        site.hold("unlisted")
        await asyncio.sleep(0.5)
        assert unlisted.collectors._last_choice == ""
        assert not site.gossips[collector]._book.has_reports(0.0)

    played(steps)
    assert metrics.LOAD_REPORTS_REFUSED._value.get() - before == 3
    fields = {"peer": "stranger", "code": "LOAD_REPORT_REFUSED"}
    assert logged == [("load_report_refused", fields)]
