"""Whether backend servers tell when they were started."""

from __future__ import annotations

import attrs


@attrs.define
class StartsTold:
    """Which entries name the moment of the start.

    On a platform whose entries do, one without it is not whole, and may be another
    writer's. Where they don't, one that does proves nothing about the others. So what
    most entries do decides, and a few of any making change nothing.
    """

    _telling: set[str] = attrs.field(factory=set)
    _silent: set[str] = attrs.field(factory=set)

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
