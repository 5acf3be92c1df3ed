"""The state of one registered id in the directory of backend servers."""

from __future__ import annotations

import attrs


@attrs.define
class DirectoryEntry:
    """The state of one registered id."""

    value: bytes
    """The value that was decoded last; an unchanged entry is not decoded again."""
    backend_id: str = ""
    """The id of the start that the value names; empty while it cannot be used."""
