"""The backend servers in the directory, for entries and starts of any kind."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import BACKENDS_TABLE, Row, RowKey, StoreVersion
from fordhatch.catalog import BackendServer
from fordhatch.core import Timer
from fordhatch.registry import BackendDirectory
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import backend_entry

BORN_MS = 1_760_000_000_000
SERVICE = "llm"


class Table:
    """A directory that is fed with rows of the backends table."""

    def __init__(self) -> None:
        self.directory = BackendDirectory(Timer.from_seed(1))
        self.version = 0
        self.logged: list[dict[str, object]] = []

    def put(self, key: str, value: bytes) -> None:
        self.version += 1
        row = Row(RowKey(BACKENDS_TABLE, key), StoreVersion(0, self.version), value)
        self.directory.observe_changes([row])

    def remove(self, key: str) -> None:
        self.version += 1
        row = Row(
            RowKey(BACKENDS_TABLE, key),
            StoreVersion(0, self.version),
            b"",
            is_removed=True,
        )
        self.directory.observe_changes([row])

    def listed(self) -> set[str]:
        return {b.registered_id for b in self.directory.backends.values()}

    def starts(self) -> set[int]:
        return {b.born_ms for b in self.directory.backends.values()}


@pytest.fixture
def table() -> Iterator[Table]:
    tables: list[Table] = []

    async def build() -> None:
        tables.append(Table())

    run_in_virtual_time(build())
    yield tables[0]


@pytest.fixture(autouse=True)
def frozen_clock(monkeypatch) -> None:
    monkeypatch.setattr(Timer, "now_s", lambda self: 100.0)


@pytest.fixture(autouse=True)
def logged_events(monkeypatch) -> list[str]:
    found: list[str] = []
    for module in ("_backend_directory",):
        monkeypatch.setattr(
            f"fordhatch.registry.{module}.log_event",
            lambda event, **fields: found.append(event),
        )
    return found


def entry(rank: int = -1, born_ms: int = 0, **changes: object) -> bytes:
    place = {"name": "m.7", "epoch": 7, "rank": rank, "state": "ready"}
    if rank == 0:
        place["state"] = "open"
    fields: dict[str, object] = {"group": place if rank >= 0 else None}
    if born_ms:
        fields["born"] = born_ms
    return backend_entry(SERVICE, "10.0.0.1:80", **{**fields, **changes})


@pytest.mark.parametrize(
    "malformed",
    [b"\xff", b"{}", b"[" * 100_000, entry(state="dancing"), entry(slots="a")],
)
def test_a_malformed_entry_removes_the_backend_server_it_named(
    table, logged_events, malformed
) -> None:
    table.put("i-1", entry())
    table.put("i-2", entry())
    for _ in range(3):
        table.put("i-1", malformed)
        malformed += b" "
    assert table.listed() == {"i-2"}
    assert logged_events.count("backend_unreadable") == 1
    table.put("i-1", entry())
    assert table.listed() == {"i-1", "i-2"}


def test_a_head_with_a_malformed_entry_accepts_no_streams(table) -> None:
    table.put("i-1", entry(rank=0))
    assert len(table.directory.open_heads(SERVICE, "m")) == 1
    table.put("i-1", b"{")
    assert not table.directory.open_heads(SERVICE, "m")
    assert not table.directory.groups(SERVICE)


def test_a_later_start_under_the_same_id_is_another_backend_server(table) -> None:
    ended: list[tuple[BackendServer, bool]] = []
    table.directory.subscribe_removals(
        lambda b, restarted: ended.append((b, restarted))
    )
    table.put("i-1", entry(rank=1, born_ms=BORN_MS))
    (before,) = table.directory.backends.values()
    table.put("i-1", entry(born_ms=BORN_MS + 1))
    (now,) = table.directory.backends.values()
    assert now.backend_id != before.backend_id
    assert now.registered_id == before.registered_id
    assert ended == [(before, True)]


def test_a_group_whose_member_restarted_accepts_no_streams(table) -> None:
    """The head still reports that it is open, but the group makes no progress."""
    table.put("i-0", entry(rank=0, born_ms=BORN_MS))
    table.put("i-1", entry(rank=1, born_ms=BORN_MS))
    table.put("i-1", entry(born_ms=BORN_MS + 1))
    assert not table.directory.open_heads(SERVICE, "m")
    # The same holds if a late order gives the membership to the later start.
    table.put("i-1", entry(rank=1, born_ms=BORN_MS + 1))
    assert not table.directory.open_heads(SERVICE, "m")


def test_a_broken_group_is_removed_with_its_last_member(table) -> None:
    table.put("i-0", entry(rank=0, born_ms=BORN_MS))
    table.put("i-1", entry(rank=1, born_ms=BORN_MS))
    table.put("i-1", entry(born_ms=BORN_MS + 1))
    assert table.directory._broken_groups == {("m.7", 7)}
    table.put("i-0", entry(born_ms=BORN_MS))
    assert table.directory._broken_groups == set()


def test_an_earlier_starts_entry_never_replaces_a_later_ones(table) -> None:
    table.put("i-1", entry(born_ms=BORN_MS + 5))
    table.put("i-1", entry(rank=0, born_ms=BORN_MS))
    assert table.starts() == {BORN_MS + 5}
    table.remove("i-1")
    table.put("i-1", entry(rank=0, born_ms=BORN_MS))
    assert not table.listed()


def test_an_entry_without_start_time_is_rejected_where_most_have_one(table) -> None:
    table.put("i-1", entry())
    for index in range(2, 5):
        table.put(f"i-{index}", entry(born_ms=BORN_MS))
    assert table.listed() == {"i-2", "i-3", "i-4"}
    table.put("i-5", entry())
    assert table.listed() == {"i-2", "i-3", "i-4"}


def test_an_entry_without_start_time_is_rejected_for_an_id_that_had_one(table) -> None:
    table.put("i-1", entry(born_ms=BORN_MS))
    table.put("i-1", entry())
    assert not table.listed()
    table.put("i-1", entry(born_ms=BORN_MS))
    assert table.starts() == {BORN_MS}


def test_one_entry_with_a_start_time_has_no_effect_where_no_other_has_one(
    table,
) -> None:
    table.put("i-1", entry(born_ms=BORN_MS))
    for index in range(2, 6):
        table.put(f"i-{index}", entry())
    assert table.listed() == {"i-1", "i-2", "i-3", "i-4", "i-5"}


def test_an_unchanged_entry_notifies_no_subscriber(table) -> None:
    notified: list[int] = []
    table.directory.subscribe(lambda: notified.append(1))
    table.put("i-1", entry())
    table.put("i-1", entry())
    table.put("i-1", entry(seq=2))
    assert len(notified) == 1


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(["put", "spoil", "remove"]),
        st.integers(-1, 2),
        st.integers(0, 2),
        st.sampled_from(["ready", "draining"]),
        st.integers(6, 7),
    ),
    max_size=40,
)


@given(steps=STEPS)
def test_the_index_agrees_with_a_scan_of_all_entries(steps) -> None:
    table = Table()
    for server, kind, rank, born, state, epoch in steps:
        key = f"i-{server}"
        place = {
            "name": f"m.{epoch}",
            "epoch": epoch,
            "rank": rank,
            "state": "open" if rank == 0 else "ready",
        }
        match kind:
            case "put":
                fields = {"group": place if rank >= 0 else None, "state": state}
                table.put(key, entry(born_ms=BORN_MS + born, **fields))
            case "spoil":
                table.put(key, b"{")
            case _:
                table.remove(key)
    directory = table.directory
    backends = list(directory.backends.values())
    members = [b for b in backends if b.membership is not None]
    keys = {b.membership.key for b in members}
    assert set(directory.groups(SERVICE)) == keys == directory.index.group_keys()
    for key, group in directory.groups(SERVICE).items():
        claimed = {b.membership.rank for b in members if b.membership.key == key}
        assert set(group.members) == claimed
        assert all(m in backends for m in group.members.values())
    heads = {b.backend_id for b in backends if b.accepts_streams}
    found = {h.backend_id for h in directory.index.open_heads(SERVICE, "m")}
    assert found == heads
    assert len(directory.of_service(SERVICE)) == len(backends)
    assert set(map(id, directory.index.at_address("10.0.0.1:80"))) == set(
        map(id, backends)
    )


def test_a_group_object_is_not_modified_by_later_changes(table) -> None:
    """The planner keeps groups for seconds while their members change."""
    table.put("i-0", entry(rank=0))
    table.put("i-1", entry(rank=1))
    kept = table.directory.groups(SERVICE)["m.7", 7]
    table.put("i-0", entry())
    assert kept.head is not None
    assert table.directory.groups(SERVICE)["m.7", 7].head is None
