"""Tells the other nodes, by rows in the store, of servers that ended under requests."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, CrashKey, CrashRecord, crash_key

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store to take the rows."""

PAUSE_S = 0.1
"""Pause after each call, in which more rows gather: however many contents end servers,
a node makes ten calls a second at the most, and 195 nodes two thirds of what the store
takes of them."""

RETRY_S = 0.25
"""Pause after a call that failed, until the store is back."""

MOST_ROWS = 90
"""Rows in one call; the store takes a hundred."""

MOST_WAITING = 500
"""Rows that wait for the store at the most; the oldest are dropped first."""


@attrs.define(eq=False, repr=False)
class CrashTeller:
    """Writes and removes rows about crashes until the store has taken them."""

    store: StoreClient
    timer: Timer
    _puts: dict[RowKey, bytes] = attrs.field(factory=dict)
    _removes: dict[RowKey, None] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _is_writing: bool = False

    def tell(self, records: Iterable[CrashRecord]) -> None:
        """Write rows as soon as the store takes them."""
        for record in records:
            row = RowKey(SHARED_TABLE, crash_key(*record.key))
            self._removes.pop(row, None)
            self._puts[row] = record.to_bytes()
        self._begin()

    def take_back(self, keys: Iterable[CrashKey]) -> None:
        """Remove rows as soon as the store takes that."""
        for key in keys:
            row = RowKey(SHARED_TABLE, crash_key(*key))
            self._puts.pop(row, None)
            self._removes[row] = None
        self._begin()

    def _begin(self) -> None:
        for waiting in (self._puts, self._removes):
            while len(waiting) > MOST_WAITING:
                row = next(iter(waiting))
                log_event("crash_row_dropped", row=row.key)
                del waiting[row]
        if not self._is_writing and (self._puts or self._removes):
            self._is_writing = True
            self._tasks.spawn(self._write_all(), "tell-crashes")

    async def _write_all(self) -> None:
        try:
            while self._puts or self._removes:
                is_taken = await self._write_some()
                pause_s = PAUSE_S if is_taken else self.timer.jittered(RETRY_S)
                await self.timer.sleep(pause_s)
        finally:
            self._is_writing = False

    async def _write_some(self) -> bool:
        """Write what waits, as much as one call takes; return whether it was taken."""
        puts = dict(list(self._puts.items())[:MOST_ROWS])
        removes = tuple(list(self._removes)[: MOST_ROWS - len(puts)])
        written = await self.store.write({}, puts, removes, timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            error = written.err().message
            rows = len(puts) + len(removes)
            log_event("crashes_not_told", rows=rows, error=error)
            return False
        for row, value in puts.items():
            if self._puts.get(row) == value:
                del self._puts[row]
        for row in removes:
            self._removes.pop(row, None)
        return True

    async def close(self) -> None:
        """Stop writing."""
        await self._tasks.close()
