"""Watching groups: the home nodes of a group probe all its members."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Awaitable, Callable

import attrs

from fordhatch.core import TaskSet, Timer, log_event, metrics
from fordhatch.engine import BackendStatus, EngineClient
from fordhatch.membership import MembershipTable, choose_nodes
from fordhatch.protocol.messages import GroupReport, NodeRecord

from ._map import GroupMap
from ._permits import PermitBook
from ._rows import PLAIN, GroupRow, Member
from ._view import FOREIGN, IS_LEAVING, LOADING, LOST, MISMATCH, READY, STRAGGLER

HOMES = 2
"""Nodes that watch a group and dispatch requests to it."""

REPORT_INTERVAL_S = 5.0
"""A watcher repeats an unchanged report after this time."""

STRAGGLER_FACTOR = 3.0
"""A member whose decoding step takes so many times the median is a straggler."""

STRAGGLER_PROBES = 8
"""Consecutive slow probes before a member counts as a straggler."""

PROBES_TO_LOSE = 2
"""Consecutive failed probes before a member counts as lost."""

ReportSink = Callable[[GroupReport], Awaitable[bool]]
"""Delivers a report to the region's planner; returns whether it was taken."""


def homes_of(row: GroupRow, table: MembershipTable) -> list[NodeRecord]:
    """Return the home nodes of a group, as far as this node can tell.

    Two nodes that differ over this do no harm: a permit rests on the holder's
    own probes, and an engine's answer names its group and epoch.
    """
    zone = row.members[0].zone if row.members else ""
    # Every request and every watcher asks this for every group; the answer changes
    # only when a node does.
    return table.derived(
        ("homes", row.group_id, zone), lambda: _find_homes(row, zone, table)
    )


def _find_homes(row: GroupRow, zone: str, table: MembershipTable) -> list[NodeRecord]:
    nodes = table.usable()
    near = [node for node in nodes if node.region == row.region]
    return choose_nodes(f"group|{row.group_id}", near or nodes, HOMES, zone=zone)


def classify(member: Member, rank: int, row: GroupRow, status: BackendStatus) -> str:
    """Return a member's state from what its backend server reports.

    Args:
        member: The member as its row has it.
        rank: Its rank.
        row: The group's row.
        status: The report.
    """
    if status.instance_id != member.instance_id:
        return LOST
    if status.leaving:
        return IS_LEAVING
    if row.kind == PLAIN:
        return READY
    if status.phase == "failed":
        return LOST
    if status.fencing_token > member.fencing_token:
        return FOREIGN
    reported = (
        status.group_id,
        status.epoch,
        status.rank,
        status.model,
        status.version,
    )
    if reported != (row.group_id, row.epoch, rank, row.model, row.version):
        return MISMATCH
    return READY if status.phase == "ready" else LOADING


@attrs.define(eq=False)
class _Watch:
    """What one watching task remembers of its group."""

    failed: dict[str, int] = attrs.field(factory=dict)
    slow: dict[str, int] = attrs.field(factory=dict)
    reported: GroupReport | None = None
    reported_s: float = float("-inf")
    reported_to: str = ""


@attrs.define(eq=False)
class GroupWatcher:
    """Runs one task for each group that this node is a home of."""

    node_id: str
    region: str
    groups: GroupMap
    table: MembershipTable
    engines: EngineClient
    permits: PermitBook
    timer: Timer
    probe_interval_s: float
    report: ReportSink
    planner_of: Callable[[], str]
    """Names the region's planner, so that a new one is told everything."""
    in_flight: Callable[[str], int] = lambda _: 0
    last_status: dict[str, BackendStatus] = attrs.field(factory=dict)
    """Last report of each member that this node probes."""
    _watches: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Start watching."""
        self._tasks.spawn(
            self.timer.every(self.probe_interval_s / 2, self._assign, name="watch"),
            "watch",
        )

    async def _assign(self) -> None:
        """Start and end tasks as responsibilities move."""
        mine = {
            row.group_id
            for row in self.groups.present()
            if row.region == self.region and self._is_home(row)
        }
        for group_id in mine - self._watches.keys():
            task = self._tasks.spawn(self._watch(group_id), f"watch-{group_id}")
            self._watches[group_id] = task
        for group_id in list(self._watches.keys() - mine):
            self._watches.pop(group_id).cancel()
            self.permits.withdraw(group_id)
        watched = {m.instance_id for g in mine for m in self.groups.rows[g].members}
        for name in [n for n in self.last_status if n not in watched]:
            del self.last_status[name]

    def _is_home(self, row: GroupRow) -> bool:
        return any(n.node_id == self.node_id for n in homes_of(row, self.table))

    async def _watch(self, group_id: str) -> None:
        watch = _Watch()
        async for _ in self.timer.ticks(self.probe_interval_s, fraction=0.1):
            row = self.groups.rows.get(group_id)
            if row is not None:
                await self._probe_round(row, watch)

    async def _probe_round(self, row: GroupRow, watch: _Watch) -> None:
        sent_s = self.timer.now_s()
        found = await asyncio.gather(
            *(self._probe(m, rank, row, watch) for rank, m in enumerate(row.members))
        )
        states = {m.instance_id: s for m, s in zip(row.members, found, strict=True)}
        self._mark_stragglers(row, states, watch)
        if self.groups.rows.get(row.group_id) is not row:
            # The row changed while its members were probed.
            return
        permitted = self.permits.renew(row, states, sent_s)
        await self._report(row, states, permitted, watch)

    async def _probe(
        self, member: Member, rank: int, row: GroupRow, watch: _Watch
    ) -> str:
        reply = await self.engines.status(member.address)
        if reply.is_err():
            metrics.PROBES.labels("failed").inc()
            failed = watch.failed.get(member.instance_id, 0) + 1
            watch.failed[member.instance_id] = failed
            return LOST if failed >= PROBES_TO_LOSE else "silent"
        metrics.PROBES.labels("answered").inc()
        watch.failed[member.instance_id] = 0
        self.last_status[member.instance_id] = reply.unwrap()
        return classify(member, rank, row, reply.unwrap())

    def _mark_stragglers(
        self, row: GroupRow, states: dict[str, str], watch: _Watch
    ) -> None:
        steps = {
            name: self.last_status[name].step_s
            for name, state in states.items()
            if state == READY and name in self.last_status
        }
        typical_s = statistics.median(steps.values()) if steps else 0.0
        for name, step_s in steps.items():
            is_slow = row.size > 1 and step_s > STRAGGLER_FACTOR * typical_s > 0
            watch.slow[name] = watch.slow.get(name, 0) + 1 if is_slow else 0
            if watch.slow[name] >= STRAGGLER_PROBES:
                states[name] = STRAGGLER

    async def _report(
        self, row: GroupRow, states: dict[str, str], permitted: bool, watch: _Watch
    ) -> None:
        unfit = {name: state for name, state in states.items() if state != READY}
        report = GroupReport(
            row.group_id,
            row.epoch,
            self.node_id,
            permitted,
            unfit,
            self.in_flight(row.group_id) if not row.serves else 0,
        )
        now_s, planner = self.timer.now_s(), self.planner_of()
        unchanged = report == watch.reported and planner == watch.reported_to
        if unchanged and now_s - watch.reported_s < REPORT_INTERVAL_S:
            return
        if not unchanged:
            summary = ",".join(f"{name}:{state}" for name, state in unfit.items())
            log_event(
                "group_seen", group=row.group_id, epoch=row.epoch, unfit=summary or "-"
            )
        if await self.report(report):
            watch.reported, watch.reported_s = report, now_s
            watch.reported_to = planner

    async def close(self) -> None:
        """Stop watching; all permits end."""
        await self._tasks.close()
