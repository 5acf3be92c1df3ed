"""Takes changes of the platform's settings file, with and without a signal."""

from __future__ import annotations

from pathlib import Path

import attrs

from fordhatch.adapter import DecodeError, decode_settings
from fordhatch.core import log_event

from ._node import Node

LOOK_S = 1.0
"""How often the settings file is compared: it may change without a signal."""


@attrs.define(eq=False, repr=False)
class SettingsWatch:
    """Compares the settings file with what was read last."""

    node: Node
    path: Path
    content: str
    """The settings file as it was last read."""

    async def run(self) -> None:
        """Look at the file again and again, until cancelled."""
        while True:
            await self.node.timer.sleep(LOOK_S)
            self.reload()

    def reload(self) -> None:
        """Take the settings file if it has changed."""
        try:
            found = self.path.read_text()
        except OSError as error:
            log_event("settings_unreadable", error=repr(error))
            return
        if found == self.content:
            return
        self.content = found
        try:
            self.node.take_settings(decode_settings(found))
        except DecodeError as error:
            log_event("settings_refused", error=str(error))
