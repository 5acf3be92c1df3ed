"""No order of rows, snapshots, restores and listings offers an evacuated server."""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordhatch.adapter import (
    BACKENDS_TABLE,
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    Row,
    RowKey,
    StoreVersion,
    evacuation_key,
)
from fordhatch.core import ResultCode, Timer
from fordhatch.registry import (
    SHARED_TABLE,
    Evacuations,
    StoreSource,
    StoreView,
    TableUpdate,
    node_key,
    node_value,
)
from fordhatch.registry import _evacuations as module
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel, entry_fields

ZONES = ("z1", "z2", "z3")
SETTLE_S = 6.0
"""Longer than a lapsed or restored entry is kept."""

CONFIGURATION = json.dumps({"version": 1, "routes": [], "services": []}).encode()


def row(zone: str, number: int, *, is_removed: bool = False) -> Row:
    key = RowKey(OPERATOR_TABLE, evacuation_key(zone))
    return Row(key, StoreVersion(0, number), b"", is_removed)


def update(*rows: Row, number: int, is_whole: bool = False) -> TableUpdate:
    return TableUpdate(rows, StoreVersion(0, number), is_whole)


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    monkeypatch.setattr(
        module, "log_event", lambda event, **fields: found.append((event, fields))
    )
    return found


MAX_CHANGES = 12
changes = st.lists(
    st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=MAX_CHANGES
)
answers = st.lists(
    st.tuples(st.integers(0, MAX_CHANGES), st.integers(0, MAX_CHANGES)), max_size=8
)


@given(changes, answers)
def test_overlapping_answers_end_in_the_state_of_the_store(
    history: list[tuple[str, bool]], spans: list[tuple[int, int]]
) -> None:
    """A late answer that overlaps a newer one must not bring an old row back."""
    rows = [row(z, n, is_removed=gone) for n, (z, gone) in enumerate(history, 1)]
    evacuations, known = Evacuations(), 0
    for begin, end in spans:
        # An answer begins at a version that this node had, and ends anywhere later.
        first = min(begin, known)
        last = min(max(first, end), len(rows))
        evacuations.observe(update(*rows[first:last], number=last))
        known = max(known, last)
        states = {r.row_key.key: r for r in rows[:known]}
        expected = {z for z in ZONES if _is_put(states.get(evacuation_key(z)))}
        assert evacuations.zones() == expected


def _is_put(found: Row | None) -> bool:
    return found is not None and not found.is_removed


def test_a_row_that_a_snapshot_lacks_ends_the_evacuation() -> None:
    evacuations, returned = Evacuations(), []
    evacuations.subscribe_returns(returned.append)
    evacuations.observe(update(row("z1", 1), row("z2", 2), number=2))
    evacuations.observe(update(row("z2", 2), number=5, is_whole=True))
    assert evacuations.zones() == {"z2"}
    assert returned == ["z1"]
    # An answer from before the snapshot is late.
    late = evacuations.observe(update(row("z1", 1), number=2))
    assert not late.rows
    assert evacuations.zones() == {"z2"}


@pytest.mark.parametrize("name", ["", "z" * 201, "z\n1", "z\x7f"])
def test_a_malformed_name_is_logged_once_and_has_no_effect(name: str, logged) -> None:
    evacuations = Evacuations()
    for number in (1, 2):
        evacuations.observe(update(row(name, number), number=number))
    assert not evacuations.zones()
    assert [event for event, _ in logged] == ["zone_unknown"]
    assert logged[0][1]["code"] == int(ResultCode.ZONE_UNKNOWN)


def test_an_unknown_zone_is_logged_once_and_takes_effect_when_it_appears(
    logged,
) -> None:
    evacuations = Evacuations()
    evacuations.observe(update(row("z9", 1), number=1))
    for known in ({"z1"}, {"z1"}, {"z1", "z9"}, {"z1", "z9"}):
        evacuations.report(lambda known=known: known, 0.1)
    assert [event for event, _ in logged] == ["zone_unknown", "zone_evacuated"]
    assert evacuations.is_evacuated("z9")
    evacuations.observe(update(row("z9", 2, is_removed=True), number=2))
    assert logged[-1][0] == "zone_restored"


class Site:
    """A store with a plain server and an open head in each zone, and a view of it."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, CONFIGURATION)
        self.copy = self.model.copy()
        client = MemoryStoreClient(self.model, "n1")
        self.view = StoreView.create(StoreSource(client), Timer.from_seed(1))

    def list_servers(self, zone: str) -> None:
        group = {"name": f"big.{zone}", "epoch": 1, "rank": 0, "state": "open"}
        for name, service, changed in (
            ("p", "app", {}),
            ("e", "llm", {"group": group}),
        ):
            address = f"10.0.{ord(name)}.{zone[1:]}:80"
            entry = entry_fields(service, address, zone=zone, **changed)
            value = json.dumps(entry).encode()
            self.model.put(BACKENDS_TABLE, f"{name}-{zone}", value)

    def do(self, action: str, zone: str) -> None:
        model = self.model
        if action == "evacuate":
            model.put(OPERATOR_TABLE, evacuation_key(zone), b"{}")
        elif action == "restore":
            model.remove(OPERATOR_TABLE, evacuation_key(zone))
        elif action == "list":
            self.list_servers(zone)
        elif action == "unlist":
            model.remove(BACKENDS_TABLE, f"p-{zone}")
            model.remove(BACKENDS_TABLE, f"e-{zone}")
        elif action == "copy":
            self.copy = model.copy()
        elif action == "go back":
            model.restore(self.copy)
        elif action == "forget history":
            model.forget_history()

    def evacuated(self) -> set[str]:
        rows = {name[2] for name in self.model.rows if name[0] == OPERATOR_TABLE}
        return {zone for zone in ZONES if evacuation_key(zone) in rows}

    def served_zones(self) -> set[str]:
        directory = self.view.directory
        heads = directory.open_heads("llm", "big")
        return {b.zone for b in (*directory.plain("app"), *heads)}

    def check(self, *, is_settled: bool) -> None:
        evacuations = self.view.evacuations
        assert not self.served_zones() & evacuations.zones()
        in_use = self.view.directory.in_use("app")
        assert not {b.zone for b in in_use} & evacuations.zones()
        if is_settled:
            assert evacuations.zones() == self.evacuated()
            keys = {name[2] for name in self.model.rows if name[0] == BACKENDS_TABLE}
            listed = {zone for zone in ZONES if f"p-{zone}" in keys}
            assert self.served_zones() == listed - self.evacuated()


ACTIONS = (
    "evacuate",
    "restore",
    "list",
    "unlist",
    "copy",
    "go back",
    "forget history",
)
steps = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.sampled_from(ZONES),
        st.sampled_from((0.0, 0.02, 0.4)),
    ),
    max_size=15,
)


@settings(deadline=None)
@given(steps)
def test_an_evacuated_zone_is_never_offered(
    actions: list[tuple[str, str, float]],
) -> None:
    """Whatever the operators, servers and store do, the view follows the rows."""

    async def scenario() -> None:
        site = Site()
        site.view.start()
        for action, zone, pause_s in actions:
            site.do(action, zone)
            await asyncio.sleep(pause_s)
            site.check(is_settled=False)
        await asyncio.sleep(SETTLE_S)
        site.check(is_settled=True)
        await site.view.close()

    run_in_virtual_time(scenario())


def test_a_node_that_starts_has_the_rows_before_its_configuration() -> None:
    async def scenario() -> None:
        site = Site()
        for zone in ZONES:
            site.list_servers(zone)
        site.do("evacuate", "z2")
        seen = []
        evacuations = site.view.evacuations
        site.view.configuration.subscribe(lambda _: seen.append(evacuations.zones()))
        site.view.start()
        await asyncio.sleep(0.5)
        assert seen == [{"z2"}]
        assert site.served_zones() == {"z1", "z3"}
        await site.view.close()

    run_in_virtual_time(scenario())


def test_an_unknown_zone_is_judged_after_all_tables_are_read(logged) -> None:
    """A node that starts must not call a zone unknown that it has not read yet."""

    async def scenario() -> None:
        site = Site()
        site.list_servers("z1")
        value = node_value("10.0.0.2:1", "z2", 1.0, "s")
        site.model.put(SHARED_TABLE, node_key("n2"), value)
        for zone in ZONES:
            site.do("evacuate", zone)
        site.view.start()
        await asyncio.sleep(1.0)
        await site.view.close()

    run_in_virtual_time(scenario())
    assert [(event, fields["zone"]) for event, fields in logged] == [
        ("zone_evacuated", "z1"),
        ("zone_evacuated", "z2"),
        ("zone_unknown", "z3"),
    ]
