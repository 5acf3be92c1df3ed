"""What a restored store has lost of the rows that only the system writes.

Nobody else writes them again, and every node that followed them knows them: they are
kept, and written again. A row that its author writes anew meanwhile goes before.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fordhatch.adapter import ABSENT, Row, StoreVersion

from ._table_copy import TableCopy
from ._table_source import TableUpdate


@attrs.frozen
class LostRow:
    """A row as it was before the store came back from a copy."""

    row: Row
    """As it was known; it may have been removed."""
    found: StoreVersion
    """The version under which the store has it now; ``ABSENT`` where it has none."""


@attrs.frozen
class KeptTable:
    """A whole table of a restored store, with what it has lost."""

    update: TableUpdate
    """The table as it is to be taken."""
    lost: Sequence[LostRow]


def keep_lost_rows(update: TableUpdate, copy: TableCopy) -> KeptTable:
    """Return a table with the rows that were known before it came back older.

    Args:
        update: The whole table, as the restored store has it.
        copy: The table as it was known before.
    """
    found = {row.row_key.key: row for row in update.rows}
    lost = [
        LostRow(known, _version_of(found.get(key)))
        for key, known in copy.rows.items()
        if key not in found or found[key].value != known.value
    ]
    removed = [
        LostRow(row, found[key].version)
        for key, row in copy.removals().items()
        if key in found
    ]
    kept = {
        **found,
        **{one.row.row_key.key: _restamped(one.row, update) for one in lost},
    }
    for one in removed:
        del kept[one.row.row_key.key]
    return KeptTable(attrs.evolve(update, rows=list(kept.values())), [*lost, *removed])


def _restamped(row: Row, update: TableUpdate) -> Row:
    return attrs.evolve(row, version=update.version)


def _version_of(row: Row | None) -> StoreVersion:
    return row.version if row is not None else ABSENT
