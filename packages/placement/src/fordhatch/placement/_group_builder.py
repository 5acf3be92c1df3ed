"""Decides on new groups, and on groups that give way to others."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer
from fordhatch.registry import ReplicaGroup

from ._conversion import Conversion, choose_conversion
from ._dissolutions import Dissolutions
from ._formations import Formations
from ._group_care import GroupCare
from ._layout import FreeBackends, GroupPlan, Layout, choose_group

CONVERSION_LIMIT_S = 8.0
"""Heads that are closed for a conversion finish their requests within this time."""


@attrs.define(eq=False, repr=False)
class GroupBuilder:
    """Forms groups from free backend servers, one conversion at a time."""

    care: GroupCare
    formations: Formations
    dissolutions: Dissolutions
    timer: Timer
    next_epoch: Callable[[], int]
    """Returns an epoch that no group has had."""
    _conversion: Conversion | None = None
    _conversion_since_s: float = 0.0

    def step(
        self,
        layout: Layout,
        free: list[BackendServer],
        kept: list[ReplicaGroup],
        *,
        is_first_layout: bool,
        may_convert: bool,
    ) -> list[BackendServer]:
        """Form what is useful; returns who is still free.

        Args:
            layout: The groups that there are.
            free: Backend servers that are in no group.
            kept: Groups that are there to stay.
            is_first_layout: Nothing serves yet; loads are quick.
            may_convert: Groups may be given up for others in this step.
        """
        free = self._finish_conversion(layout, free)
        if may_convert and not is_first_layout:
            free = self._convert(layout, free, kept)
        return self._form(layout, free, is_first_layout)

    def forget(self) -> None:
        """Forget what is under way; another planner goes on."""
        self._conversion = None

    def _form(
        self, layout: Layout, free: list[BackendServer], is_first_layout: bool
    ) -> list[BackendServer]:
        left = FreeBackends(free)
        while True:
            plan = choose_group(layout, left, is_first_layout=is_first_layout)
            if plan is None:
                return left.all()
            self._begin(layout, plan)
            left.take(plan)

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
        if plan is None:
            return free
        self._begin(layout, plan)
        taken = {m.backend_id for m in plan.members}
        return [b for b in free if b.backend_id not in taken]

    def _begin(self, layout: Layout, plan: GroupPlan) -> None:
        self.formations.begin(plan, self.next_epoch())
        for member in plan.members:
            # An entry outlives its backend server by seconds, and by the whole of an
            # outage of the store; a dead member would hold the others for two seconds.
            self.care.losses.ask(member)
        layout.add(plan.model.name, plan.members[0].domain)

    def _convert(
        self, layout: Layout, free: list[BackendServer], kept: list[ReplicaGroup]
    ) -> list[BackendServer]:
        """Give up groups for one that is worth more, one conversion at a time.

        Returns:
            Who is free for other groups meanwhile.
        """
        if self._conversion is not None:
            return free
        serving = [g for g in kept if self.care.is_settled(g)]
        if self.formations.active:
            # A new version takes over group by group: the next one only gives way
            # when the one before has been replaced.
            serving = [g for g in serving if layout.profile.model(g.model) is not None]
        found = choose_conversion(layout, free, serving)
        if found is None:
            return free
        self._conversion = found
        self._conversion_since_s = self.timer.now_s()
        for group in found.donors:
            reason = f"makes room for {found.model.name}"
            self.care.dissolve(group, reason, finishes_work=True)
        return [b for b in free if b.domain != found.domain]
