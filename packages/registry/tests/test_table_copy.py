"""A node's copy of a table, as others get it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import Row, RowKey
from fordhatch.registry import TableCopy, TableUpdate


def row(key: str, version: int, value: bytes = b"x") -> Row:
    return Row(RowKey("t", key), version, value)


def whole(version: int, *rows: Row) -> TableUpdate:
    return TableUpdate(list(rows), version, is_whole=True)


def seen_by(copy: TableCopy, version: int) -> dict[str, bytes | None]:
    found = copy.after(version)
    assert not found.is_whole
    return {r.row_key.key: None if r.is_removed else r.value for r in found.rows}


def test_a_table_that_is_read_again_comes_to_others_as_changes() -> None:
    copy = TableCopy()
    copy.take(whole(5, row("a", 3), row("b", 4)))
    copy.take(whole(9, row("a", 3), row("c", 8)))
    assert seen_by(copy, 5) == {"b": None, "c": b"x"}
    assert copy.after(9).rows == []


def test_a_change_that_was_missed_reaches_others_late_but_for_certain() -> None:
    copy = TableCopy()
    copy.take(whole(5, row("a", 3, b"old")))
    copy.take(TableUpdate([], 20, is_whole=False))
    copy.take(whole(25, row("a", 12, b"new")))
    assert seen_by(copy, 20) == {"a": b"new"}


def test_who_is_further_back_than_the_history_gets_everything() -> None:
    copy = TableCopy()
    copy.take(whole(5, row("a", 3)))
    assert copy.after(4).is_whole
    assert copy.after(-1).is_whole


def test_of_several_changes_of_a_row_others_get_the_last() -> None:
    """A node that is a moment behind must not miss the newest for good: it asks for
    what changed after the version of this answer next."""
    copy = TableCopy()
    copy.take(whole(4, row("a", 1), row("b", 2)))
    copy.take(TableUpdate([row("a", 6, b"old")], 6, is_whole=False))
    copy.take(TableUpdate([row("b", 7, b"b")], 7, is_whole=False))
    copy.take(TableUpdate([row("a", 9, b"new")], 9, is_whole=False))
    assert seen_by(copy, 4) == {"a": b"new", "b": b"b"}
    assert [r.version for r in copy.after(4).rows] == [7, 9]
    assert seen_by(copy, 6) == {"a": b"new", "b": b"b"}
    assert seen_by(copy, 7) == {"a": b"new"}
    assert seen_by(copy, 9) == {}


@given(
    steps=st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
    asked=st.lists(st.integers(0, 30), max_size=10),
)
def test_whoever_follows_the_changes_knows_what_the_copy_knows(steps, asked) -> None:
    copy, follower = TableCopy(), TableCopy()
    copy.take(whole(1, row("a", 1)))
    follower.take(copy.after(-1))
    for version, (key, is_removed) in enumerate(steps, start=2):
        change = Row(RowKey("t", key), version, b"%d" % version, is_removed)
        copy.take(TableUpdate([change], version, is_whole=False))
        if version in asked:
            follower.take(copy.after(follower.version))
            assert follower.rows == copy.rows
    assert copy.has_changed_after(follower.version) == (
        bool(copy.after(follower.version).rows)
    )
    follower.take(copy.after(follower.version))
    assert follower.rows == copy.rows
