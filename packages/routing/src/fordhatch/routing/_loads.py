"""What an entry node knows of the load and health of groups."""

from __future__ import annotations

import statistics

import attrs

from fordhatch.core import Timer
from fordhatch.protocol.messages import LoadHint

HINT_HALF_LIFE_S = 2.0
"""A home's word on its load counts half after this time."""

EJECT_AFTER = 3
"""Consecutive failures after which a group is left out for a while."""

EJECT_S = 2.0
"""First ejection; doubles up to ``LONGEST_EJECT_S``."""

LONGEST_EJECT_S = 30.0
"""Longest ejection."""


@attrs.define
class _Group:
    own: int = 0
    """Requests of this node's own."""
    hint: LoadHint | None = None
    hint_s: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0


@attrs.define(eq=False)
class LoadBook:
    """Lagged load hints of home nodes, corrected by the node's own requests."""

    timer: Timer
    _groups: dict[str, _Group] = attrs.field(factory=dict)

    def load(self, group_id: str) -> float:
        """Return what the next request would meet at a group, as far as known.

        The requests there and the next one, each weighed by how slow the group is
        beside the others: a straggler is full with few requests.
        """
        group = self._groups.get(group_id)
        if group is None:
            return 1.0
        return (self._count(group) + 1.0) * self._slowness(group)

    def _count(self, group: _Group) -> float:
        if group.hint is None:
            return float(group.own)
        age_s = self.timer.now_s() - group.hint_s
        weight = 0.5 ** (age_s / HINT_HALF_LIFE_S)
        hinted = weight * (group.hint.in_flight + group.hint.queued)
        return max(hinted, float(group.own))

    def _slowness(self, group: _Group) -> float:
        if group.hint is None or not group.hint.mean_service_s:
            return 1.0
        means = [
            other.hint.mean_service_s
            for other in self._groups.values()
            if other.hint is not None and other.hint.mean_service_s
        ]
        return max(1.0, group.hint.mean_service_s / statistics.median(means))

    def started(self, group_id: str) -> None:
        """Count a request that was sent towards a group."""
        self._groups.setdefault(group_id, _Group()).own += 1

    def ended(self, group_id: str) -> None:
        """Count a request that ended."""
        self._groups[group_id].own -= 1

    def take_hint(self, hint: LoadHint) -> None:
        """Take a home's word on its load."""
        group = self._groups.setdefault(hint.group_id, _Group())
        group.hint, group.hint_s = hint, self.timer.now_s()

    def succeeded(self, group_id: str) -> None:
        """Forget a group's failures."""
        group = self._groups.get(group_id)
        if group is not None:
            group.failures = 0

    def failed(self, group_id: str) -> None:
        """Count a failure; several in a row eject the group for a while."""
        group = self._groups.setdefault(group_id, _Group())
        group.failures += 1
        if group.failures >= EJECT_AFTER:
            doublings = group.failures - EJECT_AFTER
            length_s = min(EJECT_S * 2**doublings, LONGEST_EJECT_S)
            group.ejected_until_s = self.timer.now_s() + length_s

    def ejected(self, group_id: str) -> bool:
        """Return whether a group is left out now."""
        group = self._groups.get(group_id)
        return group is not None and self.timer.now_s() < group.ejected_until_s

    def keep_only(self, group_ids: set[str]) -> None:
        """Forget groups that are gone."""
        for group_id in list(self._groups):
            idle = self._groups[group_id].own == 0
            if group_id not in group_ids and idle:
                del self._groups[group_id]
