"""Applies changes of the platform's settings file, with or without a signal."""

from __future__ import annotations

from pathlib import Path

import attrs

from fordhatch.adapter import DecodeError, decode_settings
from fordhatch.core import log_event

from ._node import Node

POLL_INTERVAL_S = 1.0
"""Time between checks of the settings file: it may change without a signal."""


@attrs.define(eq=False, repr=False)
class SettingsWatch:
    """Compares the settings file with the content that was read last."""

    node: Node
    path: Path
    content: str
    """The settings file as it was last read."""

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await self.node.timer.sleep(POLL_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Apply the settings file if it has changed.

        Settings that cannot be decoded are logged and leave the active ones in effect.
        """
        try:
            found = self.path.read_text()
        except OSError as error:
            log_event("settings_unreadable", error=repr(error))
            return
        if found == self.content:
            return
        self.content = found
        try:
            self.node.apply_settings(decode_settings(found))
        except DecodeError as error:
            log_event("settings_refused", error=str(error))
