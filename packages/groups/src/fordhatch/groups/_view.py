"""What a planner sees of its region when it decides."""

from __future__ import annotations

import attrs

from fordhatch.platform import Instance

from ._rows import ACTIVE, DISSOLVED, DRAINING, GroupRow, InstanceRow

READY = "ready"
LOADING = "loading"
LOST = "lost"
MISMATCH = "mismatch"
IS_LEAVING = "leaving"
STRAGGLER = "straggler"
FOREIGN = "foreign"
"""The engine took an order with a higher fencing token than its row has."""
UNKNOWN = "unknown"

SETTLE_S = 10.0
"""A freed instance that has not come to rest by then probably will not."""

BROKEN_STATES = (LOST, FOREIGN, STRAGGLER)
"""Member states that call for a repair once they have lasted.

A mismatch is none of them: sending the row's order again mends it.
"""


@attrs.define
class InstanceView:
    """One instance of the region."""

    instance: Instance
    row: InstanceRow | None = None
    state: str = UNKNOWN
    since_s: float = 0.0
    """When ``state`` began, in monotonic seconds."""
    weights: str = ""
    reported_token: int = 0
    quarantined_until_s: float = 0.0
    """Flapping instances are chosen last until then."""

    @property
    def instance_id(self) -> str:
        """The instance's name."""
        return self.instance.instance_id

    @property
    def assigned(self) -> bool:
        """Whether a row binds the instance to a group."""
        return self.row is not None and self.row.group_id != ""

    @property
    def is_free(self) -> bool:
        """Whether the instance is healthy and bound to no group."""
        return (
            not self.assigned
            and self.state == READY
            and self.instance.state != "leaving"
            and self.instance.accelerator != ""
        )

    def settles(self, now_s: float) -> bool:
        """Return whether the instance was freed just now and may soon be free."""
        return (
            not self.assigned
            and self.state == UNKNOWN
            and now_s - self.since_s < SETTLE_S
        )

    @property
    def next_token(self) -> int:
        """A fencing token above every one that the instance may have seen."""
        held = self.row.fencing_token if self.row else 0
        return max(held, self.reported_token) + 1


@attrs.define
class GroupView:
    """One group of the region, with what its watchers report."""

    row: GroupRow
    states: dict[str, str] = attrs.field(factory=dict)
    """State by member."""
    since_s: dict[str, float] = attrs.field(factory=dict)
    """When each state began."""
    serving: bool = False
    in_flight: int = 0
    drained_since_s: float = 0.0
    """When the group stopped taking new work."""

    def broken(self, now_s: float, after_s: float) -> list[str]:
        """Return the members that have been unfit for at least ``after_s``."""
        return [
            member.instance_id
            for member in self.row.members
            if self.states.get(member.instance_id, UNKNOWN) in BROKEN_STATES
            and now_s - self.since_s.get(member.instance_id, now_s) >= after_s
        ]


@attrs.define
class RegionView:
    """Everything a decision may rest on."""

    now_s: float
    instances: dict[str, InstanceView]
    groups: dict[str, GroupView]
    shard_load_s: float = 0.0
    """Time in which one shard more is loaded somewhere in the region; 0 unknown."""

    def build_s(self, shards: int) -> float:
        """Return how long loading so many more shards would take from now."""
        loading = sum(
            state == LOADING
            for group in self.present_groups()
            for state in group.states.values()
        )
        return (loading + shards) * self.shard_load_s

    def of_service(self, service: str) -> list[GroupView]:
        """Return the service's groups that are not dissolved."""
        return [
            g
            for g in self.groups.values()
            if g.row.service == service and g.row.state in (ACTIVE, DRAINING)
        ]

    def present_groups(self) -> list[GroupView]:
        """Return all groups that are not dissolved."""
        return [g for g in self.groups.values() if g.row.state != DISSOLVED]

    def free(self, accelerator: str) -> dict[str, list[InstanceView]]:
        """Return the free instances of a kind by fabric domain."""
        by_domain: dict[str, list[InstanceView]] = {}
        for instance in self.instances.values():
            if instance.is_free and instance.instance.accelerator == accelerator:
                domain = instance.instance.fabric_domain
                by_domain.setdefault(domain, []).append(instance)
        return by_domain
