"""The platform's metadata store in memory."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque

import attrs

from fordhatch.adapter import BACKENDS_TABLE, OPERATOR_TABLE

Name = tuple[str, str, str]
"""Table, part and key of a row."""

AUTHORS_TABLES = (OPERATOR_TABLE, BACKENDS_TABLE)
"""Tables of those who write again what a restored store has lost."""


@attrs.define
class StoreFaults:
    """What goes wrong with the store."""

    is_down: bool = False
    """Every call is refused, and nothing is done."""
    is_silent: bool = False
    """No call is answered, and nothing is done."""
    turned_away: set[str] = attrs.field(factory=set)
    """Nodes whose calls are refused while others are served."""
    lost_answers: int = 0
    """So many of the next writes are done and not answered."""
    late_writes: int = 0
    """So many of the next writes are not answered, and done later if their conditions
    still hold."""
    late_write_s: float = 2.0
    """How much later."""
    mutes_watches: bool = False
    """Watches hear nothing of changes."""


@attrs.frozen
class StoredRow:
    """A row, or the note that it was removed."""

    name: Name
    version: int
    value: bytes
    is_removed: bool = False


@attrs.frozen(repr=False)
class StoreCopy:
    """Everything that a store held at one moment."""

    rows: dict[Name, StoredRow]
    version: int
    history: tuple[StoredRow, ...]
    first_version: int


@attrs.define(eq=False, repr=False)
class StoreModel:
    """Rows, their history, and a counter that rises with each transaction."""

    rows: dict[Name, StoredRow] = attrs.field(factory=dict)
    version: int = 0
    generation: int = 0
    """Rises by one each time that the store comes back from a copy."""
    history: deque[StoredRow] = attrs.field(factory=deque)
    first_version: int = 0
    """Changes up to this version are no longer known."""
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    calls: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write one row, as an operator or backend server does."""
        return self.apply({(table, "", key): value}, ())

    def remove(self, table: str, key: str) -> int:
        """Remove one row."""
        return self.apply({}, ((table, "", key),))

    def apply(self, puts: dict[Name, bytes], removes: tuple[Name, ...]) -> int:
        """Change rows together; returns the version of the change."""
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
        """Drop the history: watches from before must read the table whole."""
        self.history.clear()
        self.first_version = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of everything, to restore later."""
        return StoreCopy(
            dict(self.rows), self.version, tuple(self.history), self.first_version
        )

    def restore(self, copy: StoreCopy) -> list[StoredRow]:
        """Come back as the store was when it was copied.

        Returns:
            What the authors of entries and configurations have written since: they
            write it again.
        """
        found = self.rows
        lost = [row for name, row in found.items() if copy.rows.get(name) != row]
        gone = [
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
        return [row for row in (*lost, *gone) if row.name[0] in AUTHORS_TABLES]

    def write_again(
        self, lost: list[StoredRow], within_s: float, rng: random.Random
    ) -> None:
        """Have the authors of lost rows write them again, each at its own moment."""
        loop = asyncio.get_running_loop()
        for row in lost:
            restored = self.rows.get(row.name)
            loop.call_later(
                rng.uniform(0.0, within_s), self._write_again, row, restored
            )

    def _write_again(self, row: StoredRow, restored: StoredRow | None) -> None:
        if self.rows.get(row.name) != restored:
            # Its author has written something newer meanwhile.
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
        """Do a transaction later, if its conditions hold then."""
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
        """Return rows of one part of a table from a key on."""
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
        """Return the changes of a table after a version; None if they are forgotten."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._has_news(table, after):
                    await self._changed.wait()
        # Looked up after the wait: a change that came as it ended is not to be skipped,
        # as whoever asked goes on from the store's present version.
        if not self._knows(after):
            return None
        return [] if self.faults.mutes_watches else self._changed_rows(table, after)

    def _knows(self, after: int) -> bool:
        """Return whether the history from a version on is known."""
        return self.first_version <= after <= self.version

    def _has_news(self, table: str, after: int) -> bool:
        if not self._knows(after):
            return True
        return not self.faults.mutes_watches and bool(self._changed_rows(table, after))

    def _changed_rows(self, table: str, after: int) -> list[StoredRow]:
        return [
            row for row in self.history if row.version > after and row.name[0] == table
        ]
