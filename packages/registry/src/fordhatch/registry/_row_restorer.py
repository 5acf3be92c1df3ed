"""Rewrites the system's own rows that a store restored from a backup has lost."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fordhatch.adapter import Row, StoreClient
from fordhatch.core import TaskSet, Timer, log_event, metrics

from ._lost_rows import LostRow, restore_lost_rows
from ._table_copy import TableCopy
from ._table_source import TableUpdate

MAX_COPY_AGE_S = 60.0
"""Maximum age of a copy whose rows are rewritten. After a longer time too much may have
changed, and a node cut off for that long is not the only one that has the rows."""

WRITE_SPREAD_S = 0.4
"""Upper bound of the random delay before a node rewrites rows. Rows that another node
has rewritten by then are skipped."""

MAX_ROWS = 100
"""Maximum number of rows in one call to the store."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of one write to the store."""

MAX_ATTEMPTS = 4
"""Maximum number of write attempts; each omits the rows that have changed meanwhile."""

RETRY_INTERVAL_S = 0.5
"""Delay before the next attempt."""


@attrs.define(eq=False, repr=False)
class RowRestorer:
    """Retains and rewrites the rows that a store restored from a backup has lost."""

    store: StoreClient
    timer: Timer
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def restore(
        self, update: TableUpdate, copy: TableCopy, *, confirmed_ago_s: float
    ) -> TableUpdate:
        """Merge lost rows into an update and rewrite them in the store.

        Args:
            update: An answer of the store itself.
            copy: The table before that answer.
            confirmed_ago_s: Time since the store confirmed the copy, in seconds.

        Returns:
            The update to apply.
        """
        is_too_old = confirmed_ago_s > MAX_COPY_AGE_S
        if not update.is_whole or not copy.is_restore(update) or is_too_old:
            return update
        merged = restore_lost_rows(update, copy)
        self.write(merged.lost, copy)
        return merged.update

    def write(self, lost: Sequence[LostRow], copy: TableCopy) -> None:
        """Rewrite rows in the background, unless another node has done so.

        Args:
            lost: The rows.
            copy: Copy of their table; rows that change in it meanwhile are skipped.
        """
        for first in range(0, len(lost), MAX_ROWS):
            batch = lost[first : first + MAX_ROWS]
            self._tasks.spawn(self._write(batch, copy), f"keep-rows-{first}")

    async def _write(self, lost: Sequence[LostRow], copy: TableCopy) -> None:
        await self.timer.sleep(WRITE_SPREAD_S * self.timer.rng.random())
        due = [entry for entry in lost if not _is_written(entry, copy)]
        for _ in range(MAX_ATTEMPTS):
            if not due:
                return
            written = await self.store.write(
                {entry.row.row_key: entry.found for entry in due},
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
            await self.timer.sleep(self.timer.jittered(RETRY_INTERVAL_S))
        log_event("rows_not_written_again", rows=len(due), lost=len(lost))

    async def close(self) -> None:
        """Cancel pending writes."""
        await self._tasks.close()


def _is_written(entry: LostRow, copy: TableCopy) -> bool:
    """Return whether a row was written since the store was restored."""
    known = copy.rows.get(entry.row.row_key.key)
    return known is not None and known.version > max(entry.found, copy.generation_start)


def _unchanged(due: Sequence[LostRow], conflicts: Sequence[Row]) -> list[LostRow]:
    """Return the rows that have not changed since the store was restored."""
    now = {row.row_key: row.version.number for row in conflicts}
    return [o for o in due if now.get(o.row.row_key, 0) == o.found.number]
