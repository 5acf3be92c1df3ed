"""A node's copy of a table, as others get it."""

from __future__ import annotations

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
