"""Sources of table updates: the store itself or another node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import BEFORE_ALL_VERSIONS, Row, StoreClient, StoreVersion
from fordhatch.core import Failure, ResultCode

READ_TIMEOUT_S = 1.5
"""Timeout of one page of a full read. A healthy store answers in 4 ms, a slow one in
a few hundred."""

WATCH_TOLERANCE_S = 0.6
"""Time that a watch may take beyond the wait that it requested."""


@attrs.frozen
class TableUpdate:
    """Changed rows of a table, or all of its rows."""

    rows: Sequence[Row]
    version: StoreVersion = attrs.field(
        validator=attrs.validators.instance_of(StoreVersion)
    )
    """Version of the store up to which the update includes every change."""
    is_whole: bool
    age_s: float = 0.0
    """Time between the store's confirmation and the sending of the update, in seconds;
    0 for an answer of the store itself."""
    steady_s: float | None = None
    """For how many seconds before that confirmation the store had confirmed the table
    without an outage, as reported by another node; None for an answer of the store
    itself."""

    @property
    def is_from_store(self) -> bool:
        """Whether the update is an answer of the store itself."""
        return self.steady_s is None


class TableSource(Protocol):
    """Interface from which a follower reads a table."""

    async def update(
        self, table: str, after_version: StoreVersion, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        """Return the changes after a version, or every row.

        Args:
            table: Name of the table.
            after_version: Version of the follower's copy; ``BEFORE_ALL_VERSIONS``
                requests every row.
            wait_s: Maximum time the source may wait for a change, in seconds.
        """
        ...


@attrs.define(eq=False, repr=False)
class StoreSource:
    """Table source that reads the store itself."""

    store: StoreClient

    async def update(
        self, table: str, after_version: StoreVersion, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        """See ``TableSource.update``."""
        if after_version == BEFORE_ALL_VERSIONS:
            return await self._read(table)
        changed = await self.store.watch(
            table, after_version, wait_s=wait_s, timeout_s=wait_s + WATCH_TOLERANCE_S
        )
        if changed.is_err():
            return Err(changed.unwrap_err())
        found = changed.unwrap()
        if found.version.generation > after_version.generation:
            # The store was restored from a backup and has moved on: the answer lacks
            # the new generation's changes up to the requested number.
            return await self._read(table)
        return Ok(TableUpdate(found.rows, found.version, is_whole=False))

    async def _read(self, table: str) -> Result[TableUpdate, Failure]:
        rows: list[Row] = []
        version: StoreVersion | None = None
        first_key = ""
        while True:
            page = await self.store.read(
                table, first_key=first_key, timeout_s=READ_TIMEOUT_S
            )
            if page.is_err():
                return Err(page.unwrap_err())
            found = page.unwrap()
            # Later pages are more recent. The follower watches from the version of the
            # first page on, which returns the changes between the pages.
            version = version or found.version
            if found.version.generation != version.generation:
                text = "the store was restored from a backup during the read"
                return Err(Failure.from_code(ResultCode.STORE_UNAVAILABLE, text))
            rows.extend(found.rows)
            if not found.has_more or not found.rows:
                return Ok(TableUpdate(rows, version, is_whole=True))
            first_key = found.rows[-1].row_key.key + "\0"
