"""Requests for a model without capacity: held, refused, and sent in order."""

from __future__ import annotations

import asyncio
import math

import aiohttp
import attrs
import pytest
import pytest_asyncio
from serving_site import STREAM_HEADERS, ServingSite, configuration, route
from test_stream_calls import ALL, breaks_within_an_event, streams

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE, decode_configuration
from fordhatch.serving._admission_control import MAX_LINES_PER_S
from fordhatch.serving.groups._head_choice import HeadChoice
from fordhatch.serving.load._memory_need import NO_NEED

GOAL_S = 0.4
SLOTS = 13


@attrs.define
class FixedLoad:
    """Totals of all nodes as a test sets them."""

    in_flight: float = 0.0
    seen_s: float = 0.0
    by_head: dict[str, float] = attrs.field(factory=dict)

    def total_in_flight(self, backend_id: str) -> float:
        return self.by_head.get(backend_id, self.in_flight)

    def age_s(self) -> float:
        return self.seen_s


def control(site: ServingSite):
    return site.callers.dispatch.streams.control


def line(site: ServingSite) -> list[object]:
    states = control(site)._states.values()
    return [held for state in states for held in state.admission.line]


@pytest_asyncio.fixture
async def scarce(site) -> ServingSite:
    """A node whose routes to the engines declare two priorities."""
    stream = {"resumable": True}
    data = configuration(
        2,
        routes=[
            route("/stream/", "streaming", "llm", priority=3, **stream),
            route("/stream-later/", "streaming", "llm", priority=5, **stream),
        ],
    )
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, data)
    await site.until(lambda: site.view.configuration.version == 2)
    control(site).load.shared = FixedLoad()
    return site


def test_routes_that_differ_in_priority_call_for_admission_control() -> None:
    def read(*priorities: int, **changes: object):
        routes = [route(f"/{p}/", "streaming", "llm", priority=p) for p in priorities]
        return decode_configuration(configuration(routes=routes, **changes))

    assert not read(1, 1).has_urgency_classes("llm")
    assert read(1, 2).has_urgency_classes("llm")
    assert not read(1, 2).has_urgency_classes("app")
    # The priority of a workspace alone does not change what its service does.
    tenants = [{"name": "hule", "api-keys": ["k"], "priority": 4}]
    assert not read(1, tenants=tenants).has_urgency_classes("llm")
    assert read(1, 2, tenants=tenants).urgencies("llm") == {1, 2, 4}


async def timed(site: ServingSite, path: str) -> tuple[object, float]:
    began_s = asyncio.get_running_loop().time()
    got = await site.ask(path)
    return got, asyncio.get_running_loop().time() - began_s


async def test_with_one_priority_the_route_decides_the_class_as_before(site) -> None:
    control(site).load.shared = FixedLoad(in_flight=1e6)
    backend = await site.add_backend(streams, group="small.1")
    got = await site.ask("/stream/1")
    assert (got.status, got.body) == (200, ALL)
    assert backend.seen[0].headers["x-urgency-class"] == "0"
    assert not control(site)._states


async def test_the_class_follows_the_urgency_and_a_resumed_stream_is_first(
    scarce,
) -> None:
    first = await scarce.add_backend(breaks_within_an_event, group="small.1")
    second = await scarce.add_backend(streams, group="small.2", zone="z2")
    assert (await scarce.ask("/stream/1")).body == ALL
    assert first.seen[0].headers["x-urgency-class"] == "1"
    assert second.seen[0].headers["x-urgency-class"] == "0"
    assert (await scarce.ask("/stream-later/1")).body == ALL
    seen = [r.headers["x-urgency-class"] for b in (first, second) for r in b.seen[1:]]
    assert "3" in seen


async def test_a_request_that_would_come_too_late_is_refused_at_once(scarce) -> None:
    control(scarce).load.shared.in_flight = 10_000.0
    backend = await scarce.add_backend(streams, group="small.1")
    got, took_s = await timed(scarce, "/stream/1")
    assert got.status == 503
    assert b'"OVERLOADED"' in got.body
    assert b'"ran": "no"' in got.body
    assert took_s < GOAL_S / 4
    assert 0 < float(got.headers["Retry-After"]) <= 2.0 / 3.0
    assert not backend.seen


async def test_a_request_waits_for_room_and_the_urgent_one_is_sent_first(
    scarce,
) -> None:
    load = control(scarce).load.shared
    load.in_flight = 2.0 * SLOTS
    backend = await scarce.add_backend(streams, group="small.1")
    later = asyncio.ensure_future(scarce.ask("/stream-later/1"))
    await scarce.until(lambda: len(line(scarce)) == 1)
    urgent = asyncio.ensure_future(scarce.ask("/stream/1"))
    await scarce.until(lambda: len(line(scarce)) == 2)
    assert [held.rank for held in line(scarce)] == [0, 1]
    # Room in the queue for the more urgent one only.
    load.in_flight = 1.6 * SLOTS
    assert (await urgent).body == ALL
    assert not later.done()
    load.in_flight = 0.0
    assert (await later).body == ALL
    assert len(backend.seen) == 2


async def test_a_caller_that_disconnects_leaves_the_line_at_once(scarce) -> None:
    control(scarce).load.shared.in_flight = 2.0 * SLOTS
    backend = await scarce.add_backend(streams, group="small.1")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.15), aiohttp.ClientSession() as session:
            url = f"http://{scarce.address}/stream/1"
            headers = {**STREAM_HEADERS, "X-Attempt-Id": "gone"}
            await session.post(url, headers=headers)
    # Without leaving, it would stand in the line until its caller's patience is over.
    async with asyncio.timeout(1.0):
        await scarce.until(lambda: not line(scarce))
    assert not control(scarce)._held
    assert not backend.seen


async def test_old_totals_refuse_nothing_while_a_group_is_open(scarce) -> None:
    control(scarce).load.shared = FixedLoad(in_flight=1e6, seen_s=1.5)
    await scarce.add_backend(streams, group="small.1")
    assert (await scarce.ask("/stream/1")).body == ALL


async def test_without_any_group_a_request_is_refused_at_once(scarce) -> None:
    control(scarce).load.shared = FixedLoad(seen_s=math.inf)
    got, took_s = await timed(scarce, "/stream/1")
    assert got.status == 503
    assert b'"NO_GROUP_READY"' in got.body
    assert took_s < GOAL_S / 4


async def test_a_head_with_a_full_queue_is_left_out_while_another_has_room(
    scarce,
) -> None:
    full = await scarce.add_backend(streams, group="small.1", zone="z1")
    free = await scarce.add_backend(streams, group="small.2", zone="z2")
    full_id = next(
        head.backend_id
        for head in scarce.view.directory.open_heads("llm", "small")
        if head.zone == "z1"
    )
    control(scarce).load.shared.by_head[full_id] = 30.0
    for _ in range(6):
        assert (await scarce.ask("/stream/1")).body == ALL
    assert (len(full.seen), len(free.seen)) == (0, 6)


# Guards against requests under admission control that are placed without regard to
# the memory of the groups.
async def test_the_choice_under_admission_control_knows_the_memory_needed(
    scarce, monkeypatch
) -> None:
    needs = []
    choose = HeadChoice.choose

    def record(self, service, model, tried, need=NO_NEED):
        needs.append(need)
        return choose(self, service, model, tried, need)

    monkeypatch.setattr(HeadChoice, "choose", record)
    await scarce.add_backend(streams, group="small.1", zone="z1")
    assert (await scarce.ask("/stream/1")).body == ALL
    assert needs
    assert NO_NEED not in needs


async def test_many_refusals_write_few_lines(scarce, monkeypatch) -> None:
    events, times_s = [], []

    def record(event: str, **fields: object) -> None:
        events.append((event, fields))
        times_s.append(scarce.state.timer.now_s())

    monkeypatch.setattr("fordhatch.serving._admission_control.log_event", record)
    control(scarce).load.shared.in_flight = 10_000.0
    await scarce.add_backend(streams, group="small.1")
    got = await asyncio.gather(*(scarce.ask("/stream/1") for _ in range(30)))
    assert {g.status for g in got} == {503}
    assert events[0][1]["outcome"] == "refused"
    seconds_s = [
        b - a for a, b in zip(times_s, times_s[MAX_LINES_PER_S:], strict=False)
    ]
    assert all(second_s >= 1.0 for second_s in seconds_s)
    left_out = sum(fields["left_out"] for _, fields in events)
    assert len(events) + left_out + control(scarce)._lines.left_out == 30
