"""Entries of a restored store that may be older than what is known.

The store comes back from a copy that is some seconds old, and its authors write again
what it has lost within about two seconds. Until then the copy shows servers that leave
as ready, members of groups that serve without a place, and servers that are gone.
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

GONE_S = 30.0
"""How long a copy may show a backend server again that is gone: it is some seconds
old, and the store was away for some more."""

_PROGRESS = {state: rank for rank, state in enumerate(MemberState)}
"""States of a place, in the order in which they follow each other."""


def may_be_older(found: BackendServer, known: BackendServer) -> bool:
    """Return whether an entry of a copy may be of before what is known.

    Args:
        found: What the entry says.
        known: What was known of the same start before the store came back.
    """
    if found.backend_id != known.backend_id:
        return False
    if known.state is BackendState.DRAINING and found.state is BackendState.READY:
        return True
    return _is_earlier(found.membership, known.membership)


def _is_earlier(found: GroupMembership | None, known: GroupMembership | None) -> bool:
    """Return whether a place may have been held before another one."""
    if found is None or known is None:
        return found is not known
    if found.epoch != known.epoch:
        return found.epoch < known.epoch
    return _PROGRESS[found.state] < _PROGRESS[known.state]


@attrs.define(eq=False, repr=False)
class OlderEntries:
    """Rows of a copy that count only if their authors don't write something else."""

    timer: Timer
    _of_copy: set[str] = attrs.field(factory=set)
    """Registered ids whose newest row came with the store's return."""
    _held: dict[str, tuple[Row, float]] = attrs.field(factory=dict)
    """Rows that are held back by registered id, with the time until then."""
    _gone_s: dict[str, float] = attrs.field(factory=dict)
    """When backend servers were forgotten, by registered id."""

    def note(self, registered_id: str, *, is_of_copy: bool) -> None:
        """Take note of a new row."""
        self._held.pop(registered_id, None)
        if is_of_copy:
            self._of_copy.add(registered_id)
        else:
            self._of_copy.discard(registered_id)

    def is_doubtful(
        self, registered_id: str, found: BackendServer, known: BackendServer | None
    ) -> bool:
        """Return whether the newest row of an id may be older than what is known."""
        if registered_id not in self._of_copy:
            return False
        if known is not None:
            return may_be_older(found, known)
        gone_s = self._gone_s.get(registered_id, -math.inf)
        return self.timer.now_s() - gone_s < GONE_S

    def hold(self, row: Row, for_s: float) -> None:
        """Hold a row back for a while."""
        self._held[row.row_key.key] = row, self.timer.now_s() + for_s

    def forget(self, registered_id: str) -> None:
        """Note that an entry is gone."""
        self._held.pop(registered_id, None)
        self._of_copy.discard(registered_id)
        now_s = self.timer.now_s()
        self._gone_s = {i: s for i, s in self._gone_s.items() if now_s - s < GONE_S}
        self._gone_s[registered_id] = now_s

    def take_due(self) -> list[Row]:
        """Return the rows that count now, as nothing else was written."""
        now_s = self.timer.now_s()
        due = [row for row, until_s in self._held.values() if until_s <= now_s]
        for row in due:
            self.note(row.row_key.key, is_of_copy=False)
        return due
