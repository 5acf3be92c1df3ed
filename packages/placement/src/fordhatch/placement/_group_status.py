"""Classification of groups by the reports of their members."""

from __future__ import annotations

from collections.abc import Set
from enum import Enum

import attrs

from fordhatch.catalog import BackendState, MemberState, ModelProfile
from fordhatch.registry import ReplicaGroup


class GroupCondition(Enum):
    """State of a group, which determines the planner's next step for it."""

    SERVING = "serving"
    FORMING = "forming"
    COMPLETE = "complete"
    """Every member is ready; the head may be opened."""
    INCOMPLETE = "incomplete"
    """A member is lost or reports another group, or the head is broken."""
    LEAVING = "leaving"
    """A member drains; the group is replaced before that member leaves."""
    CLOSING = "closing"


@attrs.frozen
class GroupStatus:
    """A group with its condition."""

    group: ReplicaGroup
    condition: GroupCondition
    missing: int
    """Number of members that are lost or report another group."""


def assess_group(
    group: ReplicaGroup, model: ModelProfile, dead: Set[str]
) -> GroupStatus:
    """Determine the condition of a group.

    Args:
        group: The group as its members report it.
        model: The model that it serves.
        dead: Backend servers that are known to be lost, though perhaps still listed.
    """
    present = [m for m in group.members.values() if m.backend_id not in dead]
    missing = model.size - len(present)
    return GroupStatus(group, _condition(group, model, missing), missing)


def _condition(
    group: ReplicaGroup, model: ModelProfile, missing: int
) -> GroupCondition:
    members = group.members.values()
    states = {m.membership.state for m in members if m.membership is not None}
    head = group.head
    head_state = head.membership.state if head is not None else None
    if head_state is MemberState.BROKEN:
        return GroupCondition.INCOMPLETE
    if missing > 0:
        # Members of an open group other than the head report that they are ready.
        is_forming = MemberState.JOINING in states or head_state is MemberState.READY
        return GroupCondition.FORMING if is_forming else GroupCondition.INCOMPLETE
    if head_state is MemberState.CLOSING:
        return GroupCondition.CLOSING
    if any(m.state is BackendState.DRAINING for m in members):
        return GroupCondition.LEAVING
    if head_state is MemberState.OPEN:
        return GroupCondition.SERVING
    if states == {MemberState.READY} and len(members) == model.size:
        return GroupCondition.COMPLETE
    return GroupCondition.FORMING
