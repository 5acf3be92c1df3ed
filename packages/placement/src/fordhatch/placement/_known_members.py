"""The members of each group, including those that are no longer listed."""

from __future__ import annotations

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.registry import ReplicaGroup, SharedRows

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class KnownMembers:
    """Remembers the members of groups by rank, and which groups a restart broke."""

    shared: SharedRows
    _by_group: dict[Key, dict[int, BackendServer]] = attrs.field(factory=dict)
    _restarted: set[Key] = attrs.field(factory=set)
    """Groups in which a member has restarted. A late join order can give the later
    start its place in the group, but the group is broken."""

    def record(self, group: ReplicaGroup) -> None:
        """Record the members that a group has now."""
        known = self._by_group.get(group.key)
        if known is None:
            known = self._by_group[group.key] = self._recorded(group.key)
        for rank, member in group.members.items():
            previous = known.setdefault(rank, member)
            if previous.backend_id != member.backend_id:
                self._restarted.add(group.key)
            known[rank] = member

    def _recorded(self, key: Key) -> dict[int, BackendServer]:
        """Return the members that an earlier planner has recorded, by rank.

        Without them, the head of a group with one remaining member would be unknown,
        and that member would wait until the head must have broken.
        """
        record = self.shared.records.get(key)
        return dict(enumerate(record.members)) if record is not None else {}

    def has_restarted(self, key: Key) -> bool:
        """Return whether a member of a group has started again since it joined."""
        return key in self._restarted

    def of(self, key: Key) -> dict[int, BackendServer]:
        """Return the members of a group that were ever seen, by rank."""
        return self._by_group.get(key, {})

    def complete(self, group: ReplicaGroup) -> ReplicaGroup:
        """Return a group with the members that are no longer listed."""
        members = {**self.of(group.key), **group.members}
        return ReplicaGroup(group.name, group.epoch, members)

    def forget_restarts(self) -> None:
        """Clear what was seen in this node's time as the planner."""
        self._restarted.clear()

    def keep_only(self, keys: set[Key]) -> set[str]:
        """Drop other groups; returns the ids of the members of those that remain."""
        for key in set(self._by_group) - keys:
            del self._by_group[key]
        self._restarted &= keys
        return {
            m.backend_id for known in self._by_group.values() for m in known.values()
        }
