"""The planner, which decides on one node at a time which replica groups exist."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from fordhatch.adapter import BackendClient, StoreClient
from fordhatch.catalog import (
    BackendServer,
    MemberState,
    Service,
    SystemBounds,
    model_of_group,
)
from fordhatch.core import Timer
from fordhatch.registry import (
    BACKENDS_GATHER_S,
    BackendProber,
    ReplicaGroup,
    StoreView,
)

from ._crash_loops import CrashLoops
from ._crash_record_cleaner import CrashRecordCleaner
from ._demand_book import DemandEstimator
from ._dissolutions import Dissolutions
from ._draining import DrainPolicy
from ._epoch_source import EpochSource
from ._evacuated_groups import EvacuatedGroups
from ._first_start import FirstStart
from ._formations import Formations
from ._group_builder import GroupBuilder
from ._group_recorder import GroupRecorder
from ._group_supervisor import GroupSupervisor
from ._known_members import KnownMembers
from ._layout import Layout
from ._load_budget import LoadBudget
from ._loss_check import LossCheck
from ._order_sender import OrderSender
from ._planner_lease import PlannerLease
from ._planner_report import PlannerReport, PlannerState
from ._release import Release, ReleaseDetector
from ._slow_backends import SlowBackends
from ._staging import Staging
from ._suspicions import SuspicionCheck
from ._usable_backends import UsableBackends

STEP_INTERVAL_S = 0.05
"""Time between planner steps, and the longest delay that the planner adds."""

SLOW_STEP_INTERVAL_S = 0.1
"""Time between checks of conversions and loads. Both take seconds to complete, and
checking them in every step would double its processor time at 925 backend servers."""

PLANNER_GATHER_S = 0.03
"""Time over which the planner's node batches changes of backend servers. Every stage
of a formation waits this long."""

MAX_REMEMBERED_BACKENDS = 1000
"""Maximum number of unlisted backend servers whose last model is remembered. A backend
server that is listed again rejoins a group of that model in 0.2 s. Above the maximum,
the entries of all unlisted backend servers are dropped."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class Planner:
    """Keeps as many replica groups open as the backend servers allow."""

    view: StoreView
    lease: PlannerLease
    store: StoreClient
    timer: Timer
    bounds: SystemBounds
    first_start: FirstStart
    order_sender: OrderSender
    losses: LossCheck
    formations: Formations
    dissolutions: Dissolutions
    loads: LoadBudget
    staging: Staging
    supervisor: GroupSupervisor
    recorder: GroupRecorder
    slow: SlowBackends
    crash_records: CrashRecordCleaner
    crash_loops: CrashLoops
    demand: DemandEstimator
    report: PlannerReport
    evacuated: EvacuatedGroups
    backends: UsableBackends
    builder: GroupBuilder = attrs.field(init=False)
    last_model: dict[str, str] = attrs.field(factory=dict)
    """Model of each backend server's last group."""
    _releases: dict[str, ReleaseDetector] = attrs.field(factory=dict)
    """Detectors of rolling releases by service."""
    _is_leading: bool = False
    _is_window_unknown: bool = False
    """Whether loads of an earlier planner may still count, and are not marked yet."""
    _next_slow_step_s: float = -math.inf
    """When conversions and loads are checked next."""

    @classmethod
    def create(
        cls,
        view: StoreView,
        lease: PlannerLease,
        store: StoreClient,
        backends: BackendClient,
        prober: BackendProber,
        timer: Timer,
        bounds: SystemBounds,
        *,
        is_first_start: bool,
        has_traffic: Callable[[], bool],
    ) -> Planner:
        """Build the planner of a node; it acts only while the node holds the lease."""
        order_sender = OrderSender(
            backends, timer, lambda: lease.fencing_token, lease.step_down
        )
        losses = LossCheck(prober, timer)
        directory = view.directory
        loads = LoadBudget(timer, bounds.load_window_s)
        formations = Formations.create(order_sender, directory, timer)
        dissolutions = Dissolutions(
            order_sender, losses, directory, timer, bounds.stall_s
        )
        crash_loops = CrashLoops(timer)
        supervisor = GroupSupervisor(
            view,
            timer,
            losses,
            formations,
            dissolutions,
            crash_loops,
            DrainPolicy(directory, formations),
            KnownMembers(view.shared),
            SuspicionCheck(view, store, timer, losses, dissolutions),
        )
        planner = cls(
            view,
            lease,
            store,
            timer,
            bounds,
            FirstStart(timer, is_first_start, has_traffic),
            order_sender,
            losses,
            formations,
            dissolutions,
            loads,
            Staging(order_sender, loads, timer),
            supervisor,
            GroupRecorder(store, view.shared, timer),
            SlowBackends(view, store, prober, timer),
            CrashRecordCleaner(view, store, timer),
            crash_loops,
            DemandEstimator(),
            PlannerReport(timer),
            EvacuatedGroups(view.evacuations, supervisor, formations),
            UsableBackends(view, losses),
        )
        planner.builder = GroupBuilder(
            supervisor,
            formations,
            dissolutions,
            planner.evacuated,
            timer,
            EpochSource(lease).next_epoch,
        )
        directory.subscribe_changes(planner._record_model)
        directory.subscribe_removals(planner._handle_termination)
        return planner

    async def run(self) -> None:
        """Plan whenever this node holds the lease, until cancelled."""
        self.first_start.begin()
        while True:
            if self.lease.is_held():
                self._start_leading()
                self.report.begin_step()
                self.step()
                self.report.end_step(STEP_INTERVAL_S)
                await self.timer.sleep(STEP_INTERVAL_S)
                continue
            if self._is_leading:
                self._stop_leading()
            await self.lease.until_held()

    def _start_leading(self) -> None:
        if self._is_leading:
            return
        self._is_leading = True
        self.view.backends.gather_s = PLANNER_GATHER_S
        are_free = self.first_start.are_loads_free()
        self._is_window_unknown = not are_free and not self.lease.is_first_holder

    def _stop_leading(self) -> None:
        self._is_leading = False
        self.view.backends.gather_s = BACKENDS_GATHER_S
        self.formations.active.clear()
        self.dissolutions.forget()
        self.losses.forget()
        self.order_sender.forget()
        self.staging.forget()
        self.supervisor.forget()
        self._releases.clear()
        self.crash_loops.forget()
        self.demand.forget()
        self.report.forget()
        self.builder.forget()

    def _record_model(self, backend: BackendServer) -> None:
        """Record the model of a backend server's last group.

        A member that is still joining has not served the model yet.
        """
        place = backend.membership
        if place is not None and place.state is not MemberState.JOINING:
            self.last_model[backend.backend_id] = model_of_group(place.group)

    def _handle_termination(self, backend: BackendServer, is_restarted: bool) -> None:
        """Forget the last model of a backend server that has restarted.

        A backend server that is merely unlisted may still run with its weights.
        """
        if not is_restarted:
            return
        self.last_model.pop(backend.backend_id, None)
        if self._is_leading:
            self.losses.mark_terminated(backend.backend_id)

    def step(self) -> None:
        """Evaluate the current state once and send the orders that are due."""
        configuration = self.view.configuration.current
        if configuration is None or not self.view.backends.is_loaded:
            return
        if self._is_window_unknown:
            # The previous planner may have just used up the load window.
            self._is_window_unknown = False
            for service in configuration.engine_services():
                self.loads.mark_used(service.engine.loads_per_s)
        is_slow_step = self._is_slow_step_due()
        now_s = self.timer.now_s()
        self.demand.step(len(self.view.shared.nodes), now_s)
        self.supervisor.lost_groups.step(now_s)
        for service in configuration.engine_services():
            self._plan_service(service, is_slow_step=is_slow_step)
        self.slow.step()
        self.crash_records.step()
        self._prune_state()

    def _plan_service(self, service: Service, *, is_slow_step: bool) -> None:
        directory = self.view.directory
        groups = directory.groups(service.name)
        self.supervisor.check_suspicions(groups)
        self.crash_loops.step(self.losses.dead)
        layout = Layout(
            service.engine, self.last_model, self.crash_loops.paused_models()
        )
        layout.count_backends(self.backends.usable(service))
        layout.release = self._release_of(service)
        layout.missing = self.supervisor.lost_groups.missing_beyond_one_loss()
        layout.busy_groups = self.demand.busy_groups(
            service.name, service.engine, layout.backends
        )
        kept: list[ReplicaGroup] = []
        # Groups of models that are no longer declared come last, because the counts
        # of the declared models decide whether they are still needed.
        ordered = sorted(groups.values(), key=lambda g: not _is_declared(service, g))
        for group in ordered:
            key = group.key
            if key in self.dissolutions.released or self.dissolutions.is_dissolving(
                key
            ):
                continue
            if self.evacuated.contains(group.members):
                self.evacuated.advance(layout, group)
            elif self.supervisor.advance(layout, group):
                layout.add(group.model, group.head.domain if group.head else "")
                kept.append(group)
        self.evacuated.cancel_formations(groups)
        self.builder.cancel_evacuated()
        for key in (*self.formations.step(groups), *self.supervisor.lost_formations()):
            self.supervisor.abandon_formation(key, groups.get(key))
        for key, formation in self.formations.active.items():
            if key not in groups:
                layout.add(formation.plan.model.name, formation.plan.members[0].domain)
        for model, domain in self.builder.pending_groups():
            layout.add(model, domain)
        self.dissolutions.step()
        # Exclude backend servers that were found to be lost during this step.
        usable = self.backends.usable(service)
        layout.count_backends(usable)
        assigned = self._assigned_ids(groups)
        # A backend server that is known from a record only may be a member of a group
        # that this node does not know.
        free = [
            b
            for b in usable
            if b.backend_id not in assigned and self.view.directory.is_listed(b)
        ]
        if self.first_start.is_awaiting_backends(len(self.view.directory.backends)):
            return
        first = self.first_start.are_loads_free()
        may_convert = is_slow_step and self.demand.is_trusted(self.timer.now_s())
        self.report.report_demand(
            service.name,
            layout,
            is_changed=self.demand.has_changed(service.name, layout.busy_groups),
        )
        free = self.builder.step(
            layout, free, kept, is_first_layout=first, may_convert=may_convert
        )
        self.dissolutions.order_remaining_to_leave(self.formations.member_ids())
        if (first and self.formations.has_room()) or is_slow_step:
            grouped = [b for b in usable if b.backend_id in assigned]
            self.staging.discard_finished(self.backends.useful(service))
            self.staging.step(layout, free, grouped, are_loads_free=first)
        self.report.report_state(layout, free, self._state(service))

    def _release_of(self, service: Service) -> Release | None:
        """Return the rolling release of a service that is in progress, if any."""
        detector = self._releases.setdefault(service.name, ReleaseDetector())
        listed = self.view.directory.index.of_service(service.name)
        release = detector.step(listed, self.timer.now_s())
        self.report.report_release(service.name, release)
        return release

    def _state(self, service: Service) -> PlannerState:
        """Return what the planner knows of a service, for its report."""
        return PlannerState(
            service.name,
            forming=len(self.formations.active),
            dissolving=len(self.dissolutions.active),
            lost=len(self.losses.dead),
            loading=self.staging.active_count,
            paused_models=self.crash_loops.paused_models(),
        )

    def _is_slow_step_due(self) -> bool:
        """Return whether conversions and loads are due, and schedule the next check."""
        now_s = self.timer.now_s()
        if now_s < self._next_slow_step_s:
            return False
        self._next_slow_step_s = now_s + SLOW_STEP_INTERVAL_S
        return True

    def _assigned_ids(self, groups: dict[Key, ReplicaGroup]) -> set[str]:
        """Return the backend servers that can't join a group now.

        Members of released groups are not included, although their entries still name
        the old group for a moment. Otherwise a conversion or a new group that waits
        for them would find none of them.
        """
        grouped = {
            member.backend_id
            for key, group in groups.items()
            if key not in self.dissolutions.released
            for member in group.members.values()
        }
        return grouped | self.formations.member_ids() | self.dissolutions.member_ids()

    def _prune_state(self) -> None:
        """Forget groups and backend servers that are no longer relevant."""
        directory = self.view.directory
        listed = set(directory.backends)
        if len(self.last_model) > len(listed) + MAX_REMEMBERED_BACKENDS:
            self.last_model = {b: m for b, m in self.last_model.items() if b in listed}
        reported = directory.index.group_keys()
        self.recorder.step(self.supervisor.serving(), reported)
        self.dissolutions.released &= reported
        kept = set(self.dissolutions.active) | set(self.formations.active) | reported
        members = self.supervisor.keep_only(kept) | self.dissolutions.member_ids()
        self.losses.keep_only(listed | members | self.formations.member_ids())

    def apply_bounds(self, bounds: SystemBounds) -> None:
        """Apply changed system bounds."""
        self.bounds = bounds
        self.dissolutions.stall_s = bounds.stall_s
        self.loads.window_s = bounds.load_window_s

    async def close(self) -> None:
        """Cancel pending tasks."""
        await self.order_sender.close()
        await self.formations.close()
        await self.losses.close()
        await self.supervisor.close()
        await self.recorder.close()
        await self.slow.close()
        await self.crash_records.close()


def _is_declared(service: Service, group: ReplicaGroup) -> bool:
    return service.engine.model(group.model) is not None
