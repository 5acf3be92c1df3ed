"""The newest configuration that this node knows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from fordhatch.adapter import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    DecodeError,
    Row,
    decode_configuration,
)
from fordhatch.catalog import Configuration
from fordhatch.core import log_event


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
        self.current = found
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
