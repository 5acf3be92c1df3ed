"""Unit tests of small parts of the request path."""

from __future__ import annotations

import random

import attrs
import pytest
from planning_site import BOUNDS, engine_configuration
from serving_site import configuration

from fordhatch.adapter import decode_configuration, decode_settings
from fordhatch.catalog import RouteTarget
from fordhatch.serving import BackendHealth, RetryBudget, RouteTable
from fordhatch.serving._events import EventOrder, EventSplitter, StreamError
from fordhatch.serving._group_progress import GroupProgress, silence_s
from fordhatch.serving._route_table import choose_service


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


def budget(clock: ManualClock, nodes: int = 9) -> RetryBudget:
    return RetryBudget(decode_settings(BOUNDS).bounds, clock, lambda: nodes)


def test_nodes_together_stay_within_the_budget() -> None:
    clock = ManualClock()
    spent = 0
    for _ in range(9):
        one = budget(clock)
        for _ in range(20):
            one.count_first("s")
        while one.spend("s"):
            spent += 1
    assert 0 < spent <= 0.2 * 180 + 136


@pytest.mark.parametrize(("nodes", "slack"), [(7, 132), (68, 300), (195, 496)])
@pytest.mark.parametrize("age_s", [0.0, 20.0])
def test_parts_that_do_not_divide_add_up_to_the_budget(nodes, slack, age_s) -> None:
    """A part of two retries or less on each of many nodes, without requests.

    At the start 0.3 of the slack is allowed, later all of it, and 0.85 of that is used.
    """
    bounds = attrs.evolve(decode_settings(BOUNDS).bounds, retry_slack=slack)
    for seed in range(20):
        rng = random.Random(seed)
        clock = ManualClock()
        spent = 0
        for _ in range(nodes):
            one = RetryBudget(bounds, clock, lambda: nodes, rng.random())
            one.allowed("s")
            clock.at_s += age_s
            while one.spend("s"):
                spent += 1
            clock.at_s -= age_s
        due = 0.85 * slack * (1.0 if age_s else 0.3)
        assert spent <= due + 3.0 * (nodes / 4) ** 0.5
        assert spent >= due - 3.0 * (nodes / 4) ** 0.5
        assert spent <= slack


def test_the_budget_is_renewed_after_its_window() -> None:
    clock = ManualClock()
    one = budget(clock)
    one.allowed("s")
    clock.at_s += 20.0
    while one.spend("s"):
        pass
    clock.at_s += 9.9
    assert not one.spend("s")
    clock.at_s += 0.2
    assert one.spend("s")


def test_a_restarted_node_does_not_spend_its_part_again() -> None:
    clock = ManualClock()
    spent = 0
    for start in range(2):
        for _ in range(9):
            one = budget(clock)
            one.allowed("s")
            clock.at_s += 20.0 if start == 0 else 0.0
            while one.spend("s"):
                spent += 1
            clock.at_s -= 20.0 if start == 0 else 0.0
    assert spent <= 136 * 1.15


def test_a_node_that_left_still_counts_within_the_window() -> None:
    clock = ManualClock()
    nodes = [9]
    one = RetryBudget(decode_settings(BOUNDS).bounds, clock, lambda: nodes[0])
    one.allowed("s")
    clock.at_s += 20.0
    before = one.allowed("s")
    nodes[0] = 3
    assert one.allowed("s") == before
    clock.at_s += 11.0
    assert one.allowed("s") > 2 * before


def test_services_have_budgets_of_their_own() -> None:
    one = budget(ManualClock())
    while one.spend("s"):
        pass
    assert one.spend("other")


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
