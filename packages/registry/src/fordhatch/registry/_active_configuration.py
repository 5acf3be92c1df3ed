"""The active configuration: the latest version that this node has received."""

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
    """The row that holds the latest configuration, and its decoder."""

    table: str
    key: str
    decode: Callable[[bytes], Configuration]
    """Raises ``DecodeError`` that lists every mistake."""


OPERATORS_ROW = ConfigurationRow(
    OPERATOR_TABLE, CONFIGURATION_KEY, decode_configuration
)
"""The row to which the platform's operators write their configuration."""


@attrs.define(eq=False, repr=False)
class ActiveConfiguration:
    """Holds the active configuration; its version never decreases within a process."""

    source: ConfigurationRow = OPERATORS_ROW
    current: Configuration | None = None
    row: Row | None = None
    """The row that holds the active configuration."""
    _subscribers: list[Callable[[Configuration], None]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def version(self) -> int:
        """The active version; 0 before the first configuration."""
        return self.current.version if self.current is not None else 0

    def subscribe(self, call: Callable[[Configuration], None]) -> None:
        """Register a callback that runs after every change."""
        self._subscribers.append(call)

    def observe(self, rows: Sequence[Row]) -> None:
        """Apply the configuration from rows of its table."""
        for row in rows:
            if row.row_key.key == self.source.key and not row.is_removed:
                self._apply_row(row)

    def replace_others(self, update: TableUpdate) -> TableUpdate:
        """Return an update with the active configuration in place of any other.

        A restored store may hold an earlier configuration, or none. A node that starts
        then receives the latest from the nodes that have it.
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
        active = attrs.evolve(self.row, version=update.version)
        return attrs.evolve(update, rows=[*others, active])

    def lost(self, update: TableUpdate) -> list[LostRow]:
        """Return the active row if a restored store has an earlier one, or none."""
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

    def _apply_row(self, row: Row) -> None:
        try:
            found = self.source.decode(row.value)
        except DecodeError as error:
            # A malformed configuration must not interrupt service; the active one stays
            # in effect.
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
        """Wait until a version or a later one is active.

        Args:
            version: The configuration's version.
            timeout_s: Maximum wait, in seconds.

        Returns:
            Whether that version or a later one is active.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
