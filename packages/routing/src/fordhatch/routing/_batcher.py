"""Claim writes gathered into few transactions."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.core import TaskSet, Timer, metrics
from fordhatch.platform import (
    Check,
    FieldCheck,
    Row,
    TableService,
    Transaction,
    VersionCheck,
)

WRITTEN = "written"
CONFLICT = "conflict"
UNKNOWN = "unknown"

BATCH_WINDOW_S = 0.02
"""How long the first write of a batch waits for others."""

BATCH_ROWS = 64
"""Most rows in one transaction."""

READ_BACKS = 3
"""Attempts to find out whether a write with a lost answer took effect."""


@attrs.frozen
class ClaimWrite:
    """A conditional write of one claim row."""

    key: str
    attempt_id: str
    """Attempt that the present row must name; empty where there must be no row."""
    value: dict[str, object] | None
    """The new row; None deletes it."""

    def check(self) -> Check:
        """Return the condition on the present row."""
        if not self.attempt_id:
            return VersionCheck(self.key, 0)
        return FieldCheck(self.key, "attempt_id", self.attempt_id)


@attrs.frozen
class ClaimOutcome:
    """What became of a claim write."""

    result: str
    """``written``, ``conflict`` or ``unknown``."""
    row: Row | None = None
    """The row in the way, for a conflict."""


@attrs.define(eq=False)
class ClaimBatcher:
    """Writes claims that arrive close together in one transaction."""

    table: TableService
    timer: Timer
    _pending: list[tuple[ClaimWrite, asyncio.Future[ClaimOutcome]]] = attrs.field(
        factory=list
    )
    _flusher: asyncio.Task[object] | None = None
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    async def submit(self, write: ClaimWrite) -> ClaimOutcome:
        """Write a claim row in the next batch and return what became of it."""
        done: asyncio.Future[ClaimOutcome] = asyncio.get_running_loop().create_future()
        self._pending.append((write, done))
        if self._flusher is None or self._flusher.done():
            self._flusher = self._tasks.spawn(self._flush_soon(), "claims")
        return await done

    async def _flush_soon(self) -> None:
        while self._pending:
            await self.timer.sleep(BATCH_WINDOW_S)
            batch, self._pending = self._take_batch()
            self._tasks.spawn(self._write(batch), "claim-batch")

    def _take_batch(self) -> tuple[list, list]:
        """Split the pending writes; two on one row never share a transaction."""
        batch, rest, keys = [], [], set()
        for item in self._pending:
            if item[0].key in keys or len(batch) >= BATCH_ROWS:
                rest.append(item)
            else:
                batch.append(item)
                keys.add(item[0].key)
        return batch, rest

    async def _write(
        self, batch: list[tuple[ClaimWrite, asyncio.Future[ClaimOutcome]]]
    ) -> None:
        outcomes = await self._transact([write for write, _ in batch])
        for write, done in batch:
            outcome = outcomes[write.key]
            metrics.CLAIMS.labels(outcome.result).inc()
            if not done.done():
                done.set_result(outcome)

    async def _transact(self, writes: list[ClaimWrite]) -> dict[str, ClaimOutcome]:
        outcomes: dict[str, ClaimOutcome] = {}
        left = list(writes)
        while left:
            done = await self.table.transact(_transaction(left))
            if done.is_err():
                outcomes.update(await self.judge(left))
                break
            if done.unwrap().committed:
                outcomes.update({w.key: ClaimOutcome(WRITTEN) for w in left})
                break
            # One row in the way must not hold up the others.
            conflicts = {row.key: row for row in done.unwrap().conflicts}
            if not conflicts:
                outcomes.update({w.key: ClaimOutcome(UNKNOWN) for w in left})
                break
            by_key = {w.key: w for w in left}
            for key, row in conflicts.items():
                outcomes[key] = _judge_conflict(by_key[key], row)
            left = [w for w in left if w.key not in conflicts]
        return outcomes

    async def judge(self, writes: list[ClaimWrite]) -> dict[str, ClaimOutcome]:
        """Read back writes whose answers were lost and tell what became of them."""
        for attempt in range(READ_BACKS):
            await self.timer.sleep(self.timer.jittered(0.1 * 2**attempt))
            read = await self.table.read([w.key for w in writes])
            if read.is_ok():
                rows = read.unwrap()
                return {w.key: _judge(w, rows[w.key]) for w in writes}
        return {w.key: ClaimOutcome(UNKNOWN) for w in writes}

    async def close(self) -> None:
        """Drop what has not been written."""
        await self._tasks.close()


def _transaction(writes: list[ClaimWrite]) -> Transaction:
    return Transaction(
        tuple(w.check() for w in writes),
        {w.key: w.value for w in writes if w.value is not None},
        tuple(w.key for w in writes if w.value is None),
    )


def _judge_conflict(write: ClaimWrite, row: Row) -> ClaimOutcome:
    """Tell a real conflict from one with this write's own earlier effect."""
    if row.value is None or write.value is None:
        return ClaimOutcome(CONFLICT, row)
    is_own = row.value["write_id"] == write.value["write_id"]
    return ClaimOutcome(WRITTEN if is_own else CONFLICT, row)


def _judge(write: ClaimWrite, row: Row) -> ClaimOutcome:
    """Tell from a row read back whether a write took effect."""
    if write.value is None:
        return ClaimOutcome(WRITTEN if row.value is None else UNKNOWN, row)
    if row.value is None:
        return ClaimOutcome(UNKNOWN, row)
    if row.value["write_id"] == write.value["write_id"]:
        return ClaimOutcome(WRITTEN)
    if row.value["attempt_id"] == write.attempt_id:
        return ClaimOutcome(UNKNOWN, row)
    return ClaimOutcome(CONFLICT, row)
