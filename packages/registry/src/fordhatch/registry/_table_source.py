"""Where a follower gets a table from: the store itself, or another node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import NOTHING, Row, StoreClient, StoreVersion
from fordhatch.core import Failure, ResultCode

READ_TIMEOUT_S = 1.5
"""Longest wait for a full read; the store answers in 4 ms when it is well, and in
some hundred when it is slow."""

WATCH_SLACK_S = 0.6
"""What a watch may take beyond the wait that it asked for."""


@attrs.frozen
class TableUpdate:
    """Rows of a table that changed, or all of them."""

    rows: Sequence[Row]
    version: StoreVersion = attrs.field(
        validator=attrs.validators.instance_of(StoreVersion)
    )
    """Up to this version of the store nothing else changed."""
    is_whole: bool
    age_s: float = 0.0
    """How long before its sending the update was confirmed by the store; 0 for an
    answer of the store itself."""
    steady_s: float | None = None
    """For how long before that confirmation another node knows that the store had
    confirmed the table without an outage; None for an answer of the store itself."""

    @property
    def is_from_store(self) -> bool:
        """Whether this node has asked the store itself."""
        return self.steady_s is None


class TableSource(Protocol):
    """What a follower needs."""

    async def update(
        self, table: str, after_version: StoreVersion, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        """Return what changed after a version, or every row.

        Args:
            table: The table.
            after_version: What the follower has; ``NOTHING`` asks for every row.
            wait_s: How long the answer may wait for a change.
        """
        ...


@attrs.define(eq=False, repr=False)
class StoreSource:
    """The store itself."""

    store: StoreClient

    async def update(
        self, table: str, after_version: StoreVersion, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        """See ``TableSource.update``."""
        if after_version == NOTHING:
            return await self._read(table)
        changed = await self.store.watch(
            table, after_version, wait_s=wait_s, timeout_s=wait_s + WATCH_SLACK_S
        )
        if changed.is_err():
            return Err(changed.unwrap_err())
        found = changed.unwrap()
        if found.version.generation > after_version.generation:
            # The store has come back older and gone on: changes up to the number that
            # was asked for are not among these.
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
            # Later pages are newer; watching from the first page's moment on
            # brings whatever changed between the pages.
            version = version or found.version
            if found.version.generation != version.generation:
                text = "it came back from a copy while the table was read"
                return Err(Failure.from_code(ResultCode.STORE_UNAVAILABLE, text))
            rows.extend(found.rows)
            if not found.has_more or not found.rows:
                return Ok(TableUpdate(rows, version, is_whole=True))
            first_key = found.rows[-1].row_key.key + "\0"
