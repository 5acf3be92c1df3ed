"""The planner of one region: it sees, decides, writes and orders, in that order."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.config import ConfigFollower
from fordhatch.core import Timer, log_event
from fordhatch.engine import EngineClient
from fordhatch.membership import MembershipTable, rendezvous_rank
from fordhatch.platform import Instance, InstanceList
from fordhatch.protocol.messages import GroupReport

from ._decisions import Decision, Dissolve, Repair
from ._lease import CLOCK_RATE_MARGIN, PlannerLease
from ._load_rate import LoadRate
from ._map import GroupMap
from ._measures import Gap, Measures
from ._orders import OrderSender
from ._policy import GroupPolicy
from ._reports import ReportBook
from ._rows import DISSOLVED, DRAINING, GroupRow
from ._state import RegionState
from ._view import LOST, READY, UNKNOWN, GroupView, InstanceView, RegionView

CANDIDATES = 3
"""Nodes of a region that try to become its planner."""

LIST_INTERVAL_S = 1.0
"""Time between reads of the platform's instance list."""

SPARE_PROBE_INTERVAL_S = 1.0
"""Time between probes of instances in no group."""

DECISIONS_PER_PASS = 16
"""Decisions written before the region is looked at anew."""

FLAPS_FORGIVEN = 1
"""Losses of an instance within ``FLAP_MEMORY_S`` that have no consequence."""

FLAP_MEMORY_S = 3600.0
"""How long a loss is remembered."""

QUARANTINE_S = 30.0
"""First quarantine of a flapping instance; doubles with each further loss."""

LONGEST_QUARANTINE_S = 600.0
"""Upper bound of a quarantine."""


@attrs.define(eq=False)
class Planner:
    """One node's side of planning for its region; idle without the lease."""

    node_id: str
    region: str
    state: RegionState
    lease: PlannerLease
    orders: OrderSender
    instance_list: InstanceList
    engines: EngineClient
    config: ConfigFollower
    groups: GroupMap
    table: MembershipTable
    policy: GroupPolicy
    timer: Timer
    permit_s: float
    reports: ReportBook = attrs.field(factory=ReportBook)
    measures: Measures = attrs.field(factory=Measures)
    load_rate: LoadRate = attrs.field(factory=LoadRate)
    instances: dict[str, InstanceView] = attrs.field(factory=dict)
    _listed_s: float = float("-inf")
    _probed_s: float = float("-inf")
    _losses: dict[str, list[float]] = attrs.field(factory=dict)
    _drained_since_s: dict[str, float] = attrs.field(factory=dict)
    _plan_token: int = 0

    def is_leader(self) -> bool:
        """Return whether this node plans for its region now."""
        return self.lease.held()

    def take_report(self, report: GroupReport) -> bool:
        """Take a watcher's report.

        Returns:
            False where this node is not the planner.
        """
        if not self.is_leader():
            return False
        self.reports.take(report, self.timer.now_s())
        return True

    async def step(self) -> None:
        """Make one pass."""
        if not self._is_candidate() and not self.lease.token:
            return
        if not await self.lease.keep():
            return
        if not await self._ready_to_plan():
            return
        await self._look()
        view = self.view()
        self.load_rate.observe(view.present_groups(), view.now_s)
        declared = self.config.current.declared
        gap = Gap.from_view(view, declared, self.region)
        self.measures.add(gap, self.timer.now_s())
        decisions = self.policy.decide(view, declared, self.region)
        if not self.state.guard.tripped:
            await self._write(decisions, view)
        self._order(self.view())
        self._forget()

    def _forget(self) -> None:
        """Drop what concerns groups and instances that are gone."""
        present = {
            r.group_id for r in self.state.groups.values() if r.state != DISSOLVED
        }
        self.reports.keep_only(present)
        self.orders.keep_only(self.instances, self.timer.now_s())

    def _is_candidate(self) -> bool:
        near = [n.node_id for n in self.table.usable() if n.region == self.region]
        ranked = rendezvous_rank(f"planner|{self.region}", near)
        return self.node_id in ranked[:CANDIDATES]

    async def _ready_to_plan(self) -> bool:
        if self.config.current is None:
            return False
        if self._plan_token != self.lease.token:
            self.state.loaded = False
            self._plan_token = self.lease.token
        if not self.state.loaded:
            if not await self.state.load():
                return False
            rows = list(self.state.groups.values())
            self.groups.adopt(self.region, self.state.generation, rows)
        return True

    # Looking.

    async def _look(self) -> None:
        now_s = self.timer.now_s()
        if now_s - self._listed_s >= LIST_INTERVAL_S:
            self._listed_s = now_s
            listed = await self.instance_list.instances(self.region)
            if listed.is_ok():
                self._take_list(listed.unwrap())
        self._bind_rows()
        if now_s - self._probed_s >= SPARE_PROBE_INTERVAL_S:
            self._probed_s = now_s
            spares = [i for i in self.instances.values() if not i.assigned]
            await asyncio.gather(*(self._probe(spare) for spare in spares))

    def _take_list(self, listed: list[Instance]) -> None:
        names = {i.instance_id for i in listed}
        for instance in listed:
            view = self.instances.get(instance.instance_id)
            if view is None:
                self.instances[instance.instance_id] = InstanceView(instance)
            else:
                view.instance = instance
        for name in self.instances.keys() - names:
            # Members stay until their watchers lose them: the list lags.
            if not self.instances[name].assigned:
                del self.instances[name]

    def _bind_rows(self) -> None:
        for name, view in self.instances.items():
            was_assigned = view.assigned
            view.row = self.state.instances.get(name)
            if was_assigned and not view.assigned:
                # Freed just now: it counts as free once its engine has let go.
                view.state, view.since_s = UNKNOWN, self.timer.now_s()

    async def _probe(self, view: InstanceView) -> None:
        reply = await self.engines.status(view.instance.address)
        if reply.is_err():
            self._set_state(view, LOST if view.state != UNKNOWN else UNKNOWN)
            return
        status = reply.unwrap()
        view.weights, view.reported_token = status.weights, status.fencing_token
        if status.instance_id != view.instance_id or status.leaving:
            self._set_state(view, UNKNOWN)
        elif status.group_id and view.row is not None:
            self._set_state(view, UNKNOWN)
            if self._permits_lapsed(status.group_id):
                self.orders.release(view, view.row)
        else:
            self._set_state(view, READY)

    def _permits_lapsed(self, group_id: str) -> bool:
        return self.timer.now_s() >= self.orders.not_before_s.get(group_id, 0.0)

    def _set_state(self, view: InstanceView, state: str) -> None:
        if view.state == state:
            return
        now_s = self.timer.now_s()
        if state == LOST:
            self._count_loss(view, now_s)
        view.state, view.since_s = state, now_s

    def _count_loss(self, view: InstanceView, now_s: float) -> None:
        recent = [
            at_s
            for at_s in self._losses.get(view.instance_id, [])
            if now_s - at_s < FLAP_MEMORY_S
        ]
        recent.append(now_s)
        self._losses[view.instance_id] = recent
        extra = len(recent) - FLAPS_FORGIVEN
        if extra > 0:
            quarantine_s = min(QUARANTINE_S * 2 ** (extra - 1), LONGEST_QUARANTINE_S)
            view.quarantined_until_s = now_s + quarantine_s
            log_event(
                "instance_quarantined",
                instance=view.instance_id,
                losses=len(recent),
                duration_s=quarantine_s,
            )

    def view(self) -> RegionView:
        """Return what this planner sees of its region."""
        self._bind_rows()
        now_s = self.timer.now_s()
        alive = {node.node_id for node in self.table.usable()}
        groups = {}
        for row in self.state.groups.values():
            if row.state == DISSOLVED:
                continue
            group = self.reports.view(row, alive, now_s)
            group.drained_since_s = self._drained_since(row, now_s)
            groups[row.group_id] = group
            self._copy_states(group)
        return RegionView(now_s, self.instances, groups, self.load_rate.shard_load_s)

    def _drained_since(self, row: GroupRow, now_s: float) -> float:
        if row.state != DRAINING and not row.leaving:
            self._drained_since_s.pop(row.group_id, None)
            return now_s
        return self._drained_since_s.setdefault(row.group_id, now_s)

    def _copy_states(self, group: GroupView) -> None:
        for member in group.row.members:
            instance = self.instances.get(member.instance_id)
            if instance is not None:
                self._set_state(instance, group.states[member.instance_id])

    # Writing.

    async def _write(self, decisions: list[Decision], view: RegionView) -> None:
        for decision in decisions[:DECISIONS_PER_PASS]:
            if not self.lease.held():
                return
            self._wait_out_permits(decision, view)
            done = await self.state.commit(
                decision, self.instances, self.lease.check(), self.config.revision
            )
            if done.is_err():
                log_event(
                    "decision_not_written",
                    decision=type(decision).__name__,
                    code=int(done.unwrap_err().code),
                    detail=done.unwrap_err().message,
                )
                return
            row = done.unwrap()
            log_event(
                "decision_written",
                decision=type(decision).__name__,
                group=row.group_id,
                epoch=row.epoch,
                reason=getattr(decision, "reason", "-"),
            )
            self.groups.adopt(self.region, self.state.generation, [row])

    def _wait_out_permits(self, decision: Decision, view: RegionView) -> None:
        """Hold back orders until no permit of the old epoch can be valid."""
        if not isinstance(decision, Repair | Dissolve):
            return
        group_id = decision.group_id
        last_s = self.reports.last_permitted_s.get(group_id)
        group = view.groups.get(group_id)
        if group is not None and group.serving:
            last_s = self.timer.now_s()
        if last_s is not None:
            until_s = last_s + self.permit_s * CLOCK_RATE_MARGIN
            self.orders.not_before_s[group_id] = until_s

    def _order(self, view: RegionView) -> None:
        if not self.lease.may_send():
            return
        declared = self.config.current.declared
        importance = {s.name: s.importance for s in declared.model_services}
        self.orders.reconcile(view.present_groups(), importance)

    async def close(self) -> None:
        """Stop ordering and hand the lease over."""
        await self.orders.close()
        await self.lease.release()
