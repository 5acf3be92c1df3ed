"""Whether backend servers tell when they were started."""

from __future__ import annotations

import attrs

REMEMBERED_STARTS = 10_000
"""Ids whose newest start is remembered after their entry has gone, so that an earlier
start's late entry is not taken for a new backend server. At the design size, 1,200
backend servers and 213 failures and restarts a day, this covers more than a month."""


@attrs.define
class StartsTold:
    """Which entries name the moment of the start.

    On a platform whose entries do, one without it is not whole, and may be another
    writer's. Where they don't, one that does proves nothing about the others. So what
    most entries do decides, and a few of any making change nothing.
    """

    _telling: set[str] = attrs.field(factory=set)
    _silent: set[str] = attrs.field(factory=set)
    _newest_ms: dict[str, int] = attrs.field(factory=dict)
    """Greatest moment of a start that was told, by registered id."""

    @property
    def are_expected(self) -> bool:
        """Whether an entry must name the moment of the start."""
        return len(self._telling) > len(self._silent)

    def note(self, registered_id: str, *, is_told: bool) -> None:
        """Note what a whole entry does."""
        self.forget(registered_id)
        (self._telling if is_told else self._silent).add(registered_id)

    def forget(self, registered_id: str) -> None:
        """Forget an entry that is gone."""
        self._telling.discard(registered_id)
        self._silent.discard(registered_id)

    def silent(self) -> list[str]:
        """Return the registered ids whose entries don't tell."""
        return sorted(self._silent)

    def newest_ms(self, registered_id: str) -> int:
        """Return the greatest moment of a start that an id has told, 0 for none."""
        return self._newest_ms.get(registered_id, 0)

    def note_newest(self, registered_id: str, born_ms: int) -> None:
        """Note the newest start of an id."""
        newest = self._newest_ms
        newest.pop(registered_id, None)
        newest[registered_id] = born_ms
        if len(newest) > REMEMBERED_STARTS:
            del newest[next(iter(newest))]
