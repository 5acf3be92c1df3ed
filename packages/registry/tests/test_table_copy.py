"""Tests of a node's copy of a table and of the updates that it serves."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import BEFORE_ALL_VERSIONS, Row, RowKey, StoreVersion
from fordhatch.registry import TableCopy, TableUpdate


def at(number: int, generation: int = 0) -> StoreVersion:
    return StoreVersion(generation, number)


def row(key: str, version: int, value: bytes = b"x", generation: int = 0) -> Row:
    return Row(RowKey("t", key), at(version, generation), value)


def complete(version: int, *rows: Row, generation: int = 0) -> TableUpdate:
    return TableUpdate(list(rows), at(version, generation), is_whole=True)


def changes_after(
    copy: TableCopy, version: int, generation: int = 0
) -> dict[str, bytes | None]:
    found = copy.after(at(version, generation))
    assert not found.is_whole
    return {r.row_key.key: None if r.is_removed else r.value for r in found.rows}


def test_a_repeated_full_read_is_relayed_as_changes() -> None:
    copy = TableCopy()
    copy.apply(complete(5, row("a", 3), row("b", 4)))
    copy.apply(complete(9, row("a", 3), row("c", 8)))
    assert changes_after(copy, 5) == {"b": None, "c": b"x"}
    assert copy.after(at(9)).rows == []


def test_a_missed_change_reaches_other_nodes_later() -> None:
    copy = TableCopy()
    copy.apply(complete(5, row("a", 3, b"old")))
    copy.apply(TableUpdate([], at(20), is_whole=False))
    copy.apply(complete(25, row("a", 12, b"new")))
    assert changes_after(copy, 20) == {"a": b"new"}


def test_a_version_before_the_history_gets_the_complete_table() -> None:
    copy = TableCopy()
    copy.apply(complete(5, row("a", 3)))
    assert copy.after(at(4)).is_whole
    assert copy.after(BEFORE_ALL_VERSIONS).is_whole


def test_only_the_latest_change_of_a_row_is_relayed() -> None:
    """A node that is slightly behind must not miss the latest change permanently: its
    next request starts from the version of this answer."""
    copy = TableCopy()
    copy.apply(complete(4, row("a", 1), row("b", 2)))
    copy.apply(TableUpdate([row("a", 6, b"old")], at(6), is_whole=False))
    copy.apply(TableUpdate([row("b", 7, b"b")], at(7), is_whole=False))
    copy.apply(TableUpdate([row("a", 9, b"new")], at(9), is_whole=False))
    assert changes_after(copy, 4) == {"a": b"new", "b": b"b"}
    assert [r.version for r in copy.after(at(4)).rows] == [at(7), at(9)]
    assert changes_after(copy, 6) == {"a": b"new", "b": b"b"}
    assert changes_after(copy, 7) == {"a": b"new"}
    assert changes_after(copy, 9) == {}


@given(
    steps=st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
    asked=st.lists(st.integers(0, 30), max_size=10),
)
def test_a_follower_of_the_changes_equals_the_copy(steps, asked) -> None:
    copy, follower = TableCopy(), TableCopy()
    copy.apply(complete(1, row("a", 1)))
    follower.apply(copy.after(BEFORE_ALL_VERSIONS))
    for version, (key, is_removed) in enumerate(steps, start=2):
        change = Row(RowKey("t", key), at(version), b"%d" % version, is_removed)
        copy.apply(TableUpdate([change], at(version), is_whole=False))
        if version in asked:
            follower.apply(copy.after(follower.version))
            assert follower.rows == copy.rows
    assert copy.has_changed_after(follower.version) == (
        bool(copy.after(follower.version).rows)
    )
    follower.apply(copy.after(follower.version))
    assert follower.rows == copy.rows


def test_a_covered_version_before_a_restore_gets_the_differences() -> None:
    copy = TableCopy()
    copy.apply(complete(8, row("a", 3), row("b", 7, b"lost"), row("c", 8)))
    copy.apply(complete(5, row("a", 3), row("b", 4, b"old"), generation=1))
    assert changes_after(copy, 8) == {"b": b"old", "c": None}
    assert copy.version == at(5, 1)


def test_a_later_version_before_a_restore_gets_the_complete_table() -> None:
    """The follower has changes beyond this copy that the store has lost, and the copy
    does not show which."""
    copy = TableCopy()
    copy.apply(complete(8, row("a", 3)))
    copy.apply(complete(5, row("a", 3), generation=1))
    assert copy.after(at(9)).is_whole
    copy.apply(complete(4, row("a", 3), generation=3))
    assert copy.after(at(5, 2)).is_whole


def test_an_earlier_version_of_the_generation_gets_the_complete_table() -> None:
    """A row may have changed back and forth before the copy entered the generation."""
    copy = TableCopy()
    copy.apply(complete(8, row("a", 3)))
    copy.apply(complete(9, row("a", 9, generation=1), generation=1))
    assert copy.after(at(6, 1)).is_whole
    assert not copy.after(at(9, 1)).is_whole


def test_a_later_generation_gets_no_rows() -> None:
    copy = TableCopy()
    copy.apply(complete(8, row("a", 3)))
    found = copy.after(at(2, 1))
    assert (found.rows, found.version, found.is_whole) == ([], at(8), False)
    assert not copy.has_changed_after(at(2, 1))


@given(
    steps=st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from("xyz-R")), max_size=40
    ),
    asks=st.lists(st.tuples(st.integers(0, 39), st.booleans()), max_size=30),
)
def test_copies_agree_with_the_store_across_restores(steps, asks) -> None:
    """Two copies read the store at independent times, a third one queries either of
    them, and the store is repeatedly restored from a backup."""
    store: list[dict[str, Row]] = [{}]
    generation = 0
    copies = [TableCopy(), TableCopy()]
    follower = TableCopy()
    plan = {}
    for step, which in asks:
        plan.setdefault(step, []).append(which)

    def read(copy: TableCopy) -> None:
        version = at(len(store) - 1, generation)
        rows = [
            Row(r.row_key, at(r.version.number, generation), r.value)
            for r in store[-1].values()
        ]
        copy.apply(TableUpdate(rows, version, is_whole=True))

    for step, (key, what) in enumerate(steps):
        if what == "R":
            del store[len(store) // 2 + 1 :]
            generation += 1
        else:
            rows = {k: r for k, r in store[-1].items() if k != key or what != "-"}
            if what != "-":
                rows[key] = row(key, len(store), what.encode())
            store.append(rows)
        for which in plan.get(step, ()):
            copy = copies[which]
            read(copy)
            update = copy.after(follower.version)
            assert not follower.is_older(update)
            follower.apply(update)
            expected = {k: r.value for k, r in store[-1].items()}
            assert {k: r.value for k, r in copy.rows.items()} == expected
            assert {k: r.value for k, r in follower.rows.items()} == expected
