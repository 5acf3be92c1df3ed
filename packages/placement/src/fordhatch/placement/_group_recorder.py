"""Store records of serving groups, for nodes that start while entries lapse."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import (
    SHARED_TABLE,
    GroupRecord,
    ReplicaGroup,
    SharedRows,
    record_key,
)

WRITE_INTERVAL_S = 1.0
"""Time between writes: under frequent faults, groups open and close every second or
two, and each write costs a call of the planner and one of the reader."""

MAX_ROWS_PER_CALL = 100
"""Most rows that the store accepts in one call."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of a write; the next step retries it."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class GroupRecorder:
    """Update the records to match the serving groups, one call at a time."""

    store: StoreClient
    shared: SharedRows
    timer: Timer
    _written_s: float = -math.inf
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def step(self, serving: Iterable[ReplicaGroup], reported: set[Key]) -> None:
        """Write the changes, unless the last write was too recent.

        Args:
            serving: Groups that serve, with all their members.
            reported: Groups in which any backend server reports a membership.
        """
        now_s = self.timer.now_s()
        if now_s - self._written_s < WRITE_INTERVAL_S:
            return
        known = self.shared.records
        new = [GroupRecord.from_group(g) for g in serving if g.key not in known]
        outdated = [key for key in known if key not in reported]
        if not new and not outdated:
            return
        self._written_s = now_s
        self._tasks.spawn(self._write(new, outdated), "record-groups")

    async def _write(self, new: list[GroupRecord], outdated: list[Key]) -> None:
        puts = {_row(*r.key): r.to_bytes() for r in new[:MAX_ROWS_PER_CALL]}
        removes = tuple(_row(*key) for key in outdated[: MAX_ROWS_PER_CALL - len(puts)])
        written = await self.store.write({}, puts, removes, timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            log_event("groups_not_recorded", error=written.err().message)

    async def close(self) -> None:
        """Cancel pending writes."""
        await self._tasks.close()


def _row(group: str, epoch: int) -> RowKey:
    return RowKey(SHARED_TABLE, record_key(group, epoch))
