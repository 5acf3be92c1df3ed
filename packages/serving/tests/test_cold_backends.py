"""Which backend servers a node takes for cold, and until when."""

from __future__ import annotations

import pytest
from cold_nodes import COLD_S, NodeClock, cold_backends, configuration, row

from fordhatch.adapter import BackendReport
from fordhatch.catalog import Backpressure
from fordhatch.core import metrics
from fordhatch.serving.limits import (
    BackpressureTracker,
    ColdBackends,
    ColdReport,
    _cold_backends,
)
from fordhatch.serving.limits._cold_backends import MAX_COLD_S, MAX_LOGGED_CHANGES

COLD = "cold-left-ms"


def is_cold(cold: ColdBackends, name: str = "i-1") -> bool:
    backend = cold.directory.backends[name]
    limit_per_s = cold.limit_per_s(backend, cold.timer.now_s())
    assert limit_per_s in (None, 17.0)
    return limit_per_s is not None


def answer(cold: ColdBackends, left_s: float) -> None:
    cold.observe_answer(cold.directory.backends["i-1"], left_s)


def unreadable(source: str) -> float:
    return metrics.COLD_UNREADABLE.labels(source)._value.get()


def test_a_first_table_of_warm_servers_presumes_nothing() -> None:
    assert not is_cold(cold_backends(NodeClock()))


def test_a_listed_server_is_cold_for_the_time_in_its_entry() -> None:
    clock = NodeClock()
    cold = cold_backends(clock, **{COLD: 2000})
    assert is_cold(cold)
    clock.true_s = 1.99
    assert is_cold(cold)
    clock.true_s = 2.01
    assert not is_cold(cold)


def test_a_restarted_server_is_cold_though_its_earlier_start_was_warm() -> None:
    cold = cold_backends(NodeClock(), born=5)
    cold.directory.observe_changes([row(2, born=6, **{COLD: 3000})])
    assert is_cold(cold, "i-1@6")


def test_the_most_recent_observation_counts() -> None:
    clock = NodeClock(true_s=10.0)
    cold = cold_backends(clock)
    answer(cold, 5.0)
    assert not cold.observe("i-1", ColdReport(9.0, 0.0))
    assert is_cold(cold)
    # An entry written before the answer arrives after it.
    clock.true_s = 10.3
    cold.directory.observe_changes([row(2)])
    assert is_cold(cold)
    answer(cold, 0.0)
    assert not is_cold(cold)
    assert cold.observe("i-1", ColdReport(10.4, 1.0))
    assert is_cold(cold)


def test_coldness_at_any_moment_without_a_start_is_told_once() -> None:
    cold, told = cold_backends(NodeClock()), []
    cold.subscribe(told.append)
    for left_s in (3.0, 2.9, 2.8):
        answer(cold, left_s)
    assert [state.backend_id for state in told] == ["i-1"]
    assert is_cold(cold)


def test_a_zone_that_returns_is_presumed_cold_until_an_answer() -> None:
    clock = NodeClock()
    cold = cold_backends(clock)
    cold.directory.observe_changes([row(2, "i-2", zone="z2")])
    clock.true_s = 60.0
    cold.presume_zone_cold("z1")
    assert (is_cold(cold), is_cold(cold, "i-2")) == (True, False)
    clock.true_s += COLD_S - 0.1
    assert is_cold(cold)
    answer(cold, 0.0)
    assert not is_cold(cold)


@pytest.mark.parametrize("value", [-1, "soon", None, True, 1e300, 10**400, [3]])
def test_a_malformed_entry_makes_its_server_cold_once(value: object) -> None:
    """The server is used, other servers are not affected, and a line is counted."""
    clock, before = NodeClock(), unreadable("entry")
    cold = cold_backends(clock)
    rows = [row(2, **{COLD: value}), row(3, "i-2")]
    cold.directory.observe_changes(rows)
    assert (is_cold(cold), is_cold(cold, "i-2")) == (True, False)
    assert unreadable("entry") == before + 1
    clock.true_s = COLD_S + 0.1
    cold.directory.observe_changes([row(4, seq=2, **{COLD: value})])
    assert not is_cold(cold)
    assert len(cold.directory.plain("app")) == 2


def test_a_malformed_entry_is_rejected_where_no_service_has_a_limit() -> None:
    cold = cold_backends(NodeClock(), cold_per_s=0.0)
    cold.directory.observe_changes([row(2, **{COLD: -1})])
    assert cold.directory.plain("app") == []


def test_an_entry_that_comes_before_the_configuration_counts() -> None:
    cold = cold_backends(NodeClock(), **{COLD: 2000})
    late = ColdBackends(cold.timer, cold.directory)
    assert late.observe_entry(cold.directory.backends["i-1"])
    assert late.limit_per_s(cold.directory.backends["i-1"], 0.0) is None
    late.apply_configuration(configuration(17.0))
    assert is_cold(late)


def test_a_decreasing_cold_time_changes_nothing_else() -> None:
    cold = cold_backends(NodeClock(), **{COLD: 3000})
    directory, called = cold.directory, []
    directory.subscribe_changes(called.append)
    version = directory.version
    for left_ms in (2000, 1000, 0):
        directory.observe_changes([row(4, **{COLD: left_ms})])
    assert (directory.version, called) == (version, [])
    assert is_cold(cold)


def test_a_cold_time_of_a_day_counts_for_a_minute() -> None:
    clock = NodeClock()
    cold = cold_backends(clock, **{COLD: 86_400_000})
    clock.true_s = MAX_COLD_S + 0.1
    assert not is_cold(cold)


def test_health_answers_count_for_the_start_that_sent_them() -> None:
    cold = cold_backends(NodeClock(), born=5)
    said = Backpressure(cold_left_s=2.0)
    other = BackendReport(born_ms=6, backpressure=said)
    cold.observe_health("10.0.0.1:1", "i-1", other)
    assert not is_cold(cold, "i-1@5")
    cold.observe_health(
        "10.0.0.1:1", "i-1", BackendReport(pace=1.0, born_ms=5, backpressure=said)
    )
    assert is_cold(cold, "i-1@5")


def test_a_malformed_answer_is_counted_and_ignored() -> None:
    cold, before = cold_backends(NodeClock()), unreadable("answer")
    tracker = BackpressureTracker(cold.timer, cold.directory, cold)
    backend = cold.directory.backends["i-1"]
    tracker.process_answer(backend, Backpressure(is_cold_unreadable=True))
    assert not is_cold(cold)
    assert unreadable("answer") == before + 1


def test_without_a_limit_for_cold_servers_nothing_is_kept_or_blocked() -> None:
    cold = cold_backends(NodeClock(), cold_per_s=0.0, **{COLD: 3000})
    tracker = BackpressureTracker(cold.timer, cold.directory, cold)
    backend = cold.directory.backends["i-1"]
    before = unreadable("answer")
    tracker.process_answer(backend, Backpressure(cold_left_s=3.0))
    tracker.process_answer(backend, Backpressure(is_cold_unreadable=True))
    assert unreadable("answer") == before
    cold.presume_zone_cold("z1")
    assert not cold.is_active
    assert (cold.states(), cold._reports, tracker._by_backend) == ([], {}, {})
    assert not tracker.blocked_backends()


def test_lines_about_a_returning_zone_are_bounded(monkeypatch) -> None:
    lines = []
    monkeypatch.setattr(
        _cold_backends, "log_event", lambda event, **fields: lines.append(event)
    )
    cold = cold_backends(NodeClock())
    names = [f"i-{n}" for n in range(200)]
    cold.directory.observe_changes([row(2, name) for name in names])
    cold.presume_zone_cold("z1")
    assert lines == ["backend_cold"] * MAX_LOGGED_CHANGES
