"""A node's copy of a store table and its recent changes, which it also serves."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable

import attrs

from fordhatch.adapter import BEFORE_ALL_VERSIONS, Row, StoreVersion

from ._table_source import TableUpdate

HISTORY_ROWS = 2000
"""Number of changes kept for other nodes; a node further behind gets the complete
table. At the design size, 1,200 backend servers, this covers more than a minute."""


@attrs.define(eq=False, repr=False)
class TableCopy:
    """Rows by key and the ordered changes across all generations of the store.

    The generation of the store rises each time it is restored from a backup.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: StoreVersion = BEFORE_ALL_VERSIONS
    """The copy includes all changes up to this version."""
    _history: list[Row] = attrs.field(factory=list)
    """At least the latest ``HISTORY_ROWS`` changes, and at most twice as many."""
    _versions: list[StoreVersion] = attrs.field(factory=list)
    """Versions of the changes in the history, in non-decreasing order."""
    _first_version: StoreVersion = BEFORE_ALL_VERSIONS
    """The history no longer includes changes up to this version."""
    generation_start: StoreVersion = BEFORE_ALL_VERSIONS
    """First version of the current generation that the copy received. Earlier changes
    of this generation are in the history only as differences from the previous copy."""
    _last_versions: dict[int, StoreVersion] = attrs.field(factory=dict)
    """Last version that the copy received of each earlier generation."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, call: Callable[[], None]) -> None:
        """Register a callback that runs after every change."""
        self._subscribers.append(call)

    def is_older(self, update: TableUpdate) -> bool:
        """Return whether an update predates this copy."""
        if update.version.generation < self.version.generation:
            return True
        return update.is_whole and update.version < self.version

    def is_restore(self, update: TableUpdate) -> bool:
        """Return whether the update is of a later generation than this copy.

        The store was restored from a backup in between.
        """
        is_later = update.version.generation > self.version.generation
        return self.version != BEFORE_ALL_VERSIONS and is_later

    def removals(self) -> dict[str, Row]:
        """Return the removed rows by key, as far as the history reaches back."""
        found = {row.row_key.key: row for row in self._history if row.is_removed}
        return {key: row for key, row in found.items() if key not in self.rows}

    def apply(self, update: TableUpdate) -> None:
        """Apply an update from a source and notify the subscribers of changes."""
        is_first = self.version == BEFORE_ALL_VERSIONS
        if self.is_restore(update):
            self._last_versions[self.version.generation] = self.version
            self.generation_start = update.version
        if update.is_whole and is_first:
            self.rows = {row.row_key.key: row for row in update.rows}
            self._first_version = self.generation_start = update.version
            changes: list[Row] = []
        elif update.is_whole:
            changes = self._differences(update)
        else:
            changes = list(update.rows)
        for row in changes:
            self._apply_change(row)
        self.version = max(self.version, update.version)
        if changes or is_first:
            for call in self._subscribers:
                call()

    def _differences(self, update: TableUpdate) -> list[Row]:
        """Convert a complete table to changes, so that other nodes need only those."""
        present = {row.row_key.key for row in update.rows}
        removed = [
            attrs.evolve(row, version=update.version, value=b"", is_removed=True)
            for key, row in self.rows.items()
            if key not in present
        ]
        changed = [
            # A missed change may be earlier than the versions of other nodes' copies.
            # It gets the version of this update, so that they receive it.
            row
            if row.version > max(self.version, self.generation_start)
            else attrs.evolve(row, version=update.version)
            for row in update.rows
            if self._differs(row)
        ]
        return sorted([*changed, *removed], key=lambda row: row.version)

    def _differs(self, row: Row) -> bool:
        """Return whether a row has changed, even if its value is the same again."""
        known = self.rows.get(row.row_key.key)
        if known is None or known.value != row.value:
            return True
        return row.version > max(known.version, self.generation_start)

    def _apply_change(self, row: Row) -> None:
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
        """Return the changes after a version, or the complete table.

        A requester with a later generation gets no rows and the version of this copy.
        """
        if version.generation > self.version.generation:
            return TableUpdate([], self.version, is_whole=False)
        if not self._covers(version):
            return TableUpdate(list(self.rows.values()), self.version, is_whole=True)
        rows = self._history[bisect_right(self._versions, version) :]
        return TableUpdate(_latest_per_row(rows), self.version, is_whole=False)

    def _covers(self, version: StoreVersion) -> bool:
        """Return whether the history holds all changes after a version."""
        if version < self._first_version:
            return False
        if version.generation == self.version.generation:
            return version >= self.generation_start
        last = self._last_versions.get(version.generation)
        return last is not None and version <= last

    def has_changed_after(self, version: StoreVersion) -> bool:
        """Return whether ``after`` would return any row or the complete table."""
        if version.generation > self.version.generation:
            return False
        if version.generation < self.version.generation or not self._covers(version):
            return True
        return bool(self._versions) and self._versions[-1] > version


def _latest_per_row(rows: list[Row]) -> list[Row]:
    """Return the latest change of each row, in order."""
    found: dict[str, Row] = {}
    for row in rows:
        found.pop(row.row_key.key, None)
        found[row.row_key.key] = row
    return list(found.values())
