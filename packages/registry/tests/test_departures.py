"""Backend servers that announce in responses that they are leaving."""

from __future__ import annotations

import json

import attrs

from fordhatch.adapter import BACKENDS_TABLE, Row, RowKey, StoreVersion
from fordhatch.catalog import BackendState
from fordhatch.registry import BackendDirectory
from fordhatch.registry._departures import DEPARTURE_RETENTION_S
from fordhatch_standins import entry_fields


@attrs.define
class ManualClock:
    at_s: float = 0.0

    def now_s(self) -> float:
        return self.at_s


def row(version: int, **changes: object) -> Row:
    entry = {**entry_fields("app", "10.0.0.1:1"), **changes}
    return Row(
        RowKey(BACKENDS_TABLE, "i-1"),
        StoreVersion(0, version),
        json.dumps(entry).encode(),
    )


def directory() -> tuple[BackendDirectory, ManualClock]:
    clock = ManualClock()
    found = BackendDirectory(clock)
    found.observe_snapshot([row(1)])
    return found, clock


def test_an_announcement_overrides_the_entry_and_is_reported_once() -> None:
    found, _ = directory()
    states = []
    found.subscribe(lambda: states.append(found.backends["i-1"].state))
    assert found.record_departure("i-1")
    assert not found.record_departure("i-1")
    assert not found.record_departure("i-2")
    assert states == [BackendState.DRAINING]
    found.observe_changes([row(2, slots=9)])
    assert found.plain("app") == []
    found.observe_snapshot([row(3, slots=8)])
    assert found.plain("app") == []


def test_a_later_start_under_the_same_id_is_not_leaving() -> None:
    clock = ManualClock()
    found = BackendDirectory(clock)
    found.observe_snapshot([row(1, born=5)])
    found.record_departure("i-1@5")
    found.observe_changes([row(2, born=6)])
    assert [b.backend_id for b in found.plain("app")] == ["i-1@6"]


def test_the_entry_counts_again_after_the_departure_expires() -> None:
    found, clock = directory()
    found.record_departure("i-1")
    clock.at_s = DEPARTURE_RETENTION_S - 1.0
    found.expire_departures()
    assert found.plain("app") == []
    clock.at_s = DEPARTURE_RETENTION_S + 1.0
    found.expire_departures()
    assert [b.backend_id for b in found.plain("app")] == ["i-1"]
