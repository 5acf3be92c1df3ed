"""Claim writes gathered into few transactions."""

from __future__ import annotations

import asyncio
import contextlib

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
"""How long a claim, which holds up its request, waits for others."""

PATIENT_WINDOW_S = 0.1
"""How long a write waits that holds up no request, such as a stored answer."""

SHORTEST_WAIT_S = 0.001
"""A write that is due within this time is due now; no timer is finer than that."""

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
class _Pending:
    """A write that waits for its batch."""

    write: ClaimWrite
    due_s: float
    done: asyncio.Future[ClaimOutcome]


@attrs.define(eq=False)
class ClaimBatcher:
    """Writes claims that arrive close together in one transaction."""

    table: TableService
    timer: Timer
    _pending: list[_Pending] = attrs.field(factory=list)
    _arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    _flusher: asyncio.Task[object] | None = None
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    async def submit(self, write: ClaimWrite) -> ClaimOutcome:
        """Write a claim row in one of the next batches and return what became of it.

        A new claim holds up its request and is due soon; every other write rides
        along with the next claims or goes a little later.
        """
        window_s = PATIENT_WINDOW_S if write.attempt_id else BATCH_WINDOW_S
        done: asyncio.Future[ClaimOutcome] = asyncio.get_running_loop().create_future()
        due_s = self.timer.now_s() + window_s
        self._pending.append(_Pending(write, due_s, done))
        self._arrived.set()
        if self._flusher is None or self._flusher.done():
            self._flusher = self._tasks.spawn(self._flush(), "claims")
        return await done

    async def _flush(self) -> None:
        """Send batches until nothing is left to write."""
        while self._pending:
            self._arrived.clear()
            wait_s = min(p.due_s for p in self._pending) - self.timer.now_s()
            if wait_s > SHORTEST_WAIT_S and len(self._pending) < BATCH_ROWS:
                await self._wait(wait_s)
                continue
            batch, self._pending = self._take_batch()
            self._tasks.spawn(self._write(batch), "claim-batch")

    async def _wait(self, wait_s: float) -> None:
        """Wait until a write is due; one that arrives meanwhile may be due sooner."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._arrived.wait(), wait_s)

    def _take_batch(self) -> tuple[list[_Pending], list[_Pending]]:
        """Split the pending writes; two on one row never share a transaction."""
        batch, rest, keys = [], [], set()
        for item in self._pending:
            if item.write.key in keys or len(batch) >= BATCH_ROWS:
                rest.append(item)
            else:
                batch.append(item)
                keys.add(item.write.key)
        return batch, rest

    async def _write(self, batch: list[_Pending]) -> None:
        outcomes = await self._transact([item.write for item in batch])
        for item in batch:
            outcome = outcomes[item.write.key]
            metrics.CLAIMS.labels(outcome.result).inc()
            if not item.done.done():
                item.done.set_result(outcome)

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
