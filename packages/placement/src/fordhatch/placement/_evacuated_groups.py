"""Groups in evacuated availability zones, which are kept but not counted."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import log_event
from fordhatch.registry import Evacuations, ReplicaGroup

from ._formations import Formations
from ._group_status import GroupCondition, assess_group
from ._group_supervisor import GroupSupervisor
from ._layout import Layout

_UNOPENED = (GroupCondition.FORMING, GroupCondition.COMPLETE)

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class EvacuatedGroups:
    """Keeps and monitors the open groups of evacuated zones; forms none there."""

    evacuations: Evacuations
    supervisor: GroupSupervisor
    formations: Formations

    def contains(self, members: Mapping[int, BackendServer]) -> bool:
        """Return whether the head of a group, or else a member, is evacuated.

        Args:
            members: The known members by rank.
        """
        if not self.evacuations.zones() or not members:
            return False
        return self.evacuations.is_evacuated(members[min(members)].zone)

    def cancel_formations(self, reported: Mapping[Key, ReplicaGroup]) -> None:
        """Cancel the formations in evacuated zones that no member has joined yet.

        Args:
            reported: The groups as their members report them.
        """
        if not self.evacuations.zones():
            return
        for key, formation in list(self.formations.active.items()):
            members = dict(enumerate(formation.plan.members))
            if key not in reported and self.contains(members):
                # A member may still join by an order that is under way; its group is
                # dissolved then, like every group that is not open yet.
                del self.formations.active[key]
                log_event("formation_cancelled", group=key[0], epoch=key[1])

    def advance(self, layout: Layout, group: ReplicaGroup) -> None:
        """Advance a group in an evacuated zone; it does not count in the layout."""
        model = layout.profile.model(group.model)
        if model is not None:
            status = assess_group(group, model, self.supervisor.losses.dead)
            if status.condition in _UNOPENED:
                # Not a failure of the formation, which would count against the model.
                self.formations.active.pop(group.key, None)
                self.supervisor.dissolve(group, "zone is evacuated", is_lost=False)
                return
        self.supervisor.advance(layout, group)
