"""Decides which groups to form, and which groups to give up for other models."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from fordhatch.catalog import BackendServer, model_of_group
from fordhatch.core import Timer
from fordhatch.registry import ReplicaGroup

from ._conversion import Conversion, choose_conversion
from ._dissolutions import Dissolutions
from ._evacuated_groups import EvacuatedGroups
from ._formations import Formations
from ._group_supervisor import GroupSupervisor
from ._layout import FreeBackends, GroupPlan, Layout, choose_group

CONVERSION_TIMEOUT_S = 8.0
"""Time within which heads that are closed for a conversion finish their requests."""

MAX_CONVERSIONS = 3
"""Maximum number of concurrent conversions. Each takes about three seconds, and a burst
may need three groups to be given up. More at once would leave a model of six groups
with too few."""


CONVERSION_COOLDOWN_S = 8.0
"""Time for which a model that has gained a group by a conversion gives none up. Demand
is known to about a tenth only, and each conversion costs both models two seconds of a
group."""


@attrs.frozen
class _PendingConversion:
    """A conversion whose donor groups have not all been released."""

    conversion: Conversion
    since_s: float


@attrs.define(eq=False, repr=False)
class GroupBuilder:
    """Forms groups from free backend servers and gives up other groups for them."""

    supervisor: GroupSupervisor
    formations: Formations
    dissolutions: Dissolutions
    evacuated: EvacuatedGroups
    timer: Timer
    next_epoch: Callable[[], int]
    """Returns an epoch that no group has used."""
    _pending: dict[str, _PendingConversion] = attrs.field(factory=dict)
    """Pending conversions by fabric domain."""
    _last_gain_s: dict[str, float] = attrs.field(factory=dict)
    """Time at which each model last gained a group by a conversion."""

    def step(
        self,
        layout: Layout,
        free: list[BackendServer],
        kept: list[ReplicaGroup],
        *,
        is_first_layout: bool,
        may_convert: bool,
    ) -> list[BackendServer]:
        """Form the groups that are useful.

        Args:
            layout: The existing groups.
            free: Backend servers that are in no group.
            kept: Groups that are to be kept.
            is_first_layout: Whether no group serves yet, so that loads are quick.
            may_convert: Whether groups may be given up for others in this step.

        Returns:
            The backend servers that are still free.
        """
        free = self._finish_conversions(layout, free)
        # Use free backend servers first: the survivors of a lost group usually form
        # it again immediately, without a conversion.
        remaining = self._form(layout, free, is_first_layout)
        has_formed = len(remaining) < len(free)
        if may_convert and not is_first_layout and not has_formed:
            remaining = self._convert(layout, remaining, kept)
        return remaining

    def forget(self) -> None:
        """Forget pending conversions, because another planner takes over."""
        self._pending.clear()
        self._last_gain_s.clear()

    def _dissolving_groups(self) -> Counter[str]:
        """Return the number of lost groups by model whose members are not free yet.

        These groups are formed again as soon as their members are free, so no other
        group needs to be given up for them. A group whose members are free is not
        counted, as they may form the group that is needed most, nor is one in an
        evacuated zone, where no group is formed.
        """
        donors = {g.key for p in self._pending.values() for g in p.conversion.donors}
        return Counter(
            model_of_group(key[0])
            for key, dissolution in self.dissolutions.active.items()
            if key not in donors and not self.evacuated.contains(dissolution.members)
        )

    def _has_gained_recently(self, model: str, now_s: float) -> bool:
        """Return whether a model has recently gained a group by a conversion."""
        gained_s = self._last_gain_s.get(model)
        return gained_s is not None and now_s - gained_s < CONVERSION_COOLDOWN_S

    def cancel_evacuated(self) -> None:
        """Cancel pending conversions in evacuated zones."""
        for domain, pending in list(self._pending.items()):
            if self.evacuated.contains(pending.conversion.donors[0].members):
                del self._pending[domain]

    def pending_groups(self) -> list[tuple[str, str]]:
        """Return model and domain of the groups to form by pending conversions."""
        return [(p.conversion.model.name, d) for d, p in self._pending.items()]

    def _form(
        self, layout: Layout, free: list[BackendServer], is_first_layout: bool
    ) -> list[BackendServer]:
        remaining = FreeBackends(free)
        while self.formations.has_room():
            plan = choose_group(layout, remaining, is_first_layout=is_first_layout)
            if plan is None:
                break
            # At the first layout every entry was written just now.
            self._begin_formation(layout, plan, checks_members=not is_first_layout)
            remaining.remove_members(plan)
        return remaining.all()

    def _finish_conversions(
        self, layout: Layout, free: list[BackendServer]
    ) -> list[BackendServer]:
        """Form the groups of conversions whose donor groups have all been released.

        Until then, free backend servers of the domain are reserved.

        Returns:
            The backend servers that are free for other groups.
        """
        for domain, pending in list(self._pending.items()):
            if layout.profile.model(pending.conversion.model.name) is None:
                # The conversion belongs to another service and is handled in its step.
                continue
            free = self._finish(layout, free, domain, pending)
        return free

    def _finish(
        self,
        layout: Layout,
        free: list[BackendServer],
        domain: str,
        pending: _PendingConversion,
    ) -> list[BackendServer]:
        waited_s = self.timer.now_s() - pending.since_s
        donors = pending.conversion.donors
        is_dissolving = any(self.dissolutions.is_dissolving(g.key) for g in donors)
        if is_dissolving and waited_s < CONVERSION_TIMEOUT_S:
            return [b for b in free if b.domain != domain]
        del self._pending[domain]
        # The layout counts the pending group as if it existed.
        model = pending.conversion.model
        layout.remove(model.name, domain)
        domain_free = [b for b in free if b.domain == domain]
        plan = choose_group(layout, domain_free, only_model=model.name)
        if plan is None:
            return free
        self._begin_formation(layout, plan)
        taken = {m.backend_id for m in plan.members}
        return [b for b in free if b.backend_id not in taken]

    def _begin_formation(
        self, layout: Layout, plan: GroupPlan, *, checks_members: bool = True
    ) -> None:
        self.formations.begin(plan, self.next_epoch())
        for member in plan.members if checks_members else ():
            # An entry outlives its backend server by seconds, or by the length of a
            # store outage. A dead member would delay the others for two seconds.
            self.supervisor.losses.check(member)
        layout.add(plan.model.name, plan.members[0].domain)

    def _convert(
        self, layout: Layout, free: list[BackendServer], kept: list[ReplicaGroup]
    ) -> list[BackendServer]:
        """Give up groups for one that is worth more, one conversion in each domain.

        Returns:
            The backend servers that are free for other groups meanwhile.
        """
        if len(self._pending) >= MAX_CONVERSIONS:
            return free
        serving = [
            g
            for g in kept
            if self.supervisor.is_settled(g)
            and g.head is not None
            and g.head.domain not in self._pending
        ]
        if self.formations.active or self._pending:
            # Groups of a model that is no longer declared are replaced one by one: the
            # next is given up only when the previous one has been replaced.
            serving = [g for g in serving if layout.profile.model(g.model) is not None]
        now_s = self.timer.now_s()
        serving = [g for g in serving if not self._has_gained_recently(g.model, now_s)]
        expected_layout = layout.with_added_groups(self._dissolving_groups())
        found = choose_conversion(expected_layout, free, serving)
        if found is None:
            return free
        self._pending[found.domain] = _PendingConversion(found, now_s)
        self._last_gain_s[found.model.name] = now_s
        for group in found.donors:
            reason = f"makes room for {found.model.name}"
            self.supervisor.dissolve(group, reason, finishes_work=True, is_lost=False)
        return [b for b in free if b.domain != found.domain]
