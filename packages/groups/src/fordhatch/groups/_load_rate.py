"""How fast shards are loaded in a region, as seen from outside."""

from __future__ import annotations

import attrs

from ._view import LOADING, READY, GroupView

SMOOTHING = 0.1
"""Weight of the newest shard in the mean."""


@attrs.define
class LoadRate:
    """Measures the time in which one shard more is loaded, while any are."""

    shard_load_s: float = 0.0
    _busy_s: float = 0.0
    _last_s: float | None = None
    _states: dict[str, str] = attrs.field(factory=dict)

    def observe(self, groups: list[GroupView], now_s: float) -> None:
        """Look at the states of all members.

        Args:
            groups: The groups that are not dissolved.
            now_s: Monotonic seconds.
        """
        states = {name: s for g in groups for name, s in g.states.items()}
        was_loading = LOADING in self._states.values()
        if was_loading and self._last_s is not None:
            self._busy_s += now_s - self._last_s
        loaded = sum(
            state == READY and self._states.get(name) == LOADING
            for name, state in states.items()
        )
        if loaded:
            self._take(self._busy_s / loaded)
            self._busy_s = 0.0
        self._states, self._last_s = states, now_s

    def _take(self, shard_s: float) -> None:
        weight = SMOOTHING if self.shard_load_s else 1.0
        self.shard_load_s += weight * (shard_s - self.shard_load_s)
