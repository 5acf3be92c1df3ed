"""Writes rows to the store about backend servers that crashed while running requests.

The other nodes read these rows.
"""

from __future__ import annotations

import json
from collections.abc import Iterable

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import (
    SHARED_TABLE,
    CrashKey,
    CrashRecord,
    crash_key,
    proven_key,
)

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store to accept the rows, in seconds."""

BATCH_PAUSE_S = 0.1
"""Pause after each call, in seconds, during which more rows are collected. However many
contents crash backend servers, a node makes at most ten calls a second, and 195 nodes
use two thirds of the calls that the store accepts from them."""

RETRY_DELAY_S = 0.25
"""Pause after a failed call, in seconds, repeated until the store accepts one."""

MAX_ROWS_PER_CALL = 90
"""Rows in one call; the store accepts a hundred."""

MAX_PENDING_ROWS = 500
"""Maximum of rows that wait for the store; the oldest ones are dropped first."""


@attrs.define(eq=False, repr=False)
class CrashRowWriter:
    """Writes and removes crash rows, retrying until the store has accepted them."""

    store: StoreClient
    timer: Timer
    _puts: dict[RowKey, bytes] = attrs.field(factory=dict)
    _removes: dict[RowKey, None] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _is_writing: bool = False

    def put(self, records: Iterable[CrashRecord]) -> None:
        """Queue rows to be written."""
        for record in records:
            row = RowKey(SHARED_TABLE, crash_key(*record.key))
            self._removes.pop(row, None)
            self._puts[row] = record.to_bytes()
        self._start_writing()

    def put_proofs(self, parts: Iterable[str], node_name: str) -> None:
        """Queue rows that say that parts of prompts crash no backend server."""
        value = json.dumps({"node_name": node_name}).encode()
        for part in parts:
            self._puts[RowKey(SHARED_TABLE, proven_key(part))] = value
        self._start_writing()

    def remove(self, keys: Iterable[CrashKey]) -> None:
        """Queue rows to be removed."""
        for key in keys:
            row = RowKey(SHARED_TABLE, crash_key(*key))
            self._puts.pop(row, None)
            self._removes[row] = None
        self._start_writing()

    def _start_writing(self) -> None:
        for pending in (self._puts, self._removes):
            while len(pending) > MAX_PENDING_ROWS:
                row = next(iter(pending))
                log_event("crash_row_dropped", row=row.key)
                del pending[row]
        if not self._is_writing and (self._puts or self._removes):
            self._is_writing = True
            self._tasks.spawn(self._write_all(), "tell-crashes")

    async def _write_all(self) -> None:
        try:
            while self._puts or self._removes:
                is_written = await self._write_batch()
                pause_s = (
                    BATCH_PAUSE_S if is_written else self.timer.jittered(RETRY_DELAY_S)
                )
                await self.timer.sleep(pause_s)
        finally:
            self._is_writing = False

    async def _write_batch(self) -> bool:
        """Write one call of pending rows; return whether it succeeded."""
        puts = dict(list(self._puts.items())[:MAX_ROWS_PER_CALL])
        removes = tuple(list(self._removes)[: MAX_ROWS_PER_CALL - len(puts)])
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
