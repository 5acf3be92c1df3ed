"""The planner: one node at a time decides which groups there are."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs

from fordhatch.adapter import BackendClient, RowKey, StoreClient
from fordhatch.catalog import (
    BackendServer,
    BackendState,
    EngineProfile,
    MemberState,
    ModelProfile,
    Service,
    SystemBounds,
    model_of_group,
)
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import (
    BACKENDS_GATHER_S,
    SHARED_TABLE,
    ReplicaGroup,
    StoreView,
    suspicion_key,
)

from ._conversion import Conversion, choose_conversion
from ._dissolutions import Dissolutions
from ._formations import LOAD_SLACK_FACTOR, Formations
from ._groups_seen import GroupCondition, GroupSeen, judge
from ._layout import GroupPlan, Layout, choose_group
from ._load_budget import LoadBudget
from ._loss_check import LossCheck
from ._order_desk import OrderDesk
from ._planner_lease import PlannerLease
from ._staging import Staging

STEP_S = 0.05
"""Time between steps of the planner; also the longest delay that it adds."""

TAKEOVER_GRACE_S = 1.2
"""A new planner waits this long for groups that an earlier one was forming."""

PLANNER_GATHER_S = 0.03
"""Pause in which changes of backend servers gather for the planner: every step of a
formation waits for it."""

EPOCHS_PER_RENEWAL = 1000
"""Epochs that are derived from one version of the lease's row."""

FREE_LOADS_S = 9.0
"""At the first start of the whole system, loads before the first request are quick
and unlimited; traffic begins 12 s after the instances or later."""

SETTLED_S = 3.0
"""A group is not given up for another sooner than this after it opened."""

CONVERSION_LIMIT_S = 8.0
"""Heads that are closed for a conversion finish their requests within this time."""

FILLED_AFTER_S = 0.6
"""At the first start, groups are laid out when no backend server has appeared for
this long: they register within about two seconds of each other."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the removal of a row."""

Key = tuple[str, int]


@attrs.define(eq=False)
class Planner:
    """Keeps as many groups open as the backend servers allow."""

    view: StoreView
    lease: PlannerLease
    store: StoreClient
    timer: Timer
    bounds: SystemBounds
    is_first_start: bool
    has_traffic: Callable[[], bool]
    desk: OrderDesk
    losses: LossCheck
    formations: Formations
    dissolutions: Dissolutions
    loads: LoadBudget
    staging: Staging
    last_model: dict[str, str] = attrs.field(factory=dict)
    """Model of each backend server's last group."""
    _members_seen: dict[Key, dict[int, BackendServer]] = attrs.field(factory=dict)
    _odd_since_s: dict[Key, float] = attrs.field(factory=dict)
    _suspected_since_s: dict[Key, float] = attrs.field(factory=dict)
    _serving_since_s: dict[Key, float] = attrs.field(factory=dict)
    _conversion: Conversion | None = None
    _conversion_since_s: float = 0.0
    _clearing: set[Key] = attrs.field(factory=set)
    _led: bool = False
    _led_since_s: float = 0.0
    _epochs: int = 0
    _epoch_base: int = 0
    _started_s: float = -math.inf
    _backends_seen: int = 0
    _newest_s: float = 0.0
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def create(
        cls,
        view: StoreView,
        lease: PlannerLease,
        store: StoreClient,
        backends: BackendClient,
        timer: Timer,
        bounds: SystemBounds,
        *,
        is_first_start: bool,
        has_traffic: Callable[[], bool],
    ) -> Planner:
        """Build the planner of a node; it acts only while it has the lease."""
        desk = OrderDesk(backends, timer)
        losses = LossCheck(backends, timer)
        directory = view.directory
        loads = LoadBudget(timer, bounds.load_window_s)
        return cls(
            view,
            lease,
            store,
            timer,
            bounds,
            is_first_start,
            has_traffic,
            desk,
            losses,
            Formations(desk, directory, timer),
            Dissolutions(desk, losses, directory, timer, bounds.stall_s),
            loads,
            Staging(desk, loads, timer),
        )

    async def run(self) -> None:
        """Plan whenever this node has the lease, until cancelled."""
        if self._started_s == -math.inf:
            self._started_s = self.timer.now_s()
        while True:
            self._watch_models()
            if self.lease.is_held():
                self._lead()
                self.step()
            elif self._led:
                self._stop_leading()
            await self.timer.sleep(STEP_S)

    def _lead(self) -> None:
        if self._led:
            return
        self._led = True
        self.view.backends.gather_s = PLANNER_GATHER_S
        self._led_since_s = self.timer.now_s()
        if not self._are_loads_free():
            configuration = self.view.configuration.current
            for service in configuration.engine_services() if configuration else ():
                self.loads.fill(service.engine.loads_per_s)

    def _stop_leading(self) -> None:
        self._led = False
        self.view.backends.gather_s = BACKENDS_GATHER_S
        self.formations.active.clear()
        self.dissolutions.forget()
        self.losses.forget()
        self.desk.forget()
        self.staging.forget()
        self._conversion = None
        self._odd_since_s.clear()

    def _watch_models(self) -> None:
        for backend in self.view.directory.backends.values():
            place = backend.membership
            if place is not None and place.state is not MemberState.JOINING:
                self.last_model[backend.backend_id] = model_of_group(place.group)

    def _are_loads_free(self) -> bool:
        uptime_s = self.timer.now_s() - self._started_s
        early = uptime_s < FREE_LOADS_S and self.is_first_start
        return early and not self.has_traffic()

    def step(self) -> None:
        """Look at everything once and send the orders that are due."""
        configuration = self.view.configuration.current
        if configuration is None or not self.view.backends.is_loaded:
            return
        for service in configuration.engine_services():
            self._plan_service(service)
        self._forget_gone()

    def _plan_service(self, service: Service) -> None:
        directory = self.view.directory
        groups = directory.groups(service.name)
        self._check_suspicions(groups)
        layout = Layout(service.engine, self.last_model)
        busy: set[str] = set()
        kept: list[ReplicaGroup] = []
        for key, group in groups.items():
            if key in self.dissolutions.released:
                continue
            busy |= {m.backend_id for m in group.members.values()}
            held = self.dissolutions.is_held(key)
            if not held and self._tend(service.engine, group):
                layout.add(group.model, group.head.domain if group.head else "")
                kept.append(group)
        for key in self.formations.step(groups):
            self._give_up(key, groups.get(key))
        for key, formation in self.formations.active.items():
            if key not in groups:
                layout.add(formation.plan.model.name, formation.plan.members[0].domain)
        self.dissolutions.step()
        usable = self._usable(service)
        layout.backends = len(usable)
        busy |= self.formations.member_ids() | self.dissolutions.member_ids()
        free = [b for b in usable if b.backend_id not in busy]
        free = self._finish_conversion(layout, free)
        free = self._convert(layout, free, kept)
        free = self._form(layout, free)
        grouped = [b for b in usable if b.backend_id in busy]
        if not self._is_still_filling():
            self.staging.step(
                layout, free, grouped, are_loads_free=self._are_loads_free()
            )

    # Groups that are there.

    def _tend(self, profile: EngineProfile, group: ReplicaGroup) -> bool:
        """Do what a group needs; returns whether it counts as a group."""
        model = profile.model(group.model)
        if model is None:
            self._dissolve(group, "model is not declared", finishes_work=True)
            return False
        seen = judge(group, model, self.losses.dead)
        self._remember(group)
        match seen.condition:
            case GroupCondition.SERVING:
                self._serving_since_s.setdefault(group.key, self.timer.now_s())
                self.formations.opened(group.key)
            case GroupCondition.COMPLETE:
                self.formations.open(group)
            case GroupCondition.LEAVING:
                self._dissolve(group, "member drains", finishes_work=True)
                return False
            case GroupCondition.INCOMPLETE:
                return self._tend_incomplete(group, seen)
            case GroupCondition.FORMING:
                return self._tend_forming(group, seen, model)
            case GroupCondition.CLOSING:
                return self._is_patient(group.key)
        return True

    def _remember(self, group: ReplicaGroup) -> None:
        self._members_seen.setdefault(group.key, {}).update(group.members)

    def _tend_incomplete(self, group: ReplicaGroup, seen: GroupSeen) -> bool:
        """A member of a serving group is missing: make sure, then replace it."""
        if seen.missing > 0 and self._is_only_unlisted(group):
            return True
        reason = f"{seen.missing} members missing" if seen.missing else "broken"
        self._dissolve(group, reason)
        return False

    def _is_only_unlisted(self, group: ReplicaGroup) -> bool:
        """Return whether every missing member may still be at work.

        A backend server that the store does not hear is not listed, but the group
        goes on with it. The head is different: nobody may send to one that is not
        listed.
        """
        if group.head is None or group.head.backend_id in self.losses.dead:
            return False
        known = self._members_seen.get(group.key, {})
        absent = [m for rank, m in known.items() if rank not in group.members]
        if any(m.backend_id in self.losses.dead for m in known.values()):
            return False
        for member in absent:
            self.losses.ask(member)
        return bool(absent)

    def _dissolve(
        self, group: ReplicaGroup, reason: str, *, finishes_work: bool = False
    ) -> None:
        """Begin to take a group apart, members that are no longer listed included."""
        members = {**self._members_seen.get(group.key, {}), **group.members}
        whole = ReplicaGroup(group.name, group.epoch, members)
        self.dissolutions.begin(whole, reason, finishes_work=finishes_work)
        self.formations.active.pop(group.key, None)

    def _tend_forming(
        self, group: ReplicaGroup, seen: GroupSeen, model: ModelProfile
    ) -> bool:
        if group.key in self.formations.active:
            lost = any(
                m in self.losses.dead
                for m in self.formations.active[group.key].member_ids
            )
            if not lost:
                return True
            self._dissolve(group, "member lost while forming")
            return False
        patience_s = TAKEOVER_GRACE_S
        if seen.missing == 0:
            # An earlier planner's group, on its way: loads take their time.
            patience_s += LOAD_SLACK_FACTOR * model.load_s
        return self._is_patient(group.key, patience_s) or self._dissolve_odd(group)

    def _is_patient(self, key: Key, patience_s: float = TAKEOVER_GRACE_S) -> bool:
        """Return whether a group that another planner left may still come right."""
        since_s = self._odd_since_s.setdefault(key, self.timer.now_s())
        return self.timer.now_s() - since_s < patience_s

    def _dissolve_odd(self, group: ReplicaGroup) -> bool:
        self._dissolve(group, "left over from an earlier planner")
        return False

    def _give_up(self, key: Key, group: ReplicaGroup | None) -> None:
        formation = self.formations.active.pop(key)
        log_event("group_late", group=key[0], epoch=key[1])
        for member in formation.plan.members:
            if group is None or member.membership is None:
                self.losses.ask(member)
        if group is not None:
            self._dissolve(group, "not ready in time")

    # Suspicions.

    def _check_suspicions(self, groups: dict[Key, ReplicaGroup]) -> None:
        for key, suspicion in list(self.view.shared.suspicions.items()):
            group = groups.get(key)
            if group is None or key in self.dissolutions.released:
                self._clear(key)
                continue
            if self.dissolutions.is_held(key):
                continue
            members = list(group.members.values())
            since_s = self._suspected_since_s.setdefault(key, self.timer.now_s())
            for member in members:
                self.losses.ask(member, since_s)
            if any(m.backend_id in self.losses.dead for m in members):
                self._dissolve(group, f"suspected by {suspicion.node_name}")
            elif all(self.losses.is_alive(m.backend_id, since_s) for m in members):
                self._clear(key)

    def _clear(self, key: Key) -> None:
        if key in self._clearing:
            return
        self._clearing.add(key)
        task = self._tasks.spawn(self._remove_suspicion(key), f"clear-{key[0]}")
        task.add_done_callback(lambda _: self._clearing.discard(key))

    async def _remove_suspicion(self, key: Key) -> None:
        row = RowKey(SHARED_TABLE, suspicion_key(*key))
        written = await self.store.write({}, {}, (row,), timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            log_event("suspicion_kept", group=key[0], error=written.err().message)
            await asyncio.sleep(WRITE_TIMEOUT_S)
            return
        self.view.shared.suspicions.pop(key, None)

    # New groups.

    def _usable(self, service: Service) -> list[BackendServer]:
        return [
            b
            for b in self.view.directory.of_service(service.name)
            if b.backend_id not in self.losses.dead and b.state is BackendState.READY
        ]

    def _is_still_filling(self) -> bool:
        """Return whether, at the very first start, backend servers still appear."""
        now_s = self.timer.now_s()
        count = len(self.view.directory.backends)
        if count != self._backends_seen:
            self._backends_seen = count
            self._newest_s = now_s
        quiet_s = now_s - self._newest_s
        return self._are_loads_free() and quiet_s < FILLED_AFTER_S

    def _form(self, layout: Layout, free: list[BackendServer]) -> list[BackendServer]:
        """Form what can be formed; returns who is still free."""
        if self._is_still_filling():
            return free
        first = self._are_loads_free()
        while free:
            plan = choose_group(layout, free, is_first_layout=first)
            if plan is None:
                break
            free = self._begin(layout, plan, free)
        return free

    def _finish_conversion(
        self, layout: Layout, free: list[BackendServer]
    ) -> list[BackendServer]:
        """Form the group that others were given up for, once all have let go.

        Until then nobody else gets their members; returns who else is free.
        """
        pending = self._conversion
        if pending is None:
            return free
        waited_s = self.timer.now_s() - self._conversion_since_s
        held = any(self.dissolutions.is_held(g.key) for g in pending.donors)
        if held and waited_s < CONVERSION_LIMIT_S:
            return [b for b in free if b.domain != pending.domain]
        self._conversion = None
        there = [b for b in free if b.domain == pending.domain]
        plan = choose_group(layout, there, only_model=pending.model.name)
        return self._begin(layout, plan, free) if plan is not None else free

    def _begin(
        self, layout: Layout, plan: GroupPlan, free: list[BackendServer]
    ) -> list[BackendServer]:
        self.formations.begin(plan, self._next_epoch())
        layout.add(plan.model.name, plan.members[0].domain)
        taken = {m.backend_id for m in plan.members}
        return [b for b in free if b.backend_id not in taken]

    def _convert(
        self, layout: Layout, free: list[BackendServer], kept: list[ReplicaGroup]
    ) -> list[BackendServer]:
        """Give up groups for one that is worth more, one conversion at a time.

        Returns:
            Who is free for other groups meanwhile.
        """
        if self._conversion is not None or self._is_still_filling():
            return free
        serving = [g for g in kept if self._is_settled(g)]
        found = choose_conversion(layout, free, serving)
        if found is None:
            return free
        self._conversion = found
        self._conversion_since_s = self.timer.now_s()
        for group in found.donors:
            reason = f"makes room for {found.model.name}"
            self._dissolve(group, reason, finishes_work=True)
        return [b for b in free if b.domain != found.domain]

    def _is_settled(self, group: ReplicaGroup) -> bool:
        """Return whether a group has served long enough to be given up."""
        since_s = self._serving_since_s.get(group.key)
        return since_s is not None and self.timer.now_s() - since_s > SETTLED_S

    def _next_epoch(self) -> int:
        """Return an epoch above every epoch of earlier planners and of this one."""
        if self.lease.epoch_base != self._epoch_base:
            self._epoch_base = self.lease.epoch_base
            self._epochs = 0
        self._epochs += 1
        return self._epoch_base * EPOCHS_PER_RENEWAL + self._epochs

    def _forget_gone(self) -> None:
        directory = self.view.directory
        listed = set(directory.backends)
        reported = {
            b.membership.key for b in directory.backends.values() if b.membership
        }
        kept = set(self.dissolutions.active) | set(self.formations.active) | reported
        self.dissolutions.released &= reported
        for key in set(self._members_seen) - kept:
            del self._members_seen[key]
        self._suspected_since_s = {
            key: since_s
            for key, since_s in self._suspected_since_s.items()
            if key in self.view.shared.suspicions
        }
        for since in (self._odd_since_s, self._serving_since_s):
            for key in set(since) - kept:
                del since[key]
        members = {
            m.backend_id
            for found in (
                *self._members_seen.values(),
                *(d.members for d in self.dissolutions.active.values()),
            )
            for m in found.values()
        }
        self.losses.keep_only(listed | members | self.formations.member_ids())

    def take_bounds(self, bounds: SystemBounds) -> None:
        """Work with changed bounds from now on."""
        self.bounds = bounds
        self.dissolutions.stall_s = bounds.stall_s
        self.loads.window_s = bounds.load_window_s

    async def close(self) -> None:
        """End what is under way."""
        await self.desk.close()
        await self.losses.close()
        await self._tasks.close()
