"""The planner's policy: repair beats rebuild."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import attrs

from fordhatch.config import ModelService, OperatorsFile, PlainService

from ._decisions import (
    Adapt,
    Decision,
    Dissolve,
    Drain,
    Form,
    FormPlain,
    MarkLeaving,
    Repair,
)
from ._pool import FreePool
from ._rows import ACTIVE, DRAINING, MODEL, PLAIN, GroupRow
from ._view import IS_LEAVING, LOST, READY, GroupView, RegionView

LOST_AFTER_S = 2.0
"""How long a member must be unfit before it is replaced."""

MERGE_AFTER_S = 4.0
"""How long a group without replacements waits before its survivors are reused."""

RELOCATE_AFTER_S = 15.0
"""How long a group waits at least before it is built anew elsewhere.

It waits as long as the build itself would take behind the loads already going on:
waiting longer costs more than building, building sooner wastes loads on members that
come back (ski rental).
"""

DRAIN_S = 20.0
"""Longest wait for the streams of a draining group."""

DRAIN_AT_LEAST_S = 3.0
"""A drained group is dissolved no sooner, so that every permit has lapsed."""

GROUPS_PER_RESERVE = 4
"""With no weight on stranded accelerators, one spare is kept for so many groups."""


class GroupPolicy(Protocol):
    """Decides what to change in a region."""

    def decide(
        self, view: RegionView, declared: OperatorsFile, region: str
    ) -> list[Decision]:
        """Return the decisions that this pass calls for, most urgent first."""
        ...


@attrs.define
class RepairFirstPolicy:
    """Keeps survivors and their weights, merges leftovers, rolls without dips."""

    lost_after_s: float = LOST_AFTER_S
    merge_after_s: float = MERGE_AFTER_S
    relocate_after_s: float = RELOCATE_AFTER_S
    drain_s: float = DRAIN_S

    def decide(
        self, view: RegionView, declared: OperatorsFile, region: str
    ) -> list[Decision]:
        """See ``GroupPolicy.decide``."""
        return _Pass(self, view, declared, region).run()


@attrs.define
class _Pass:
    """One pass; instances and groups that it has dealt with are not touched twice."""

    policy: RepairFirstPolicy
    view: RegionView
    declared: OperatorsFile
    region: str
    decisions: list[Decision] = attrs.field(factory=list)
    touched: set[str] = attrs.field(factory=set)
    pool: FreePool = attrs.field(init=False)

    def run(self) -> list[Decision]:
        self.pool = FreePool.from_view(self.view)
        services = [s for s in self.declared.model_services if s.region == self.region]
        services.sort(key=lambda s: (-s.importance, s.name))
        self._mark_leaving()
        self._dissolve_drained()
        self._drop_undeclared()
        for service in services:
            self._repair(service)
        for service in services:
            self._match_count(service)
            self._adapt(service)
        for plain in self.declared.plain_services:
            if plain.region == self.region:
                self._match_plain(plain)
        return self.decisions

    def _decide(self, decision: Decision, group_id: str = "") -> None:
        self.decisions.append(decision)
        if group_id:
            self.touched.add(group_id)

    def _untouched(self, groups: Iterable[GroupView]) -> list[GroupView]:
        return [g for g in groups if g.row.group_id not in self.touched]

    # Leaving members and draining groups.

    def _mark_leaving(self) -> None:
        for group in self.view.present_groups():
            leaving = [
                m.instance_id
                for m in group.row.members
                if self._is_leaving(group, m.instance_id)
            ]
            if leaving != group.row.leaving:
                name = group.row.group_id
                self._decide(MarkLeaving(name, leaving), name)

    def _is_leaving(self, group: GroupView, instance_id: str) -> bool:
        listed = self.view.instances.get(instance_id)
        if listed is not None and listed.instance.state == "leaving":
            return True
        state = group.states.get(instance_id)
        # Once marked, only a member that is plainly ready is staying after all.
        return state == IS_LEAVING or (
            instance_id in group.row.leaving and state != READY
        )

    def _drained(self, group: GroupView) -> bool:
        waited_s = self.view.now_s - group.drained_since_s
        if waited_s >= self.policy.drain_s:
            return True
        return group.in_flight == 0 and waited_s >= DRAIN_AT_LEAST_S

    def _dissolve_drained(self) -> None:
        for group in self._untouched(self.view.present_groups()):
            if group.row.state == DRAINING and self._drained(group):
                self._dissolve(group, "drained")

    def _dissolve(self, group: GroupView, reason: str) -> None:
        self._decide(Dissolve(group.row.group_id, reason), group.row.group_id)

    def _drain(self, group: GroupView, reason: str) -> None:
        self._decide(Drain(group.row.group_id, reason), group.row.group_id)

    def _drop_undeclared(self) -> None:
        for group in self._untouched(self.view.present_groups()):
            service = self.declared.service(group.row.service)
            declared = service is not None and service.region == self.region
            if not declared and group.row.state == ACTIVE:
                self._drain(group, "not declared")

    # Repairs.

    def _repair(self, service: ModelService) -> None:
        groups = self._untouched(self.view.of_service(service.name))
        active = [g for g in groups if g.row.state == ACTIVE]
        active.sort(key=lambda g: (len(self._missing(g)), g.row.group_id))
        stuck: list[GroupView] = []
        for group in active:
            missing = self._missing(group)
            if missing and not self._replace(group, service, missing):
                stuck.append(group)
        self._merge(stuck, service)

    def _missing(self, group: GroupView) -> list[str]:
        missing = group.broken(self.view.now_s, self.policy.lost_after_s)
        for name in group.row.leaving:
            gone = group.states.get(name) == LOST or self._drained(group)
            if gone and name not in missing:
                missing.append(name)
        return missing

    def _replace(
        self, group: GroupView, service: ModelService, missing: list[str]
    ) -> bool:
        row = group.row
        ranks = sorted(row.rank_of(name) for name in missing)
        chosen = self.pool.replacements(row, service.accelerator, ranks)
        if chosen is None:
            return False
        self._decide(Repair(row.group_id, chosen), row.group_id)
        return True

    def _merge(self, stuck: list[GroupView], service: ModelService) -> None:
        """Free one broken group's survivors where they complete another group."""
        by_domain: dict[str, list[GroupView]] = {}
        for group in stuck:
            by_domain.setdefault(group.row.fabric_domain, []).append(group)
        for domain, groups in by_domain.items():
            waited = [g for g in groups if self._waited(g)]
            if not waited or self._is_draining(domain):
                continue
            victim = self._victim(waited, domain, service)
            if victim is None:
                continue
            if victim.serving:
                self._drain(victim, "makes room for a group that matters more")
            else:
                self._dissolve(victim, "survivors complete another group")

    def _is_draining(self, domain: str) -> bool:
        return any(
            g.row.state == DRAINING and g.row.fabric_domain == domain
            for g in self.view.present_groups()
        )

    def _waited(self, group: GroupView) -> bool:
        return bool(group.broken(self.view.now_s, self.policy.merge_after_s)) or bool(
            group.row.leaving and self._drained(group)
        )

    def _victim(
        self, stuck: list[GroupView], domain: str, service: ModelService
    ) -> GroupView | None:
        free = self.pool.count(service.accelerator, domain)
        for victim in reversed(stuck):
            survivors = victim.row.size - len(self._missing(victim))
            others = [g for g in stuck if g is not victim]
            if any(len(self._missing(g)) <= survivors + free for g in others):
                return victim
        return self._lesser_group(stuck[0], domain, service)

    def _lesser_group(
        self, stuck: GroupView, domain: str, service: ModelService
    ) -> GroupView | None:
        """Return a group that matters less than the one that is stuck."""
        extra = self._surplus_group(service, domain, stuck)
        if extra is not None:
            return extra
        lesser = [
            g
            for g in self._untouched(self.view.present_groups())
            if g.row.fabric_domain == domain
            and g.row.kind == MODEL
            and self._matters_less(g.row, service)
        ]
        return min(lesser, key=lambda g: (g.serving, g.row.group_id), default=None)

    def _surplus_group(
        self, service: ModelService, domain: str, stuck: GroupView
    ) -> GroupView | None:
        groups = self._untouched(self.view.of_service(service.name))
        if len(groups) <= service.groups:
            return None
        near = [g for g in groups if g.row.fabric_domain == domain and g is not stuck]
        return min(near, key=lambda g: (g.serving, g.row.group_id), default=None)

    def _matters_less(self, row: GroupRow, service: ModelService) -> bool:
        other = self.declared.service(row.service)
        return (
            isinstance(other, ModelService)
            and other.accelerator == service.accelerator
            and other.importance < service.importance
        )

    # Counts and versions.

    def _is_outdated(self, row: GroupRow, service: ModelService) -> bool:
        return (row.model, row.version, row.size) != (
            service.model,
            service.version,
            service.group_size,
        )

    def _match_count(self, service: ModelService) -> None:
        groups = self.view.of_service(service.name)
        active = [g for g in groups if g.row.state == ACTIVE]
        outdated = [g for g in active if self._is_outdated(g.row, service)]
        if outdated:
            self._roll_out(service, active, outdated)
            return
        stuck = [g for g in active if self._is_stuck(g)]
        for _ in range(service.groups - len(active) + len(stuck)):
            if not self._form(service, reserve=0):
                break
        if len(active) >= service.groups and not stuck:
            self._form_extra(service, len(active))
        self._drop_surplus(service, active, stuck)

    def _is_stuck(self, group: GroupView) -> bool:
        """Return whether a group has waited so long that another may replace it."""
        if group.row.group_id in self.touched:
            return False
        if not group.broken(self.view.now_s, self.policy.relocate_after_s):
            return False
        build_s = self.view.build_s(group.row.size)
        return bool(group.broken(self.view.now_s, build_s))

    def _drop_surplus(
        self, service: ModelService, active: list[GroupView], stuck: list[GroupView]
    ) -> None:
        """Drain groups beyond the declared count, the least useful first."""
        surplus = len(active) - service.most_groups
        if sum(g.serving for g in active) < service.groups:
            # A group that is being built elsewhere does not serve yet; until it
            # does, the one it replaces may still come back.
            return
        worth = sorted(
            active,
            key=lambda g: (g not in stuck, g.serving, -g.row.generation),
        )
        for group in self._untouched(worth)[: max(surplus, 0)]:
            self._drain(group, "more than declared")

    def _roll_out(
        self, service: ModelService, active: list[GroupView], outdated: list[GroupView]
    ) -> None:
        """Replace outdated groups one at a time, a new one first where spares allow."""
        formed = len(active) <= service.groups and self._form(service, reserve=0)
        serving = sum(g.serving for g in active)
        idle = [g for g in outdated if not g.serving]
        if idle:
            # An outdated group that is broken is not worth its repair.
            self._drain_one(idle)
        elif serving > service.groups:
            self._drain_one(outdated)
        elif not formed and serving == len(active) and not self._unsettled(service):
            self._drain_one(outdated)

    def _drain_one(self, groups: list[GroupView]) -> None:
        for group in self._untouched(groups)[:1]:
            self._drain(group, "version roll-out")

    def _unsettled(self, service: ModelService) -> bool:
        """Return whether instances of an earlier step are still on their way."""
        groups = self.view.of_service(service.name)
        return any(g.row.state == DRAINING for g in groups) or any(
            i.instance.accelerator == service.accelerator and i.settles(self.view.now_s)
            for i in self.view.instances.values()
        )

    def _form(self, service: ModelService, reserve: int) -> bool:
        weights = [
            f"{service.model}/{service.version}/{rank}/{service.group_size}"
            for rank in range(service.group_size)
        ]
        for domain in self.pool.domains(service.accelerator):
            free = self.pool.count(service.accelerator, domain)
            if free - reserve < service.group_size:
                continue
            chosen = self.pool.take_group(service.accelerator, domain, weights)
            if chosen is not None:
                shard_bytes = self.declared.shard_bytes(service)
                self._decide(Form(service, shard_bytes, chosen))
                return True
        return False

    def _form_extra(self, service: ModelService, active: int) -> None:
        """Put spares to work beyond the declared count, as the policy allows."""
        weight = self.declared.policy.stranded_weight
        if active >= service.most_groups or weight <= 0:
            return
        per_domain = -(-active // max(len(self._domains_of(service)), 1))
        reserve = round((1 - weight) * -(-per_domain // GROUPS_PER_RESERVE))
        self._form(service, reserve)

    def _domains_of(self, service: ModelService) -> set[str]:
        return {g.row.fabric_domain for g in self.view.of_service(service.name)}

    def _adapt(self, service: ModelService) -> None:
        for group in self._untouched(self.view.of_service(service.name)):
            row = group.row
            same = row.adapters == service.adapters
            if same and row.max_running == service.max_running:
                continue
            if row.state == ACTIVE and not self._is_outdated(row, service):
                decision = Adapt(row.group_id, service.adapters, service.max_running)
                self._decide(decision, row.group_id)

    # Plain services.

    def _match_plain(self, service: PlainService) -> None:
        groups = [
            g
            for g in self.view.of_service(service.name)
            if g.row.kind == PLAIN and g.row.state == ACTIVE
        ]
        for group in self._untouched(groups):
            name = group.row.members[0].instance_id
            gone = name not in self.view.instances
            lost = bool(group.broken(self.view.now_s, self.policy.merge_after_s))
            if group.row.leaving and self._drained(group):
                self._dissolve(group, "left")
            elif gone and lost:
                self._dissolve(group, "gone")
        free = [
            i
            for i in self.view.instances.values()
            if i.instance.service == service.name
            and i.instance.state != "leaving"
            and not i.assigned
            and i.state == READY
        ]
        wanted = service.runners - len(groups)
        for instance in sorted(free, key=lambda i: i.instance_id)[: max(wanted, 0)]:
            self._decide(FormPlain(service, instance.instance_id))
        for group in self._untouched(groups)[: max(-wanted, 0)]:
            self._drain(group, "more than declared")
