"""Writes the system's own rows again that a restored store has lost."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fordhatch.adapter import Row, StoreClient
from fordhatch.core import TaskSet, Timer, log_event, metrics

from ._lost_rows import LostRow, keep_lost_rows
from ._table_copy import TableCopy
from ._table_source import TableUpdate

KEEP_WITHIN_S = 60.0
"""Rows of a copy that was confirmed longer ago are not written again: too much may have
changed since, and whoever was cut off for so long was not the only one to know them."""

SPREAD_S = 0.4
"""Nodes that have seen the return write within this time, each at a moment of its own:
what one has written the others leave alone."""

MOST_ROWS = 100
"""The store takes this many rows in one call."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store."""

ATTEMPTS = 4
"""How often rows are written again, without those that have changed meanwhile."""

RETRY_S = 0.5
"""Pause before the next attempt."""


@attrs.define(eq=False, repr=False)
class RowKeeper:
    """Keeps and writes what a store that came back older has lost."""

    store: StoreClient
    timer: Timer
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def keep(
        self, update: TableUpdate, copy: TableCopy, *, confirmed_ago_s: float
    ) -> TableUpdate:
        """Return an update as it is to be taken, and write what it has lost.

        Args:
            update: An answer of the store itself.
            copy: The table as it was known before.
            confirmed_ago_s: How long ago that was confirmed.
        """
        is_too_old = confirmed_ago_s > KEEP_WITHIN_S
        if not update.is_whole or not copy.crosses(update) or is_too_old:
            return update
        kept = keep_lost_rows(update, copy)
        self.write(kept.lost, copy)
        return kept.update

    def write(self, lost: Sequence[LostRow], copy: TableCopy) -> None:
        """Write rows again, unless somebody else does.

        Args:
            lost: The rows.
            copy: Their table; rows that change there meanwhile are left out.
        """
        for first in range(0, len(lost), MOST_ROWS):
            batch = lost[first : first + MOST_ROWS]
            self._tasks.spawn(self._write(batch, copy), f"keep-rows-{first}")

    async def _write(self, lost: Sequence[LostRow], copy: TableCopy) -> None:
        await self.timer.sleep(SPREAD_S * self.timer.rng.random())
        due = [one for one in lost if not _is_written(one, copy)]
        for _ in range(ATTEMPTS):
            if not due:
                return
            written = await self.store.write(
                {one.row.row_key: one.found for one in due},
                {o.row.row_key: o.row.value for o in due if not o.row.is_removed},
                tuple(o.row.row_key for o in due if o.row.is_removed),
                timeout_s=WRITE_TIMEOUT_S,
            )
            if written.is_ok() and written.unwrap().is_committed:
                metrics.STORE_ROWS_WRITTEN_AGAIN.inc(len(due))
                log_event("rows_written_again", rows=len(due), lost=len(lost))
                return
            if written.is_ok():
                due = _unchanged(due, written.unwrap().conflicts)
            await self.timer.sleep(self.timer.jittered(RETRY_S))
        log_event("rows_not_written_again", rows=len(due), lost=len(lost))

    async def close(self) -> None:
        """Stop writing."""
        await self._tasks.close()


def _is_written(one: LostRow, copy: TableCopy) -> bool:
    """Return whether the store has changed a row since it came back."""
    known = copy.rows.get(one.row.row_key.key)
    return known is not None and known.version > max(one.found, copy.entered)


def _unchanged(due: Sequence[LostRow], conflicts: Sequence[Row]) -> list[LostRow]:
    """Return the rows that the store still has as it came back with them."""
    now = {row.row_key: row.version.number for row in conflicts}
    return [o for o in due if now.get(o.row.row_key, 0) == o.found.number]
