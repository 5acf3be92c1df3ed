"""Registered backend servers and their membership in replica groups."""

from __future__ import annotations

from enum import StrEnum

import attrs


class BackendState(StrEnum):
    """Whether a backend server accepts new work."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(StrEnum):
    """State of a backend server's membership in a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class GroupMembership:
    """A backend server's membership in a replica group.

    A replica of a model runs on the members of one group.
    """

    group: str
    epoch: int
    """Number under which the group was formed; every formation gets another one."""
    rank: int
    """Index in the group's list of members; rank 0 is the head."""
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """Group and epoch of this membership."""
        return self.group, self.epoch


def incarnation_id(registered_id: str, born_ms: int) -> str:
    """Return the id of one start (incarnation) of a backend server.

    Args:
        registered_id: Id under which it registers; later starts may reuse it.
        born_ms: Unix milliseconds of the start; 0 if the platform does not report it.
    """
    return f"{registered_id}@{born_ms}" if born_ms else registered_id


@attrs.frozen
class BackendServer:
    """One start of a backend server."""

    backend_id: str
    """Identifies this start (see ``incarnation_id``).

    A restarted backend server gets another id, even if it registers under the same
    one: it has lost its state, so nothing known about the earlier start applies.
    """
    service: str
    address: str
    zone: str
    state: BackendState
    slots: int
    domain: str = ""
    """Fabric domain: backend servers with a fast interconnect.

    Groups that span several domains are slow.
    """
    staged_models: tuple[str, ...] = ()
    """Models whose weights are preloaded into the memory of its host."""
    loaded_models: tuple[str, ...] = ()
    membership: GroupMembership | None = None
    born_ms: int = 0
    """Unix milliseconds of its start; 0 if the platform does not report it."""
    cold_left_s: float | None = attrs.field(default=0.0, eq=False)
    """Remaining time for which it is cold, when its entry was written, in seconds; None
    if the entry's value is malformed. Not compared: it decreases with each rewritten
    entry, and the backend server is otherwise unchanged."""
    version: str = ""
    """Version of its software; empty if unknown."""

    @property
    def registered_id(self) -> str:
        """Id that the backend server itself and the platform use."""
        return self.backend_id.removesuffix(f"@{self.born_ms}")

    @property
    def is_head(self) -> bool:
        """Whether this is the member of its group that receives requests."""
        return self.membership is not None and self.membership.rank == 0

    @property
    def is_open_head(self) -> bool:
        """Whether this is the head of an open group, to which requests may be sent."""
        return self.is_head and self.membership.state is MemberState.OPEN

    @property
    def accepts_streams(self) -> bool:
        """Whether this is the head of an open group and not draining."""
        return self.is_open_head and self.state is BackendState.READY
