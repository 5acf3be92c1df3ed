"""A node's copy of a table, with its latest changes, for itself and for others."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable

import attrs

from fordhatch.adapter import NOTHING, Row, StoreVersion

from ._table_source import TableUpdate

HISTORY_ROWS = 2000
"""Changes that are kept for others; whoever is further behind gets the whole table.
At the design size, 1,200 backend servers, this covers more than a minute."""


@attrs.define(eq=False, repr=False)
class TableCopy:
    """Rows by key, and the changes in order, over all generations of the store."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: StoreVersion = NOTHING
    """Changes up to this version are in the copy."""
    _history: list[Row] = attrs.field(factory=list)
    """At least the latest ``HISTORY_ROWS`` changes, and at most twice as many."""
    _versions: list[StoreVersion] = attrs.field(factory=list)
    """Of the changes in the history; they never fall."""
    _first_version: StoreVersion = NOTHING
    """Changes up to this version are no longer in the history."""
    entered: StoreVersion = NOTHING
    """The first version of this generation that the copy had. What changed in it
    before is not in the history by itself, only as what differs from the copy."""
    _left: dict[int, StoreVersion] = attrs.field(factory=dict)
    """The last version of each earlier generation that the copy had."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call back after every change."""
        self._subscribers.append(call)

    def is_older(self, update: TableUpdate) -> bool:
        """Return whether an update is of a time before this copy."""
        if update.version.generation < self.version.generation:
            return True
        return update.is_whole and update.version < self.version

    def crosses(self, update: TableUpdate) -> bool:
        """Return whether the store came back from a copy since this one's version."""
        is_later = update.version.generation > self.version.generation
        return self.version != NOTHING and is_later

    def removals(self) -> dict[str, Row]:
        """Return the rows that are gone by key, as far as that is remembered."""
        found = {row.row_key.key: row for row in self._history if row.is_removed}
        return {key: row for key, row in found.items() if key not in self.rows}

    def take(self, update: TableUpdate) -> None:
        """Take an update from a source."""
        is_first = self.version == NOTHING
        if self.crosses(update):
            self._left[self.version.generation] = self.version
            self.entered = update.version
        if update.is_whole and is_first:
            self.rows = {row.row_key.key: row for row in update.rows}
            self._first_version = self.entered = update.version
            changes: list[Row] = []
        elif update.is_whole:
            changes = self._differences(update)
        else:
            changes = list(update.rows)
        for row in changes:
            self._take_change(row)
        self.version = max(self.version, update.version)
        if changes or is_first:
            for call in self._subscribers:
                call()

    def _differences(self, update: TableUpdate) -> list[Row]:
        """Return a whole table as changes, so that others need not read it whole."""
        present = {row.row_key.key for row in update.rows}
        gone = [
            attrs.evolve(row, version=update.version, value=b"", is_removed=True)
            for key, row in self.rows.items()
            if key not in present
        ]
        changed = [
            # A change that was missed has an earlier version than what others have;
            # it counts from now on.
            row
            if row.version > max(self.version, self.entered)
            else attrs.evolve(row, version=update.version)
            for row in update.rows
            if self._differs(row)
        ]
        return sorted([*changed, *gone], key=lambda row: row.version)

    def _differs(self, row: Row) -> bool:
        """Return whether a row has changed, be it to the value that it has here."""
        known = self.rows.get(row.row_key.key)
        if known is None or known.value != row.value:
            return True
        return row.version > max(known.version, self.entered)

    def _take_change(self, row: Row) -> None:
        newest = self._versions[-1] if self._versions else row.version
        self._history.append(row)
        self._versions.append(max(row.version, newest))
        if len(self._history) > 2 * HISTORY_ROWS:
            self._first_version = self._versions[HISTORY_ROWS - 1]
            del self._history[:HISTORY_ROWS], self._versions[:HISTORY_ROWS]
        if row.is_removed:
            self.rows.pop(row.row_key.key, None)
        else:
            self.rows[row.row_key.key] = row

    def after(self, version: StoreVersion) -> TableUpdate:
        """Return what changed after a version, or everything.

        Who has a later generation gets nothing, under the version that is known here.
        """
        if version.generation > self.version.generation:
            return TableUpdate([], self.version, is_whole=False)
        if not self._covers(version):
            return TableUpdate(list(self.rows.values()), self.version, is_whole=True)
        rows = self._history[bisect_right(self._versions, version) :]
        return TableUpdate(_latest(rows), self.version, is_whole=False)

    def _covers(self, version: StoreVersion) -> bool:
        """Return whether the history holds all changes after a version."""
        if version < self._first_version:
            return False
        if version.generation == self.version.generation:
            return version >= self.entered
        last = self._left.get(version.generation)
        return last is not None and version <= last

    def has_changed_after(self, version: StoreVersion) -> bool:
        """Return whether ``after`` would return any row, or everything."""
        if version.generation > self.version.generation:
            return False
        if version.generation < self.version.generation or not self._covers(version):
            return True
        return bool(self._versions) and self._versions[-1] > version


def _latest(rows: list[Row]) -> list[Row]:
    """Return the last change of each row, in order."""
    found: dict[str, Row] = {}
    for row in rows:
        found.pop(row.row_key.key, None)
        found[row.row_key.key] = row
    return list(found.values())
