"""Detects which of the system's own rows a store restored from a backup has lost.

Only the system writes these rows, and every node that followed them has them. The node
retains them and rewrites them in the store. A row that its author rewrites meanwhile
takes precedence.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fordhatch.adapter import ABSENT, Row, StoreVersion

from ._table_copy import TableCopy
from ._table_source import TableUpdate


@attrs.frozen
class LostRow:
    """A row as it was before the store was restored from a backup."""

    row: Row
    """The row in the node's copy; it may be a removal."""
    found: StoreVersion
    """The row's version in the restored store; ``ABSENT`` if the store lacks it."""


@attrs.frozen
class RestoredTable:
    """The complete table of a restored store, and the rows that it has lost."""

    update: TableUpdate
    """The table to apply, with the lost rows and without the lost removals."""
    lost: Sequence[LostRow]


def restore_lost_rows(update: TableUpdate, copy: TableCopy) -> RestoredTable:
    """Merge the rows that were known before the restore into a table.

    Args:
        update: The complete table in the restored store.
        copy: The node's copy from before the restore.

    Returns:
        The merged table and the rows to rewrite in the store.
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
    merged = {
        **found,
        **{
            entry.row.row_key.key: _with_version_of(entry.row, update) for entry in lost
        },
    }
    for entry in removed:
        del merged[entry.row.row_key.key]
    return RestoredTable(
        attrs.evolve(update, rows=list(merged.values())), [*lost, *removed]
    )


def _with_version_of(row: Row, update: TableUpdate) -> Row:
    return attrs.evolve(row, version=update.version)


def _version_of(row: Row | None) -> StoreVersion:
    return row.version if row is not None else ABSENT
