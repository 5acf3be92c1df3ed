"""Follows one table of the store."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import Row, StoreClient
from fordhatch.core import Failure, ResultCode, Timer, log_event

READ_TIMEOUT_S = 1.5
"""Longest wait for a full read; the store answers in 4 ms when it is well, and in
some hundred when it is slow."""

WATCH_SLACK_S = 0.6
"""What a watch may take beyond the wait that it asked for."""

RETRY_FIRST_S = 0.05
"""Pause after the first failed call."""

RETRY_MOST_S = 0.4
"""Longest pause between failed calls, so that the return of the store is seen well
within the second or two that entries take to come back."""

OUTAGE_AFTER_S = 1.0
"""Calls that fail for this long mean that the store is away, and not a single
answer lost."""

OnRows = Callable[[Sequence[Row]], None]


@attrs.define(eq=False)
class TableFollower:
    """Keeps up with a table by one full read and then by its changes."""

    table: str
    store: StoreClient
    timer: Timer
    on_snapshot: OnRows
    """Called with every row of the table."""
    on_changes: OnRows
    """Called with changed rows, in order."""
    wait_s: float
    """How long the store may hold a watch without changes."""
    gather_s: float = 0.0
    """Pause between watches in which changes gather; saves calls."""
    version: int = 0
    """Changes up to this version of the store have been seen; 0 before the first
    read."""
    confirmed_s: float = -math.inf
    """When the last successful call was sent: what is known is at least as new."""
    _failing_since_s: float | None = None
    _failures: int = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read at all."""
        return self.version > 0

    def age_s(self) -> float:
        """Return the age of what is known, in seconds."""
        return self.timer.now_s() - self.confirmed_s

    async def run(self) -> None:
        """Follow the table until cancelled."""
        must_read = True
        while True:
            sent_s = self.timer.now_s()
            done = await (self._read() if must_read else self._watch())
            if done.is_ok():
                self._succeeded(sent_s)
                must_read = False
                if self.gather_s:
                    await self.timer.sleep(self.gather_s)
                continue
            failure = done.unwrap_err()
            if failure.code is ResultCode.STORE_HISTORY_GONE:
                log_event("store_history_gone", table=self.table, after=self.version)
                must_read = True
                continue
            # A full read after trouble also finds what a silent watch has missed.
            must_read = True
            self._failed(failure)
            await self.timer.sleep(self._pause_s())

    def _pause_s(self) -> float:
        pause_s = RETRY_FIRST_S * 2 ** min(self._failures - 1, 8)
        return self.timer.jittered(min(pause_s, RETRY_MOST_S))

    def _succeeded(self, sent_s: float) -> None:
        if self._failing_since_s is not None:
            log_event(
                "store_regained",
                table=self.table,
                away_s=round(self.timer.now_s() - self._failing_since_s, 3),
            )
        self._failing_since_s = None
        self._failures = 0
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def _failed(self, failure: Failure) -> None:
        self._failures += 1
        if self._failing_since_s is None:
            self._failing_since_s = self.timer.now_s()
            log_event("store_lost", table=self.table, reason=failure.message)

    def is_after_outage(self) -> bool:
        """Return whether the call that just succeeded ended an outage."""
        if self._failing_since_s is None:
            return False
        return self.timer.now_s() - self._failing_since_s >= OUTAGE_AFTER_S

    async def _read(self) -> Result[None, Failure]:
        rows: list[Row] = []
        version = 0
        first_key = ""
        while True:
            page = await self.store.read(
                self.table, first_key=first_key, timeout_s=READ_TIMEOUT_S
            )
            if page.is_err():
                return Err(page.unwrap_err())
            found = page.unwrap()
            # Later pages are newer; watching from the first page's moment on
            # brings whatever changed between the pages.
            version = version or found.version
            rows.extend(found.rows)
            if not found.has_more or not found.rows:
                break
            first_key = found.rows[-1].row_key.key + "\0"
        self.on_snapshot(rows)
        self.version = version
        return Ok(None)

    async def _watch(self) -> Result[None, Failure]:
        changed = await self.store.watch(
            self.table,
            self.version,
            wait_s=self.wait_s,
            timeout_s=self.wait_s + WATCH_SLACK_S,
        )
        if changed.is_err():
            return Err(changed.unwrap_err())
        found = changed.unwrap()
        if found.rows:
            self.on_changes(found.rows)
        self.version = max(self.version, found.version)
        return Ok(None)
