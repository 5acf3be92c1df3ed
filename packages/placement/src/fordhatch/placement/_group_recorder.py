"""Records in the store which groups serve, for nodes that start while entries lapse."""

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

RECORD_EVERY_S = 1.0
"""Time between writes: groups open and end every second or two on a bad day, and each
write costs a call of the planner and one of the node that reads for the others."""

MOST_ROWS = 100
"""The store takes this many rows in one call."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store; the next step tries again."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class GroupRecorder:
    """Brings the records into line with the groups that serve, a call at a time."""

    store: StoreClient
    shared: SharedRows
    timer: Timer
    _written_s: float = -math.inf
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def step(self, serving: Iterable[ReplicaGroup], reported: set[Key]) -> None:
        """Write what has changed, unless that was done a short time ago.

        Args:
            serving: Groups that serve, with all their members.
            reported: Groups that any backend server reports a place in.
        """
        now_s = self.timer.now_s()
        if now_s - self._written_s < RECORD_EVERY_S:
            return
        known = self.shared.records
        new = [GroupRecord.from_group(g) for g in serving if g.key not in known]
        gone = [key for key in known if key not in reported]
        if not new and not gone:
            return
        self._written_s = now_s
        self._tasks.spawn(self._write(new, gone), "record-groups")

    async def _write(self, new: list[GroupRecord], gone: list[Key]) -> None:
        puts = {_row(*r.key): r.to_bytes() for r in new[:MOST_ROWS]}
        removes = tuple(_row(*key) for key in gone[: MOST_ROWS - len(puts)])
        written = await self.store.write({}, puts, removes, timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            log_event("groups_not_recorded", error=written.err().message)

    async def close(self) -> None:
        """End what is under way."""
        await self._tasks.close()


def _row(group: str, epoch: int) -> RowKey:
    return RowKey(SHARED_TABLE, record_key(group, epoch))
