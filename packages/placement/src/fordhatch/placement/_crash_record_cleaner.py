"""Retention of the store's rows about requests that crashed backend servers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import (
    SHARED_TABLE,
    CrashKey,
    CrashRecord,
    StoreView,
    crash_key,
    proven_key,
)

RETENTION_S = 3600.0
"""How long a content or part stays quarantined after its newest crash. Faults of an
engine are repaired by operators, within hours; afterwards, one that still causes
crashes crashes two or three more backend servers."""

MAX_ROWS = 600
"""Most rows kept: 200 contents with three crashes each, 70 KB, which a starting node
reads in 0.06 s over a link of 10 Mbit/s."""

CHECK_INTERVAL_S = 2.0
"""Time between checks; no decision depends on when a row is removed."""

MAX_ROWS_PER_CALL = 90
"""Most rows removed by one call; the store accepts a hundred."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of the removal; the next check retries it."""


def outdated(records: Iterable[CrashRecord], now_s: float) -> list[CrashKey]:
    """Return the keys of the rows to remove.

    Args:
        records: All rows about crashes.
        now_s: Monotonic seconds, on the clock of ``seen_s`` of the records.
    """
    by_digest: dict[str, list[CrashRecord]] = {}
    for record in records:
        by_digest.setdefault(record.digest, []).append(record)
    newest_s = {d: max(r.seen_s for r in rs) for d, rs in by_digest.items()}
    old = [d for d, seen_s in newest_s.items() if now_s - seen_s > RETENTION_S]
    removable = [r.key for d in old for r in by_digest.pop(d)]
    # Contents with few and old crashes are removed first: they matter least.
    in_order = sorted(by_digest, key=lambda d: (len(by_digest[d]), newest_s[d]))
    rows = sum(map(len, by_digest.values()))
    for digest in in_order:
        if rows <= MAX_ROWS:
            break
        rows -= len(by_digest[digest])
        removable.extend(r.key for r in by_digest[digest])
    return removable


def disproved(
    records: Iterable[CrashRecord], proven: Mapping[str, float]
) -> list[CrashKey]:
    """Return the keys of the rows about parts that have been proven sound since.

    Args:
        records: All rows about crashes.
        proven: When this node learned of each proof, in monotonic seconds.
    """
    return [r.key for r in records if r.seen_s <= proven.get(r.digest, -math.inf)]


def outdated_proofs(proven: Mapping[str, float], now_s: float) -> list[str]:
    """Return the parts whose proofs are to be removed: old ones, above a number.

    Args:
        proven: When this node learned of each proof, in monotonic seconds.
        now_s: Monotonic seconds on the same clock.
    """
    newest_first = sorted(proven, key=proven.__getitem__, reverse=True)
    kept = newest_first[:MAX_ROWS]
    old = [part for part in kept if now_s - proven[part] > RETENTION_S]
    return newest_first[MAX_ROWS:] + old


@attrs.define(eq=False, repr=False)
class CrashRecordCleaner:
    """Remove outdated crash records from the store on behalf of the planner."""

    view: StoreView
    store: StoreClient
    timer: Timer
    _next_check_s: float = 0.0
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def step(self) -> None:
        """Remove outdated rows if a check is due."""
        now_s = self.timer.now_s()
        shared = self.view.shared
        if not (shared.crashes or shared.proven_parts) or now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        records, proven = shared.crashes.values(), shared.proven_parts
        keys = {*outdated(records, now_s), *disproved(records, proven)}
        names = [crash_key(*key) for key in sorted(keys)]
        names += [proven_key(part) for part in outdated_proofs(proven, now_s)]
        if names:
            rows = [RowKey(SHARED_TABLE, name) for name in names[:MAX_ROWS_PER_CALL]]
            self._tasks.spawn(self._remove(tuple(rows)), "crash-records")

    async def _remove(self, rows: tuple[RowKey, ...]) -> None:
        removed = await self.store.write({}, {}, rows, timeout_s=WRITE_TIMEOUT_S)
        if removed.is_err():
            error = removed.err().message
            log_event("crash_records_kept", rows=len(rows), error=error)

    async def close(self) -> None:
        """Cancel pending removals."""
        await self._tasks.close()
