"""What a restored store has lost of the system's own rows."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fordhatch.adapter import ABSENT, Row, RowKey, StoreVersion
from fordhatch.core import Timer
from fordhatch.registry import RowKeeper, TableCopy, TableUpdate
from fordhatch.registry._lost_rows import keep_lost_rows
from fordhatch.registry._row_keeper import KEEP_WITHIN_S
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel

TABLE = "t"


def row(key: str, number: int, value: bytes, generation: int = 0) -> Row:
    return Row(RowKey(TABLE, key), StoreVersion(generation, number), value)


def whole(number: int, *rows: Row, generation: int = 0) -> TableUpdate:
    return TableUpdate(rows, StoreVersion(generation, number), is_whole=True)


def known() -> TableCopy:
    """Return a copy that knows a change, a new row and a removal."""
    copy = TableCopy()
    copy.take(whole(3, row("a", 1, b"old"), row("gone", 2, b"x"), row("same", 3, b"s")))
    gone = Row(RowKey(TABLE, "gone"), StoreVersion(0, 4), b"", is_removed=True)
    later = [gone, row("a", 5, b"new"), row("b", 6, b"b")]
    copy.take(TableUpdate(later, StoreVersion(0, 6), is_whole=False))
    return copy


def restored() -> TableUpdate:
    """Return the table as the store has it before these three."""
    rows = (("a", 1, b"old"), ("gone", 2, b"x"), ("same", 3, b"s"))
    return whole(3, *(row(*r, generation=1) for r in rows), generation=1)


def values(update: TableUpdate) -> dict[str, bytes]:
    return {r.row_key.key: r.value for r in update.rows}


def test_what_was_known_stays_and_is_lost_in_the_store() -> None:
    kept = keep_lost_rows(restored(), known())
    assert values(kept.update) == {"a": b"new", "b": b"b", "same": b"s"}
    lost = {o.row.row_key.key: (o.row.is_removed, o.found) for o in kept.lost}
    assert lost == {
        "a": (False, StoreVersion(1, 1)),
        "b": (False, ABSENT),
        "gone": (True, StoreVersion(1, 2)),
    }


def test_a_row_that_nobody_knew_is_news() -> None:
    update = whole(4, row("new", 4, b"n", generation=1), generation=1)
    kept = keep_lost_rows(update, known())
    assert values(kept.update)["new"] == b"n"


def keep(
    meanwhile: Callable[[StoreModel], None], confirmed_ago_s: float = 1.0
) -> dict[str, bytes]:
    """Return what the store has after a node has kept what it lost."""
    model = StoreModel()

    async def scenario() -> None:
        for key, value in (("a", b"old"), ("gone", b"x"), ("same", b"s")):
            model.put(TABLE, key, value)
        model.generation = 1
        client = MemoryStoreClient(model, "n1")
        await client.read(TABLE, timeout_s=1.0)
        keeper = RowKeeper(client, Timer.from_seed(1))
        copy = known()
        copy.take(keeper.keep(restored(), copy, confirmed_ago_s=confirmed_ago_s))
        meanwhile(model)
        await asyncio.sleep(3.0)
        await keeper.close()

    run_in_virtual_time(_run(scenario))
    return {name[2]: r.value for name, r in model.rows.items()}


async def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    await scenario()


def test_lost_rows_are_written_and_removed_again() -> None:
    expected = {"a": b"new", "b": b"b", "same": b"s"}
    assert keep(lambda model: None) == expected


def test_what_its_author_has_written_anew_goes_before() -> None:
    found = keep(lambda model: model.put(TABLE, "a", b"newest"))
    assert found == {"a": b"newest", "b": b"b", "same": b"s"}


def test_what_was_known_long_ago_is_not_written_again() -> None:
    found = keep(lambda model: None, KEEP_WITHIN_S + 1.0)
    assert found == {"a": b"old", "gone": b"x", "same": b"s"}


def test_lost_rows_are_written_through_lost_answers() -> None:
    def lose_answers(model: StoreModel) -> None:
        model.faults.lost_answers = 1

    assert keep(lose_answers) == {"a": b"new", "b": b"b", "same": b"s"}
