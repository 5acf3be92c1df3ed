"""Entries that are missing since an outage of the store and may reappear soon."""

from __future__ import annotations

import attrs

from fordhatch.core import Timer

LAPSE_GRACE_S = 1.9
"""Entries that lapsed while the store was unavailable reappear within about two
seconds after the outage; until then a missing entry does not prove that the backend
server is gone."""


@attrs.define(eq=False, repr=False)
class LapsedEntries:
    """Lapsed registered ids, each with the end of its grace period."""

    timer: Timer
    _until_s: dict[str, float] = attrs.field(factory=dict)

    def __contains__(self, registered_id: str) -> bool:
        """Return whether an entry has lapsed and may reappear."""
        return registered_id in self._until_s

    def add(self, registered_id: str) -> None:
        """Begin the grace period of an entry, if it has not begun yet."""
        self._until_s.setdefault(registered_id, self.timer.now_s() + LAPSE_GRACE_S)

    def discard(self, registered_id: str) -> None:
        """Drop an entry that has reappeared or is removed."""
        self._until_s.pop(registered_id, None)

    def due(self) -> list[str]:
        """Return the entries whose grace period has ended."""
        now_s = self.timer.now_s()
        return [r for r, until_s in self._until_s.items() if until_s <= now_s]
