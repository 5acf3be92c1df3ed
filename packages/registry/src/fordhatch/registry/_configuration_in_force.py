"""The newest configuration that this node knows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from fordhatch.adapter import (
    ABSENT,
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    DecodeError,
    Row,
    decode_configuration,
)
from fordhatch.catalog import Configuration
from fordhatch.core import log_event

from ._lost_rows import LostRow
from ._table_source import TableUpdate


@attrs.frozen
class ConfigurationRow:
    """The row that holds the newest configuration, and how it is read."""

    table: str
    key: str
    decode: Callable[[bytes], Configuration]
    """Raises ``DecodeError`` with every mistake."""


OPERATORS_ROW = ConfigurationRow(
    OPERATOR_TABLE, CONFIGURATION_KEY, decode_configuration
)
"""Where the platform's operators write their configuration."""


@attrs.define(eq=False, repr=False)
class ConfigurationInForce:
    """Holds one configuration; its version never falls in the life of a process."""

    source: ConfigurationRow = OPERATORS_ROW
    current: Configuration | None = None
    row: Row | None = None
    """The row that holds it."""
    _subscribers: list[Callable[[Configuration], None]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.current.version if self.current is not None else 0

    def subscribe(self, call: Callable[[Configuration], None]) -> None:
        """Call back after every change."""
        self._subscribers.append(call)

    def observe(self, rows: Sequence[Row]) -> None:
        """Take the configuration from rows of its table."""
        for row in rows:
            if row.row_key.key == self.source.key and not row.is_removed:
                self._take(row)

    def keep(self, update: TableUpdate) -> TableUpdate:
        """Return an update with the configuration in force in place of others.

        A restored store may show an earlier one, or none; who starts then learns the
        newest from the nodes that know it.
        """
        if self.row is None:
            return update
        key = self.source.key
        others = [row for row in update.rows if row.row_key.key != key]
        found = [row for row in update.rows if row.row_key.key == key]
        if found and found[-1].value == self.row.value:
            return update
        if not found and not update.is_whole:
            return update
        kept = attrs.evolve(self.row, version=update.version)
        return attrs.evolve(update, rows=[*others, kept])

    def lost(self, update: TableUpdate) -> list[LostRow]:
        """Return the row in force if a restored store shows an earlier one, or none."""
        if self.row is None:
            return []
        rows = [row for row in update.rows if row.row_key.key == self.source.key]
        found = next((row for row in rows if not row.is_removed), None)
        if found is None:
            return [LostRow(self.row, ABSENT)]
        try:
            version = self.source.decode(found.value).version
        except DecodeError as error:
            log_event(
                "configuration_unreadable", row=str(found.version), error=str(error)
            )
            version = -1
        return [LostRow(self.row, found.version)] if version < self.version else []

    def _take(self, row: Row) -> None:
        try:
            found = self.source.decode(row.value)
        except DecodeError as error:
            # An unreadable configuration must not end what is served now.
            log_event(
                "configuration_unreadable", row=str(row.version), error=str(error)
            )
            return
        if found.version <= self.version:
            return
        log_event(
            "configuration_in_force",
            version=found.version,
            replaces=self.version,
            row=str(row.version),
            routes=len(found.routes),
            services=len(found.services),
        )
        self.current, self.row = found, row
        self._changed.set()
        self._changed = asyncio.Event()
        for call in self._subscribers:
            call(found)

    async def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until at least a version is in force; returns whether it is."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
