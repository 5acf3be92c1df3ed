"""The newest configuration that this node knows."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from fordhatch.adapter import (
    CONFIGURATION_KEY,
    DecodeError,
    Row,
    decode_configuration,
)
from fordhatch.catalog import Configuration
from fordhatch.core import log_event


@attrs.define(eq=False)
class ConfigurationInForce:
    """Holds one configuration; its version never falls in the life of a process."""

    current: Configuration | None = None
    _subscribers: list[Callable[[Configuration], None]] = attrs.field(factory=list)

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.current.version if self.current is not None else 0

    def subscribe(self, call: Callable[[Configuration], None]) -> None:
        """Call back after every change."""
        self._subscribers.append(call)

    def observe(self, rows: Sequence[Row]) -> None:
        """Take the configuration from rows of the operators' table."""
        for row in rows:
            if row.row_key.key == CONFIGURATION_KEY and not row.is_removed:
                self._take(row)

    def _take(self, row: Row) -> None:
        try:
            found = decode_configuration(row.value)
        except DecodeError as error:
            # An unreadable configuration must not end what is served now.
            log_event("configuration_unreadable", row=row.version, error=str(error))
            return
        if found.version <= self.version:
            return
        log_event(
            "configuration_in_force",
            version=found.version,
            replaces=self.version,
            row=row.version,
            routes=len(found.routes),
            services=len(found.services),
        )
        self.current = found
        for call in self._subscribers:
            call(found)
