"""Backend servers as they register themselves, and their places in groups."""

from __future__ import annotations

from enum import StrEnum

import attrs


class BackendState(StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(StrEnum):
    """How far a backend server is with its place in a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class GroupMembership:
    """A backend server's place in a replica group."""

    group: str
    epoch: int
    rank: int
    """Place in the group's list of members; rank 0 is the head."""
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """The group and epoch that this place belongs to."""
        return self.group, self.epoch


@attrs.frozen
class BackendServer:
    """One start of a backend server."""

    backend_id: str
    """Identifies this start; a restarted backend server has another one."""
    service: str
    address: str
    zone: str
    state: BackendState
    slots: int
    domain: str = ""
    """Fabric domain; groups that cross domains are slow."""
    staged_models: tuple[str, ...] = ()
    """Models whose weights lie on its host."""
    loaded_models: tuple[str, ...] = ()
    membership: GroupMembership | None = None

    @property
    def is_head(self) -> bool:
        """Whether this is the member of its group that takes requests."""
        return self.membership is not None and self.membership.rank == 0

    @property
    def is_open_head(self) -> bool:
        """Whether requests may be sent to this head now."""
        return self.is_head and self.membership.state is MemberState.OPEN
