"""In-memory model of the platform's metadata store."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque

import attrs

from fordhatch.adapter import BACKENDS_TABLE, OPERATOR_TABLE

Name = tuple[str, str, str]
"""Table, part and key of a row."""

EXTERNAL_TABLES = (OPERATOR_TABLE, BACKENDS_TABLE)
"""Tables whose authors, operators and backend servers, rewrite lost rows.

Rows are lost when the store is restored from a backup.
"""


@attrs.define
class StoreFaults:
    """Faults of the store."""

    is_down: bool = False
    """Whether every call is refused without effect."""
    is_silent: bool = False
    """Whether every call is left unanswered, without effect."""
    turned_away: set[str] = attrs.field(factory=set)
    """Names of nodes whose calls are refused, while other nodes are served."""
    lost_answers: int = 0
    """Number of the next writes that are applied but not answered."""
    late_writes: int = 0
    """Number of the next writes that are not answered, and applied later if their
    conditions still hold."""
    late_write_s: float = 2.0
    """Delay of late writes."""
    mutes_watches: bool = False
    """Whether watches receive no changes."""


@attrs.frozen
class StoredRow:
    """A row, or a tombstone for a removed one."""

    name: Name
    version: int
    value: bytes
    is_removed: bool = False


@attrs.frozen(repr=False)
class StoreCopy:
    """Complete state of the store at one time."""

    rows: dict[Name, StoredRow]
    version: int
    history: tuple[StoredRow, ...]
    first_version: int


@attrs.define(eq=False, repr=False)
class StoreModel:
    """Rows, their history, and a version that increases with each transaction."""

    rows: dict[Name, StoredRow] = attrs.field(factory=dict)
    version: int = 0
    generation: int = 0
    """Increases by one each time that the store is restored from a copy."""
    history: deque[StoredRow] = attrs.field(factory=deque)
    first_version: int = 0
    """Version up to which the history has been dropped."""
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    calls: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write one row, on behalf of an operator or backend server."""
        return self.apply({(table, "", key): value}, ())

    def remove(self, table: str, key: str) -> int:
        """Remove one row."""
        return self.apply({}, ((table, "", key),))

    def apply(self, puts: dict[Name, bytes], removes: tuple[Name, ...]) -> int:
        """Change rows in one transaction and return its version."""
        self.version += 1
        for name, value in puts.items():
            self._record(StoredRow(name, self.version, value))
        for name in removes:
            if name in self.rows:
                self._record(StoredRow(name, self.version, b"", is_removed=True))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def _record(self, row: StoredRow) -> None:
        self.history.append(row)
        if row.is_removed:
            del self.rows[row.name]
        else:
            self.rows[row.name] = row

    def forget_history(self) -> None:
        """Drop the history; watches of earlier versions must then reread the table."""
        self.history.clear()
        self.first_version = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of the complete state, to restore later."""
        return StoreCopy(
            dict(self.rows), self.version, tuple(self.history), self.first_version
        )

    def restore(self, copy: StoreCopy) -> list[StoredRow]:
        """Restore the state of a copy and start a new generation.

        Returns:
            Rows of entries and configurations that were changed since the copy, which
            their authors will rewrite.
        """
        found = self.rows
        lost = [row for name, row in found.items() if copy.rows.get(name) != row]
        removed = [
            attrs.evolve(row, is_removed=True)
            for name, row in copy.rows.items()
            if name not in found
        ]
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.history = deque(copy.history)
        self.first_version = copy.first_version
        self.generation += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return [row for row in (*lost, *removed) if row.name[0] in EXTERNAL_TABLES]

    def write_again(
        self, lost: list[StoredRow], within_s: float, rng: random.Random
    ) -> None:
        """Schedule the rewrite of lost rows by their authors, each at a random time.

        Args:
            lost: The rows that ``restore`` has returned.
            within_s: Latest time of a rewrite, in seconds from now.
            rng: Source of the times.
        """
        loop = asyncio.get_running_loop()
        for row in lost:
            restored = self.rows.get(row.name)
            loop.call_later(rng.uniform(0.0, within_s), self._rewrite, row, restored)

    def _rewrite(self, row: StoredRow, restored: StoredRow | None) -> None:
        if self.rows.get(row.name) != restored:
            # The author has written a newer value in the meantime.
            return
        if row.is_removed:
            self.apply({}, (row.name,))
        else:
            self.apply({row.name: row.value}, ())

    def transact_later(
        self,
        expected: dict[Name, int],
        puts: dict[Name, bytes],
        removes: tuple[Name, ...],
    ) -> None:
        """Apply a transaction after ``late_write_s``, if its conditions hold then."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.faults.late_write_s, self.transact, expected, puts, removes
        )

    def transact(
        self,
        expected: dict[Name, int],
        puts: dict[Name, bytes],
        removes: tuple[Name, ...],
    ) -> tuple[int, list[StoredRow]]:
        """Apply a transaction if every expectation holds.

        Returns:
            The new version and no rows, or 0 and the rows that differ.
        """
        current = [self._current(name) for name in expected]
        if any(row.version != expected[row.name] for row in current):
            return 0, current
        return self.apply(puts, removes), []

    def _current(self, name: Name) -> StoredRow:
        return self.rows.get(name, StoredRow(name, 0, b"", is_removed=True))

    def page(
        self, table: str, first_key: str, limit: int, part: str = ""
    ) -> list[StoredRow]:
        """Return rows of one part of a table in key order, starting at a key."""
        found = [
            row
            for name, row in self.rows.items()
            if name[:2] == (table, part) and name[2] >= first_key
        ]
        found.sort(key=lambda row: row.name[2])
        return found[:limit]

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> list[StoredRow] | None:
        """Wait for and return the changes of a table after a version.

        Args:
            table: Name of the table.
            after: Version whose successors are returned.
            wait_s: Maximum time to wait for a change, in seconds.

        Returns:
            The changes, or None if the history no longer covers the version.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._has_changes(table, after):
                    await self._changed.wait()
        # Read after the wait: the client continues from the store's current version,
        # so a change that arrives as the wait ends must be included.
        if not self._has_history_since(after):
            return None
        return [] if self.faults.mutes_watches else self._changed_rows(table, after)

    def _has_history_since(self, after: int) -> bool:
        """Return whether the history covers all changes after a version."""
        return self.first_version <= after <= self.version

    def _has_changes(self, table: str, after: int) -> bool:
        if not self._has_history_since(after):
            return True
        return not self.faults.mutes_watches and bool(self._changed_rows(table, after))

    def _changed_rows(self, table: str, after: int) -> list[StoredRow]:
        return [
            row for row in self.history if row.version > after and row.name[0] == table
        ]
