"""The planner: one node at a time decides which groups there are."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from fordhatch.adapter import BackendClient, StoreClient
from fordhatch.catalog import (
    BackendServer,
    BackendState,
    MemberState,
    Service,
    SystemBounds,
    model_of_group,
)
from fordhatch.core import Timer, log_event, metrics
from fordhatch.registry import BACKENDS_GATHER_S, ReplicaGroup, StoreView

from ._crash_loops import CrashLoops
from ._crash_record_care import CrashRecordCare
from ._demand_book import DemandBook
from ._dissolutions import Dissolutions
from ._formations import Formations
from ._group_builder import GroupBuilder
from ._group_care import USELESS_PACE, GroupCare
from ._group_recorder import GroupRecorder
from ._layout import Layout
from ._load_budget import LoadBudget
from ._loss_check import LossCheck
from ._order_desk import OrderDesk
from ._planner_lease import PlannerLease
from ._slow_backends import SlowBackends
from ._staging import Staging

STEP_S = 0.05
"""Time between steps of the planner; also the longest delay that it adds."""

SLOW_STEP_S = 0.1
"""Time between looks at conversions and loads. These take seconds, and were half of a
step's processor time at 925 backend servers."""

PLANNER_GATHER_S = 0.03
"""Pause in which changes of backend servers gather for the planner: every step of a
formation waits for it."""

EPOCHS_PER_RENEWAL = 1000
"""Epochs that are derived from one version of the lease's row."""

MOST_REMEMBERED = 1000
"""Backend servers that are not listed and whose last model is remembered: they may be
back, and then rejoin in 0.2 s. It is forgotten of all of them when there are more."""

FREE_LOADS_S = 9.0
"""At the first start of the whole system, loads before the first request are quick
and unlimited; traffic begins 12 s after the instances or later."""

FILLED_AFTER_S = 0.6
"""At the first start, groups are laid out when no backend server has appeared for
this long: they register within about two seconds of each other."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
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
    care: GroupCare
    recorder: GroupRecorder
    slow: SlowBackends
    crash_records: CrashRecordCare
    loops: CrashLoops
    demand: DemandBook
    builder: GroupBuilder = attrs.field(init=False)
    last_model: dict[str, str] = attrs.field(factory=dict)
    """Model of each backend server's last group."""
    _led: bool = False
    _epochs: int = 0
    _epoch_base: int = 0
    _started_s: float = -math.inf
    _backends_seen: int = 0
    _newest_s: float = 0.0
    _slow_step_s: float = -math.inf
    """When conversions and loads are looked at next."""

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
        desk = OrderDesk(backends, timer, lambda: lease.fencing_token, lease.superseded)
        losses = LossCheck(backends, timer)
        directory = view.directory
        loads = LoadBudget(timer, bounds.load_window_s)
        formations = Formations(desk, directory, timer)
        dissolutions = Dissolutions(desk, losses, directory, timer, bounds.stall_s)
        loops = CrashLoops(timer)
        care = GroupCare(view, store, timer, losses, formations, dissolutions, loops)
        planner = cls(
            view,
            lease,
            store,
            timer,
            bounds,
            is_first_start,
            has_traffic,
            desk,
            losses,
            formations,
            dissolutions,
            loads,
            Staging(desk, loads, timer),
            care,
            GroupRecorder(store, view.shared, timer),
            SlowBackends(view, store, backends, timer),
            CrashRecordCare(view, store, timer),
            loops,
            DemandBook(),
        )
        planner.builder = GroupBuilder(
            care, formations, dissolutions, timer, planner.next_epoch
        )
        directory.subscribe_changes(planner._note_model)
        directory.subscribe_ends(planner._note_end)
        return planner

    async def run(self) -> None:
        """Plan whenever this node has the lease, until cancelled."""
        if self._started_s == -math.inf:
            self._started_s = self.timer.now_s()
        while True:
            if self.lease.is_held():
                self._lead()
                self.step()
                await self.timer.sleep(STEP_S)
                continue
            if self._led:
                self._stop_leading()
            await self.lease.until_held()

    def _lead(self) -> None:
        if self._led:
            return
        self._led = True
        self.view.backends.gather_s = PLANNER_GATHER_S
        if not self._are_loads_free() and not self.lease.is_first_holder:
            # An earlier planner may just have used the whole window.
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
        self.care.forget()
        self.loops.forget()
        self.demand.forget()
        self.builder.forget()

    def _note_model(self, backend: BackendServer) -> None:
        """Remember the model of a backend server's last group."""
        place = backend.membership
        if place is not None and place.state is not MemberState.JOINING:
            self.last_model[backend.backend_id] = model_of_group(place.group)

    def _note_end(self, backend: BackendServer, is_restarted: bool) -> None:
        """Take a backend server that has started again for one that holds nothing.

        One that is only no longer listed may be back, with what it held.
        """
        if not is_restarted:
            return
        self.last_model.pop(backend.backend_id, None)
        if self._led:
            self.losses.found_ended(backend.backend_id)

    def _are_loads_free(self) -> bool:
        uptime_s = self.timer.now_s() - self._started_s
        early = uptime_s < FREE_LOADS_S and self.is_first_start
        return early and not self.has_traffic()

    def step(self) -> None:
        """Look at everything once and send the orders that are due."""
        configuration = self.view.configuration.current
        if configuration is None or not self.view.backends.is_loaded:
            return
        is_slow_step = self._is_slow_step_due()
        now_s = self.timer.now_s()
        self.demand.step(len(self.view.shared.nodes), now_s)
        self.care.lost.step(now_s)
        for service in configuration.engine_services():
            self._plan_service(service, is_slow_step=is_slow_step)
        self.slow.step()
        self.crash_records.step()
        self._forget_gone()

    def _plan_service(self, service: Service, *, is_slow_step: bool) -> None:
        directory = self.view.directory
        groups = directory.groups(service.name)
        self.care.check_suspicions(groups)
        self.loops.step(self.losses.dead)
        layout = Layout(service.engine, self.last_model, self.loops.held_off())
        layout.count_backends(self._usable(service))
        layout.missing = self.care.lost.beyond_chance()
        layout.busy_groups = self.demand.busy_groups(
            service.name, service.engine, layout.backends
        )
        kept: list[ReplicaGroup] = []
        # Groups of models that are no longer declared come last: whether they are
        # still needed depends on the others.
        declared = sorted(groups.values(), key=lambda g: not _is_declared(service, g))
        for group in declared:
            key = group.key
            if key in self.dissolutions.released:
                continue
            held = self.dissolutions.is_held(key)
            if not held and self.care.tend(layout, group):
                layout.add(group.model, group.head.domain if group.head else "")
                kept.append(group)
        for key in (*self.formations.step(groups), *self.care.lost_formations()):
            self.care.give_up(key, groups.get(key))
        for key, formation in self.formations.active.items():
            if key not in groups:
                layout.add(formation.plan.model.name, formation.plan.members[0].domain)
        for model, domain in self.builder.on_their_way():
            layout.add(model, domain)
        self.dissolutions.step()
        # Whoever was just found to be lost must not be counted on.
        usable = self._usable(service)
        layout.count_backends(usable)
        busy = self._busy_ids(groups)
        # Who is known by a record only may have a place that nobody here knows of.
        free = [
            b
            for b in usable
            if b.backend_id not in busy and self.view.directory.is_listed(b)
        ]
        if self._is_still_filling():
            return
        first = self._are_loads_free()
        may_convert = is_slow_step and self.demand.is_trusted(self.timer.now_s())
        self._tell(service, layout)
        free = self.builder.step(
            layout, free, kept, is_first_layout=first, may_convert=may_convert
        )
        self.dissolutions.free_leftovers(self.formations.member_ids())
        if first or is_slow_step:
            grouped = [b for b in usable if b.backend_id in busy]
            self.staging.forget_done(usable)
            self.staging.step(layout, free, grouped, are_loads_free=first)

    def _tell(self, service: Service, layout: Layout) -> None:
        """Log what is asked of each model when that has changed, beside its groups."""
        busy = layout.busy_groups or {}
        for model, work in busy.items():
            metrics.MODEL_BUSY_GROUPS.labels(service.name, model).set(work)
        if not self.demand.has_moved(service.name, busy):
            return
        for model in service.engine.models:
            log_event(
                "model_demand",
                service=service.name,
                model=model.name,
                busy_groups=round(busy.get(model.name, 0.0), 2),
                missing=round(layout.missing[model.name], 2),
                groups=layout.counts[model.name],
                wanted=round(layout.target(model), 2),
            )

    def _is_slow_step_due(self) -> bool:
        """Return whether it is time to look at conversions and loads again."""
        now_s = self.timer.now_s()
        if now_s < self._slow_step_s:
            return False
        self._slow_step_s = now_s + SLOW_STEP_S
        return True

    def _busy_ids(self, groups: dict[Key, ReplicaGroup]) -> set[str]:
        """Return who can't join a group now.

        Members of a group that was released a moment ago may, though its entries
        still name it: whatever waits for them would otherwise find none of them.
        """
        grouped = {
            member.backend_id
            for key, group in groups.items()
            if key not in self.dissolutions.released
            for member in group.members.values()
        }
        return grouped | self.formations.member_ids() | self.dissolutions.member_ids()

    def _usable(self, service: Service) -> list[BackendServer]:
        dead = self.losses.dead
        slow = self.view.shared.slow
        useless = {b for b, pace in slow.items() if pace >= USELESS_PACE}
        return [
            b
            for b in self.view.directory.index.of_service(service.name)
            if b.state is BackendState.READY
            and b.backend_id not in dead
            and b.backend_id not in useless
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

    def next_epoch(self) -> int:
        """Return an epoch above every epoch of earlier planners and of this one."""
        if self.lease.epoch_base != self._epoch_base:
            self._epoch_base = self.lease.epoch_base
            self._epochs = 0
        self._epochs += 1
        return self._epoch_base * EPOCHS_PER_RENEWAL + self._epochs

    def _forget_gone(self) -> None:
        directory = self.view.directory
        listed = set(directory.backends)
        if len(self.last_model) > len(listed) + MOST_REMEMBERED:
            self.last_model = {b: m for b, m in self.last_model.items() if b in listed}
        reported = directory.index.group_keys()
        self.recorder.step(self.care.serving(), reported)
        self.dissolutions.released &= reported
        kept = set(self.dissolutions.active) | set(self.formations.active) | reported
        members = self.care.keep_only(kept) | self.dissolutions.member_ids()
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
        await self.care.close()
        await self.recorder.close()
        await self.slow.close()
        await self.crash_records.close()


def _is_declared(service: Service, group: ReplicaGroup) -> bool:
    return service.engine.model(group.model) is not None
