"""Decides when a group with a draining member is given up."""

from __future__ import annotations

import attrs

from fordhatch.catalog import BackendState, ModelProfile
from fordhatch.registry import BackendDirectory, ReplicaGroup

from ._formations import Formations
from ._layout import Layout


@attrs.define(eq=False, repr=False)
class DrainPolicy:
    """Decide whether to give up a group before its draining member leaves."""

    directory: BackendDirectory
    formations: Formations

    def gives_up(
        self, layout: Layout, group: ReplicaGroup, model: ModelProfile
    ) -> bool:
        """Return whether a complete group with a draining member is given up now.

        A draining head receives no requests. Any other draining member stays while
        the group has work, so the group keeps serving until free backend servers can
        replace the draining ones without a load, or until the member has left. During
        a release it serves until then in any case: its survivors would form a group
        that the next step of the release hits as soon.
        """
        leaving = [
            m for m in group.members.values() if m.state is BackendState.DRAINING
        ]
        if any(m.is_head for m in leaving):
            return True
        if layout.release is not None:
            return False
        return self._count_spares(layout, group, model) >= len(leaving)

    def loses_member(self, layout: Layout, group: ReplicaGroup) -> bool:
        """Return whether a release takes a member of a group that is being formed.

        The other members would wait for it until it has left, since a group with a
        draining member is not opened.
        """
        formation = self.formations.active.get(group.key)
        if layout.release is None or formation is None:
            return False
        listed = (self.directory.backends.get(m) for m in formation.member_ids)
        return any(b is None or b.state is BackendState.DRAINING for b in listed)

    def _count_spares(
        self, layout: Layout, group: ReplicaGroup, model: ModelProfile
    ) -> int:
        """Return how many free backend servers can join without a load."""
        domain = group.head.domain
        reserved = self.formations.member_ids()
        return sum(
            b.domain == domain
            and b.membership is None
            and b.state is BackendState.READY
            and b.backend_id not in reserved
            and not layout.must_load(b, model)
            for b in self.directory.index.of_service(group.head.service)
        )
