"""What watchers tell the planner, merged into one picture."""

from __future__ import annotations

from collections.abc import Container

import attrs

from fordhatch.protocol.messages import GroupReport

from ._rows import GroupRow
from ._view import IS_LEAVING, LOST, READY, UNKNOWN, GroupView
from ._watcher import REPORT_INTERVAL_S

REPORT_VALID_S = 3 * REPORT_INTERVAL_S
"""A report that is not repeated counts for so long."""

_ORDER = ("ready", "loading", "straggler", "mismatch", "foreign", "silent", LOST)
"""With several watchers the best state counts: one that cannot see proves little."""


@attrs.define
class _Seen:
    report: GroupReport
    at_s: float


@attrs.define(eq=False)
class ReportBook:
    """The latest report of every watcher on every group."""

    _seen: dict[str, dict[str, _Seen]] = attrs.field(factory=dict)
    _states: dict[tuple[str, str], tuple[str, float]] = attrs.field(factory=dict)
    last_permitted_s: dict[str, float] = attrs.field(factory=dict)
    """When a watcher last said that it held a permit, by group."""

    def take(self, report: GroupReport, now_s: float) -> None:
        """Keep a watcher's report."""
        by_watcher = self._seen.setdefault(report.group_id, {})
        by_watcher[report.watcher] = _Seen(report, now_s)

    def keep_only(self, group_ids: Container[str]) -> None:
        """Drop all that is known of other groups."""
        for group_id in [g for g in self._seen if g not in group_ids]:
            del self._seen[group_id]
            self.last_permitted_s.pop(group_id, None)
        for key in [k for k in self._states if k[0] not in group_ids]:
            del self._states[key]

    def view(self, row: GroupRow, watchers: Container[str], now_s: float) -> GroupView:
        """Return the merged picture of a group.

        Args:
            row: The group's row.
            watchers: Nodes that are alive; reports of others do not count.
            now_s: Monotonic seconds.
        """
        current = [
            seen.report
            for name, seen in self._seen.get(row.group_id, {}).items()
            if name in watchers
            and now_s - seen.at_s < REPORT_VALID_S
            and seen.report.epoch == row.epoch
        ]
        view = GroupView(row)
        view.serving = any(r.permitted for r in current)
        view.in_flight = sum(r.in_flight for r in current)
        if view.serving:
            self.last_permitted_s[row.group_id] = now_s
        for member in row.members:
            name = member.instance_id
            state = self._merge([r.unfit_members.get(name, READY) for r in current])
            view.states[name] = state
            view.since_s[name] = self._since(row.group_id, name, state, now_s)
        return view

    def _merge(self, states: list[str]) -> str:
        if IS_LEAVING in states:
            return IS_LEAVING
        for state in _ORDER:
            if state in states:
                return state
        return UNKNOWN

    def _since(self, group_id: str, name: str, state: str, now_s: float) -> float:
        known, since_s = self._states.get((group_id, name), ("", now_s))
        if known != state:
            since_s = now_s
            self._states[group_id, name] = (state, since_s)
        return since_s
