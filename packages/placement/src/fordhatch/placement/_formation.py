"""A replica group that is being formed."""

from __future__ import annotations

import math

import attrs

from ._layout import GroupPlan


@attrs.define(eq=False, repr=False)
class Formation:
    """A group that is being formed."""

    plan: GroupPlan
    began_s: float
    deadline_s: float
    next_open_s: float = -math.inf
    """When its head may be asked again for an opening under a condition, in monotonic
    seconds."""
    may_head_join_again: bool = False
    """Whether a join order to its head got no answer, and may be carried out again
    later."""

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Ids of the members by rank."""
        return tuple(m.backend_id for m in self.plan.members)
