"""Unit tests of small parts of the request path."""

from __future__ import annotations

import random

import attrs
import pytest
from planning_site import engine_configuration
from serving_site import configuration

from fordhatch.adapter import decode_configuration
from fordhatch.catalog import RouteTarget
from fordhatch.serving import BackendHealth, RouteTable
from fordhatch.serving._route_table import choose_service
from fordhatch.serving.groups._group_progress import GroupProgress, silence_s
from fordhatch.serving.streams._events import EventOrder, EventSplitter, StreamError


@attrs.define
class ManualClock:
    """A timer that tests advance manually."""

    at_s: float = 100.0

    def now_s(self) -> float:
        return self.at_s


def test_only_complete_events_are_returned() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    events = splitter.feed(b"\nid: 2\r\ndata: b\r\n\r\nid: 3\nda")
    assert [e.number for e in events] == [1, 2]
    assert (
        b"".join(e.raw for e in events) == b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
    )
    assert splitter.has_partial_event


def test_events_are_accepted_once_and_in_order() -> None:
    order = EventOrder.from_last_event_id("")
    events = EventSplitter().feed(b"".join(b"id: %d\n\n" % n for n in (1, 2, 2, 1, 3)))
    assert [order.accept(e) for e in events] == [True, True, False, False, True]


def test_a_missing_event_ends_the_run() -> None:
    order = EventOrder.from_last_event_id("4")
    (event,) = EventSplitter().feed(b"id: 6\n\n")
    with pytest.raises(StreamError):
        order.accept(event)


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("app.example", "/get/1?x=/once/", "/get/"),
        ("APP.example:8080", "/once/", "/once/"),
        ("app.example", "/get", None),
        ("app.example", "/gets/", None),
        ("other.example", "/get/1", None),
        ("app.example", "/%67et/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_chosen(host, target, name) -> None:
    table = RouteTable.from_configuration(decode_configuration(configuration()))
    found = table.find(host, target)
    assert (found.prefix if found else None) == name


def test_longer_prefixes_go_first() -> None:
    current = decode_configuration(configuration())
    inner = attrs.evolve(current.routes[0], prefix="/get/inner/")
    table = RouteTable.from_configuration(
        attrs.evolve(current, routes=(*current.routes, inner))
    )
    assert table.find("app.example", "/get/inner/1").prefix == "/get/inner/"


def test_a_target_without_weight_gets_nothing() -> None:
    current = decode_configuration(configuration())
    split = attrs.evolve(
        current.routes[0], targets=(RouteTarget("a", 0), RouteTarget("b", 1))
    )
    rng = random.Random(1)
    assert {choose_service(split, rng) for _ in range(200)} == {"b"}
    none = attrs.evolve(split, targets=(RouteTarget("a", 0),))
    assert choose_service(none, rng) is None


def test_failures_in_a_row_keep_a_backend_avoided_longer() -> None:
    clock = ManualClock()
    health = BackendHealth(clock)
    for _ in range(3):
        health.record_failure("i")
    clock.at_s += 1.5
    assert health.is_avoided("i")
    clock.at_s += 1.0
    assert not health.is_avoided("i")
    health.record_failure("i")
    health.record_success("i", 0.1)
    assert not health.is_avoided("i")


def test_a_slow_head_is_detected_by_its_pauses_for_a_limited_time() -> None:
    clock = ManualClock()
    health = BackendHealth(clock)
    for _ in range(10):
        health.record_event_interval("slow", 0.24, 0.06)
        health.record_event_interval("sound", 0.07, 0.06)
    assert health.slowness("slow") > 3
    assert health.slowness("sound") == 1.0
    clock.at_s += 5
    assert health.slowness("slow") == 1.0


def test_silence_is_measured_over_all_streams_of_a_head() -> None:
    clock = ManualClock()
    progress = GroupProgress(clock)
    first, second = progress.start_run("h"), progress.start_run("h")
    progress.record_event(first, "m")
    clock.at_s += 0.3
    assert progress.silent_for_s("h") == pytest.approx(0.3)
    progress.record_event(second, "m")
    assert progress.silent_for_s("h") == 0.0
    clock.at_s += 0.2
    progress.end_run(first)
    assert progress.silent_for_s("h") == pytest.approx(0.2)
    progress.end_run(second)
    assert progress.silent_for_s("h") == 0.0


def test_waiting_for_the_first_event_does_not_count_as_silence() -> None:
    clock = ManualClock()
    progress = GroupProgress(clock)
    waiting, flowing = progress.start_run("h"), progress.start_run("h")
    clock.at_s += 0.5
    assert progress.silent_for_s("h") == 0.0
    progress.record_event(flowing, "m")
    progress.end_run(flowing)
    clock.at_s += 0.5
    assert progress.silent_for_s("h") == 0.0
    progress.end_run(waiting)


def test_the_wait_for_first_events_grows_with_their_usual_delay() -> None:
    engine = decode_configuration(engine_configuration()).services["llm"].engine
    clock = ManualClock()
    progress = GroupProgress(clock)
    quick_s = progress.first_event_timeout_s(engine, "small")
    assert quick_s > silence_s(engine, "small")
    for _ in range(60):
        run = progress.start_run("h")
        clock.at_s += 0.4
        progress.record_event(run, "small")
        progress.end_run(run)
    assert progress.first_event_timeout_s(engine, "small") == pytest.approx(
        1.2, abs=0.05
    )
    assert progress.first_event_timeout_s(engine, "big") < 1.0


def test_a_working_group_is_never_silent_within_a_forward_pass() -> None:
    services = decode_configuration(engine_configuration()).services
    engine = services["llm"].engine
    for model in engine.models:
        assert silence_s(engine, model.name) > engine.pass_s(engine.slots) * model.pace
