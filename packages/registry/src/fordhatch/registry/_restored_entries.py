"""Entries of a restored store that may be older than the known state.

The store is restored from a backup that is some seconds old, and the authors rewrite
the lost entries within about two seconds. Until then the backup shows leaving servers
as ready, members of serving groups without membership, and removed servers as
present.
"""

from __future__ import annotations

import math

import attrs

from fordhatch.adapter import Row
from fordhatch.catalog import (
    BackendServer,
    BackendState,
    GroupMembership,
    MemberState,
)
from fordhatch.core import Timer

REMOVAL_RETENTION_S = 30.0
"""How long after its removal a backend server may reappear in a restored store: the
backup is some seconds old, and the outage before the restore adds some more."""

_PROGRESS = {state: rank for rank, state in enumerate(MemberState)}
"""Member states in the order in which they follow each other."""


def may_be_older(found: BackendServer, known: BackendServer) -> bool:
    """Return whether a restored entry may be older than the known state.

    Args:
        found: The decoded entry.
        known: The state of the same start before the store was restored.
    """
    if found.backend_id != known.backend_id:
        return False
    if known.state is BackendState.DRAINING and found.state is BackendState.READY:
        return True
    return _is_earlier(found.membership, known.membership)


def _is_earlier(found: GroupMembership | None, known: GroupMembership | None) -> bool:
    """Return whether a membership may precede the known one."""
    if found is None or known is None:
        return found is not known
    if found.epoch != known.epoch:
        return found.epoch < known.epoch
    return _PROGRESS[found.state] < _PROGRESS[known.state]


@attrs.define(eq=False, repr=False)
class RestoredEntries:
    """Rows of a backup that are applied only if their authors don't rewrite them."""

    timer: Timer
    _restored_ids: set[str] = attrs.field(factory=set)
    """Registered ids whose newest row comes from the backup."""
    _deferred: dict[str, tuple[Row, float]] = attrs.field(factory=dict)
    """Deferred rows by registered id, with the time when each is applied."""
    _removed_s: dict[str, float] = attrs.field(factory=dict)
    """When entries were removed, by registered id."""

    def record_row(self, registered_id: str, *, is_restored: bool) -> None:
        """Record a new row, which replaces a deferred one."""
        self._deferred.pop(registered_id, None)
        if is_restored:
            self._restored_ids.add(registered_id)
        else:
            self._restored_ids.discard(registered_id)

    def may_be_outdated(
        self, registered_id: str, found: BackendServer, known: BackendServer | None
    ) -> bool:
        """Return whether the newest row of an id may be older than the known state."""
        if registered_id not in self._restored_ids:
            return False
        if known is not None:
            return may_be_older(found, known)
        removed_s = self._removed_s.get(registered_id, -math.inf)
        return self.timer.now_s() - removed_s < REMOVAL_RETENTION_S

    def defer(self, row: Row, for_s: float) -> None:
        """Defer a row by the given number of seconds."""
        self._deferred[row.row_key.key] = row, self.timer.now_s() + for_s

    def record_removal(self, registered_id: str) -> None:
        """Record that an entry is removed."""
        self._deferred.pop(registered_id, None)
        self._restored_ids.discard(registered_id)
        now_s = self.timer.now_s()
        self._removed_s = {
            i: s for i, s in self._removed_s.items() if now_s - s < REMOVAL_RETENTION_S
        }
        self._removed_s[registered_id] = now_s

    def pop_due(self) -> list[Row]:
        """Return the deferred rows that are due, as no other row has replaced them."""
        now_s = self.timer.now_s()
        due = [row for row, until_s in self._deferred.values() if until_s <= now_s]
        for row in due:
            self.record_row(row.row_key.key, is_restored=False)
        return due
