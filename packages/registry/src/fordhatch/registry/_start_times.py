"""Start times in the entries of backend servers."""

from __future__ import annotations

import attrs

REMEMBERED_STARTS = 10_000
"""Ids whose newest start is remembered after their entry is removed, so that an earlier
start's late entry is not taken for a new backend server. At the design size, 1,200
backend servers and 213 failures and restarts a day, this covers more than a month."""


@attrs.define
class StartTimes:
    """Which entries contain a start time, and the newest start time of each id.

    On a platform whose entries contain start times, an entry without one is incomplete
    and may come from another writer. On a platform without them, a single entry that
    has one proves nothing about the rest. So the majority of the entries decides, and
    a few deviating ones change nothing.
    """

    _ids_with: set[str] = attrs.field(factory=set)
    _ids_without: set[str] = attrs.field(factory=set)
    _newest_ms: dict[str, int] = attrs.field(factory=dict)
    """Latest start time in any entry so far, by registered id."""

    @property
    def are_required(self) -> bool:
        """Whether an entry must contain a start time."""
        return len(self._ids_with) > len(self._ids_without)

    def record_entry(self, registered_id: str, *, has_start_time: bool) -> None:
        """Record whether a well-formed entry contains a start time."""
        self.remove(registered_id)
        (self._ids_with if has_start_time else self._ids_without).add(registered_id)

    def remove(self, registered_id: str) -> None:
        """Stop counting an entry that is removed or malformed."""
        self._ids_with.discard(registered_id)
        self._ids_without.discard(registered_id)

    def ids_without(self) -> list[str]:
        """Return the registered ids whose entries contain no start time."""
        return sorted(self._ids_without)

    def newest_ms(self, registered_id: str) -> int:
        """Return the latest start time seen for an id, 0 if there is none."""
        return self._newest_ms.get(registered_id, 0)

    def record_newest(self, registered_id: str, born_ms: int) -> None:
        """Record the latest start time of an id."""
        newest = self._newest_ms
        newest.pop(registered_id, None)
        newest[registered_id] = born_ms
        if len(newest) > REMEMBERED_STARTS:
            del newest[next(iter(newest))]
