"""Decides on new groups, and on groups that give way to others."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from fordhatch.catalog import BackendServer, model_of_group
from fordhatch.core import Timer
from fordhatch.registry import ReplicaGroup

from ._conversion import Conversion, choose_conversion
from ._dissolutions import Dissolutions
from ._formations import Formations
from ._group_care import GroupCare
from ._layout import FreeBackends, GroupPlan, Layout, choose_group

CONVERSION_LIMIT_S = 8.0
"""Heads that are closed for a conversion finish their requests within this time."""

MOST_CONVERSIONS = 3
"""Conversions at a time. Each takes about three seconds, and a burst may want three
groups to give way; more at once would leave a model of six groups with too few."""


REVERSAL_S = 8.0
"""A model that has just got a group of another one gives none up for this long: what
is asked for is known to a tenth, and each move costs both two seconds of a group."""


@attrs.frozen
class _Pending:
    """A conversion whose donors have not all let go."""

    conversion: Conversion
    since_s: float


@attrs.define(eq=False, repr=False)
class GroupBuilder:
    """Forms groups of free backend servers, and has others give way for them."""

    care: GroupCare
    formations: Formations
    dissolutions: Dissolutions
    timer: Timer
    next_epoch: Callable[[], int]
    """Returns an epoch that no group has had."""
    _pending: dict[str, _Pending] = attrs.field(factory=dict)
    """Conversions by fabric domain."""
    _gained_s: dict[str, float] = attrs.field(factory=dict)
    """When a group last gave way for each model."""

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
        free = self._finish_conversions(layout, free)
        # Who is free is used first: what is left of a lost group mostly forms it again
        # at once, and no other group need give way for that.
        left = self._form(layout, free, is_first_layout)
        has_formed = len(left) < len(free)
        if may_convert and not is_first_layout and not has_formed:
            left = self._convert(layout, left, kept)
        return left

    def forget(self) -> None:
        """Forget what is under way; another planner goes on."""
        self._pending.clear()
        self._gained_s.clear()

    def _letting_go(self) -> Counter[str]:
        """Return the lost groups by model whose members are not free yet.

        They are formed again as soon as these are; no other group need give way. Those
        whose members are free count no more, as these may form what is needed most.
        """
        donors = {g.key for p in self._pending.values() for g in p.conversion.donors}
        return Counter(
            model_of_group(key[0])
            for key in self.dissolutions.active
            if key not in donors
        )

    def _has_gained(self, model: str, now_s: float) -> bool:
        """Return whether groups of other models gave way for a model lately."""
        gained_s = self._gained_s.get(model)
        return gained_s is not None and now_s - gained_s < REVERSAL_S

    def on_their_way(self) -> list[tuple[str, str]]:
        """Return model and domain of the groups that others give way for."""
        return [(p.conversion.model.name, d) for d, p in self._pending.items()]

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

    def _finish_conversions(
        self, layout: Layout, free: list[BackendServer]
    ) -> list[BackendServer]:
        """Form the groups that others were given up for, once all have let go.

        Until then nobody else gets their members; returns who else is free.
        """
        for domain, pending in list(self._pending.items()):
            if layout.profile.model(pending.conversion.model.name) is None:
                # Another service's; its own step sees to it.
                continue
            free = self._finish(layout, free, domain, pending)
        return free

    def _finish(
        self,
        layout: Layout,
        free: list[BackendServer],
        domain: str,
        pending: _Pending,
    ) -> list[BackendServer]:
        waited_s = self.timer.now_s() - pending.since_s
        donors = pending.conversion.donors
        held = any(self.dissolutions.is_held(g.key) for g in donors)
        if held and waited_s < CONVERSION_LIMIT_S:
            return [b for b in free if b.domain != domain]
        del self._pending[domain]
        # It has been counted as if it were there.
        model = pending.conversion.model
        layout.remove(model.name, domain)
        there = [b for b in free if b.domain == domain]
        plan = choose_group(layout, there, only_model=model.name)
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
        """Give up groups for one that is worth more, one conversion in each domain.

        Returns:
            Who is free for other groups meanwhile.
        """
        if len(self._pending) >= MOST_CONVERSIONS:
            return free
        serving = [
            g
            for g in kept
            if self.care.is_settled(g)
            and g.head is not None
            and g.head.domain not in self._pending
        ]
        if self.formations.active or self._pending:
            # A new version takes over group by group: the next one only gives way
            # when the one before has been replaced.
            serving = [g for g in serving if layout.profile.model(g.model) is not None]
        now_s = self.timer.now_s()
        serving = [g for g in serving if not self._has_gained(g.model, now_s)]
        healed = layout.with_more(self._letting_go())
        found = choose_conversion(healed, free, serving)
        if found is None:
            return free
        self._pending[found.domain] = _Pending(found, now_s)
        self._gained_s[found.model.name] = now_s
        for group in found.donors:
            reason = f"makes room for {found.model.name}"
            self.care.dissolve(group, reason, finishes_work=True, is_lost=False)
        return [b for b in free if b.domain != found.domain]
