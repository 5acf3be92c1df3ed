"""Rows about servers that ended under requests: kept for a while, and not too many."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, CrashKey, CrashRecord, StoreView, crash_key

KEEP_S = 3600.0
"""How long a content is held back after the newest crash under it. What ends an engine
is mended by people, in hours; when the time is over, a content that still does ends
two or three more."""

MOST_ROWS = 600
"""Rows that are kept: 200 contents with three crashes each, 70 KB, which a node that
starts reads in 0.06 s on a link of 10 Mbit/s."""

LOOK_EVERY_S = 2.0
"""Pause between looks; nothing is decided by when a row goes."""

MOST_REMOVED = 90
"""Rows that one call removes; the store takes a hundred."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the removal; the next look tries again."""


def outdated(records: Iterable[CrashRecord], now_s: float) -> list[CrashKey]:
    """Return the rows that need not be kept.

    Args:
        records: All rows about crashes.
        now_s: Monotonic seconds, on the clock of ``seen_s`` of the records.
    """
    by_digest: dict[str, list[CrashRecord]] = {}
    for record in records:
        by_digest.setdefault(record.digest, []).append(record)
    newest_s = {d: max(r.seen_s for r in rs) for d, rs in by_digest.items()}
    old = [d for d, seen_s in newest_s.items() if now_s - seen_s > KEEP_S]
    gone = [r.key for d in old for r in by_digest.pop(d)]
    # The fewer crashes speak against a content, and the longer ago, the less is lost.
    in_order = sorted(by_digest, key=lambda d: (len(by_digest[d]), newest_s[d]))
    rows = sum(map(len, by_digest.values()))
    for digest in in_order:
        if rows <= MOST_ROWS:
            break
        rows -= len(by_digest[digest])
        gone.extend(r.key for r in by_digest[digest])
    return gone


@attrs.define(eq=False, repr=False)
class CrashRecordCare:
    """The planner's side of the rows about crashes."""

    view: StoreView
    store: StoreClient
    timer: Timer
    _next_look_s: float = 0.0
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def step(self) -> None:
        """Remove what need not be kept, when it is time to look."""
        now_s = self.timer.now_s()
        records = self.view.shared.crashes
        if not records or now_s < self._next_look_s:
            return
        self._next_look_s = now_s + LOOK_EVERY_S
        gone = outdated(records.values(), now_s)[:MOST_REMOVED]
        if gone:
            self._tasks.spawn(self._remove(gone), "crash-records")

    async def _remove(self, keys: list[CrashKey]) -> None:
        rows = tuple(RowKey(SHARED_TABLE, crash_key(*key)) for key in keys)
        removed = await self.store.write({}, {}, rows, timeout_s=WRITE_TIMEOUT_S)
        if removed.is_err():
            error = removed.err().message
            log_event("crash_records_kept", rows=len(rows), error=error)

    async def close(self) -> None:
        """Stop removing."""
        await self._tasks.close()
