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


def incarnation_id(registered_id: str, born_ms: int) -> str:
    """Return what identifies one start of a backend server.

    Args:
        registered_id: The id under which it registers; later starts may have it again.
        born_ms: Unix milliseconds of the start, 0 where the platform does not tell.
    """
    return f"{registered_id}@{born_ms}" if born_ms else registered_id


@attrs.frozen
class BackendServer:
    """One start of a backend server."""

    backend_id: str
    """Identifies this start (see ``incarnation_id``). A restarted backend server has
    another one, also where it registers under the same id: it holds nothing of what
    the earlier start held, so nothing that is known of that one may count for it."""
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
    born_ms: int = 0
    """Unix milliseconds of its start; 0 where the platform does not tell."""

    @property
    def registered_id(self) -> str:
        """The id by which the backend server itself and the platform know it."""
        return self.backend_id.removesuffix(f"@{self.born_ms}")

    @property
    def is_head(self) -> bool:
        """Whether this is the member of its group that takes requests."""
        return self.membership is not None and self.membership.rank == 0

    @property
    def is_open_head(self) -> bool:
        """Whether requests may be sent to this head now."""
        return self.is_head and self.membership.state is MemberState.OPEN

    @property
    def takes_streams(self) -> bool:
        """Whether it is an open head that is not leaving."""
        return self.is_open_head and self.state is BackendState.READY
