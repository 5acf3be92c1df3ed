"""Backend servers that say in answers that they leave."""

from __future__ import annotations

import json

import attrs

from fordhatch.adapter import BACKENDS_TABLE, Row, RowKey, StoreVersion
from fordhatch.catalog import BackendState
from fordhatch.registry import BackendDirectory
from fordhatch.registry._departures import KEEP_S
from fordhatch_standins import entry_fields


@attrs.define
class HandClock:
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


def directory() -> tuple[BackendDirectory, HandClock]:
    clock = HandClock()
    found = BackendDirectory(clock)
    found.observe_snapshot([row(1)])
    return found, clock


def test_the_word_goes_before_the_entry_and_is_news_once() -> None:
    found, _ = directory()
    told = []
    found.subscribe(lambda: told.append(found.backends["i-1"].state))
    assert found.note_leaving("i-1")
    assert not found.note_leaving("i-1")
    assert not found.note_leaving("i-2")
    assert told == [BackendState.DRAINING]
    found.observe_changes([row(2, slots=9)])
    assert found.plain("app") == []
    found.observe_snapshot([row(3, slots=8)])
    assert found.plain("app") == []


def test_a_later_start_under_the_same_id_does_not_leave() -> None:
    clock = HandClock()
    found = BackendDirectory(clock)
    found.observe_snapshot([row(1, born=5)])
    found.note_leaving("i-1@5")
    found.observe_changes([row(2, born=6)])
    assert [b.backend_id for b in found.plain("app")] == ["i-1@6"]


def test_who_has_not_left_after_minutes_counts_by_its_entry_again() -> None:
    found, clock = directory()
    found.note_leaving("i-1")
    clock.at_s = KEEP_S - 1.0
    found.forget_departures()
    assert found.plain("app") == []
    clock.at_s = KEEP_S + 1.0
    found.forget_departures()
    assert [b.backend_id for b in found.plain("app")] == ["i-1"]
