"""Rows that bind instances to groups in the platform's table service."""

from __future__ import annotations

from typing import Any

import attrs

from fordhatch.core import structure, unstructure

MODEL = "model"
PLAIN = "plain"

FORMING = "forming"
ACTIVE = "active"
DRAINING = "draining"
DISSOLVED = "dissolved"


def lease_key(region: str) -> str:
    """Return the key of a region's planner lease."""
    return f"lease/planner/{region}"


def head_key(region: str) -> str:
    """Return the key of the row that counts a region's group changes."""
    return f"groups-head/{region}"


def group_prefix(region: str) -> str:
    """Return the prefix of a region's group rows."""
    return f"groups/{region}/"


def instance_prefix(region: str) -> str:
    """Return the prefix of a region's instance rows."""
    return f"instances/{region}/"


@attrs.frozen
class InstanceRow:
    """Binds one instance to at most one group."""

    instance_id: str
    group_id: str
    """Empty while the instance is free."""
    epoch: int
    rank: int
    fencing_token: int
    """Rises with every assignment and release."""


@attrs.frozen
class Member:
    """One member of a group, as every node needs to know it."""

    instance_id: str
    address: str
    zone: str
    fencing_token: int
    checks_orders: bool = True


@attrs.frozen
class GroupRow:
    """One replica group; ``epoch`` rises whenever its members change."""

    group_id: str
    region: str
    service: str
    kind: str
    """``model`` or ``plain``."""
    epoch: int
    state: str
    """``active``, ``draining`` or ``dissolved``."""
    generation: int
    """Number of the region's change that wrote this row."""
    members: list[Member]
    """By rank."""
    fabric_domain: str = ""
    model: str = ""
    version: str = ""
    adapters: list[str] = attrs.field(factory=list)
    shard_bytes: int = 0
    max_running: int = 16
    leaving: list[str] = attrs.field(factory=list)
    """Members that the platform is about to take away."""

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> GroupRow:
        """Return the row that a table value or a message holds."""
        return structure(value, cls)

    def to_value(self) -> dict[str, Any]:
        """Return the plain form of the row."""
        return unstructure(self)

    @property
    def key(self) -> str:
        """The row's key in the table service."""
        return group_prefix(self.region) + self.group_id

    @property
    def size(self) -> int:
        """Number of members."""
        return len(self.members)

    @property
    def serves(self) -> bool:
        """Whether the group may take new work once all members are present."""
        return self.state == ACTIVE and not self.leaving

    def rank_of(self, instance_id: str) -> int:
        """Return the rank of a member, or -1."""
        for rank, member in enumerate(self.members):
            if member.instance_id == instance_id:
                return rank
        return -1

    def weights_of(self, rank: int) -> str:
        """Return the name of the shard that a rank loads."""
        return f"{self.model}/{self.version}/{rank}/{self.size}"
