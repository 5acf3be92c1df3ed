"""A node's copy of a table, as others get it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import NOTHING, Row, RowKey, StoreVersion
from fordhatch.registry import TableCopy, TableUpdate


def at(number: int, generation: int = 0) -> StoreVersion:
    return StoreVersion(generation, number)


def row(key: str, version: int, value: bytes = b"x", generation: int = 0) -> Row:
    return Row(RowKey("t", key), at(version, generation), value)


def whole(version: int, *rows: Row, generation: int = 0) -> TableUpdate:
    return TableUpdate(list(rows), at(version, generation), is_whole=True)


def seen_by(
    copy: TableCopy, version: int, generation: int = 0
) -> dict[str, bytes | None]:
    found = copy.after(at(version, generation))
    assert not found.is_whole
    return {r.row_key.key: None if r.is_removed else r.value for r in found.rows}


def test_a_table_that_is_read_again_comes_to_others_as_changes() -> None:
    copy = TableCopy()
    copy.take(whole(5, row("a", 3), row("b", 4)))
    copy.take(whole(9, row("a", 3), row("c", 8)))
    assert seen_by(copy, 5) == {"b": None, "c": b"x"}
    assert copy.after(at(9)).rows == []


def test_a_change_that_was_missed_reaches_others_late_but_for_certain() -> None:
    copy = TableCopy()
    copy.take(whole(5, row("a", 3, b"old")))
    copy.take(TableUpdate([], at(20), is_whole=False))
    copy.take(whole(25, row("a", 12, b"new")))
    assert seen_by(copy, 20) == {"a": b"new"}


def test_who_is_further_back_than_the_history_gets_everything() -> None:
    copy = TableCopy()
    copy.take(whole(5, row("a", 3)))
    assert copy.after(at(4)).is_whole
    assert copy.after(NOTHING).is_whole


def test_of_several_changes_of_a_row_others_get_the_last() -> None:
    """A node that is a moment behind must not miss the newest for good: it asks for
    what changed after the version of this answer next."""
    copy = TableCopy()
    copy.take(whole(4, row("a", 1), row("b", 2)))
    copy.take(TableUpdate([row("a", 6, b"old")], at(6), is_whole=False))
    copy.take(TableUpdate([row("b", 7, b"b")], at(7), is_whole=False))
    copy.take(TableUpdate([row("a", 9, b"new")], at(9), is_whole=False))
    assert seen_by(copy, 4) == {"a": b"new", "b": b"b"}
    assert [r.version for r in copy.after(at(4)).rows] == [at(7), at(9)]
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
    follower.take(copy.after(NOTHING))
    for version, (key, is_removed) in enumerate(steps, start=2):
        change = Row(RowKey("t", key), at(version), b"%d" % version, is_removed)
        copy.take(TableUpdate([change], at(version), is_whole=False))
        if version in asked:
            follower.take(copy.after(follower.version))
            assert follower.rows == copy.rows
    assert copy.has_changed_after(follower.version) == (
        bool(copy.after(follower.version).rows)
    )
    follower.take(copy.after(follower.version))
    assert follower.rows == copy.rows


def test_who_knew_as_much_before_a_return_gets_what_differs_since() -> None:
    copy = TableCopy()
    copy.take(whole(8, row("a", 3), row("b", 7, b"lost"), row("c", 8)))
    copy.take(whole(5, row("a", 3), row("b", 4, b"old"), generation=1))
    assert seen_by(copy, 8) == {"b": b"old", "c": None}
    assert copy.version == at(5, 1)


def test_who_knew_more_before_a_return_gets_everything() -> None:
    """What it had beyond this copy was lost, and nobody here can tell what that is."""
    copy = TableCopy()
    copy.take(whole(8, row("a", 3)))
    copy.take(whole(5, row("a", 3), generation=1))
    assert copy.after(at(9)).is_whole
    copy.take(whole(4, row("a", 3), generation=3))
    assert copy.after(at(5, 2)).is_whole


def test_who_came_into_a_generation_earlier_gets_everything() -> None:
    """A row may have changed to and fro before this copy came into it."""
    copy = TableCopy()
    copy.take(whole(8, row("a", 3)))
    copy.take(whole(9, row("a", 9, generation=1), generation=1))
    assert copy.after(at(6, 1)).is_whole
    assert not copy.after(at(9, 1)).is_whole


def test_who_is_a_generation_ahead_is_told_nothing() -> None:
    copy = TableCopy()
    copy.take(whole(8, row("a", 3)))
    found = copy.after(at(2, 1))
    assert (found.rows, found.version, found.is_whole) == ([], at(8), False)
    assert not copy.has_changed_after(at(2, 1))


@given(
    steps=st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from("xyz-R")), max_size=40
    ),
    asks=st.lists(st.tuples(st.integers(0, 39), st.booleans()), max_size=30),
)
def test_copies_agree_with_the_store_over_its_returns(steps, asks) -> None:
    """Pattern: two copies read the store at moments of their own, a third one asks
    either of them, and the store comes back older now and then."""
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
        copy.take(TableUpdate(rows, version, is_whole=True))

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
            follower.take(update)
            expected = {k: r.value for k, r in store[-1].items()}
            assert {k: r.value for k, r in copy.rows.items()} == expected
            assert {k: r.value for k, r in follower.rows.items()} == expected
