"""Tests of the system's own rows that a restored store has lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fordhatch.adapter import ABSENT, Row, RowKey, StoreVersion
from fordhatch.core import Timer
from fordhatch.registry import RowRestorer, TableCopy, TableUpdate
from fordhatch.registry._lost_rows import restore_lost_rows
from fordhatch.registry._row_restorer import MAX_COPY_AGE_S
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel

TABLE = "t"


def row(key: str, number: int, value: bytes, generation: int = 0) -> Row:
    return Row(RowKey(TABLE, key), StoreVersion(generation, number), value)


def complete(number: int, *rows: Row, generation: int = 0) -> TableUpdate:
    return TableUpdate(rows, StoreVersion(generation, number), is_whole=True)


def known() -> TableCopy:
    """Return a copy with a change, a new row and a removal."""
    copy = TableCopy()
    copy.apply(
        complete(3, row("a", 1, b"old"), row("gone", 2, b"x"), row("same", 3, b"s"))
    )
    gone = Row(RowKey(TABLE, "gone"), StoreVersion(0, 4), b"", is_removed=True)
    later = [gone, row("a", 5, b"new"), row("b", 6, b"b")]
    copy.apply(TableUpdate(later, StoreVersion(0, 6), is_whole=False))
    return copy


def restored() -> TableUpdate:
    """Return the table that the restored store has, without these three."""
    rows = (("a", 1, b"old"), ("gone", 2, b"x"), ("same", 3, b"s"))
    return complete(3, *(row(*r, generation=1) for r in rows), generation=1)


def values(update: TableUpdate) -> dict[str, bytes]:
    return {r.row_key.key: r.value for r in update.rows}


def test_lost_rows_are_kept_and_reported() -> None:
    merged = restore_lost_rows(restored(), known())
    assert values(merged.update) == {"a": b"new", "b": b"b", "same": b"s"}
    lost = {o.row.row_key.key: (o.row.is_removed, o.found) for o in merged.lost}
    assert lost == {
        "a": (False, StoreVersion(1, 1)),
        "b": (False, ABSENT),
        "gone": (True, StoreVersion(1, 2)),
    }


def test_a_row_unknown_to_the_copy_is_kept() -> None:
    update = complete(4, row("new", 4, b"n", generation=1), generation=1)
    merged = restore_lost_rows(update, known())
    assert values(merged.update)["new"] == b"n"


def rows_after_restore(
    meanwhile: Callable[[StoreModel], None], confirmed_ago_s: float = 1.0
) -> dict[str, bytes]:
    """Return the store's rows after a node has rewritten the lost ones."""
    model = StoreModel()

    async def scenario() -> None:
        for key, value in (("a", b"old"), ("gone", b"x"), ("same", b"s")):
            model.put(TABLE, key, value)
        model.generation = 1
        client = MemoryStoreClient(model, "n1")
        await client.read(TABLE, timeout_s=1.0)
        keeper = RowRestorer(client, Timer.from_seed(1))
        copy = known()
        copy.apply(keeper.restore(restored(), copy, confirmed_ago_s=confirmed_ago_s))
        meanwhile(model)
        await asyncio.sleep(3.0)
        await keeper.close()

    run_in_virtual_time(_run(scenario))
    return {name[2]: r.value for name, r in model.rows.items()}


async def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    await scenario()


def test_lost_rows_and_removals_are_rewritten() -> None:
    expected = {"a": b"new", "b": b"b", "same": b"s"}
    assert rows_after_restore(lambda model: None) == expected


def test_a_row_that_its_author_rewrites_takes_precedence() -> None:
    found = rows_after_restore(lambda model: model.put(TABLE, "a", b"newest"))
    assert found == {"a": b"newest", "b": b"b", "same": b"s"}


def test_rows_of_an_old_copy_are_not_rewritten() -> None:
    found = rows_after_restore(lambda model: None, MAX_COPY_AGE_S + 1.0)
    assert found == {"a": b"old", "gone": b"x", "same": b"s"}


def test_lost_rows_are_rewritten_despite_a_lost_answer() -> None:
    def lose_answers(model: StoreModel) -> None:
        model.faults.lost_answers = 1

    assert rows_after_restore(lose_answers) == {"a": b"new", "b": b"b", "same": b"s"}
