"""A node's copy of a table, with its latest changes, for itself and for others."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

from fordhatch.adapter import Row

from ._table_source import NOTHING, TableUpdate

HISTORY_ROWS = 2000
"""Changes that are kept for others; whoever is further behind gets the whole table.
At the design size, 1,200 backend servers, this covers more than a minute."""


@attrs.define(eq=False)
class TableCopy:
    """Rows by key, and the changes in order."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = NOTHING
    """Changes up to this version are in the copy."""
    _history: deque[Row] = attrs.field(factory=deque)
    _first_version: int = NOTHING
    """Changes up to this version are no longer in the history."""
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def take(self, update: TableUpdate) -> None:
        """Take an update from a source."""
        if update.is_whole:
            self.rows = {row.row_key.key: row for row in update.rows}
            self._history.clear()
            self._first_version = update.version
        else:
            for row in update.rows:
                self._take_change(row)
        moved = update.is_whole or bool(update.rows)
        self.version = max(self.version, update.version)
        if moved:
            self._changed.set()
            self._changed = asyncio.Event()

    def _take_change(self, row: Row) -> None:
        self._history.append(row)
        if len(self._history) > HISTORY_ROWS:
            self._first_version = self._history.popleft().version
        if row.is_removed:
            self.rows.pop(row.row_key.key, None)
        else:
            self.rows[row.row_key.key] = row

    def after(self, version: int) -> TableUpdate:
        """Return what changed after a version, or everything."""
        if version == NOTHING or version < self._first_version:
            return TableUpdate(list(self.rows.values()), self.version, is_whole=True)
        rows = [row for row in self._history if row.version > version]
        return TableUpdate(rows, self.version, is_whole=False)

    async def wait(self, version: int, wait_s: float) -> TableUpdate:
        """Return what changed after a version, as soon as something has."""
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    found = self.after(version)
                    if found.rows or found.is_whole:
                        return found
                    await self._changed.wait()
        except TimeoutError:
            return self.after(version)
