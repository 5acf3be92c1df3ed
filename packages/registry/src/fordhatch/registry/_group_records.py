"""Groups that serve, as the planner records them in the store.

Entries of backend servers lapse while the store is away, and come back one by one
within about two seconds of its return. A node that was there before remembers them; one
that starts in that time would find few heads, send every request to these, and take
the groups apart that seem to lack members. A group's record tells it who they are.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from fordhatch.catalog import (
    BackendServer,
    BackendState,
    GroupMembership,
    MemberState,
    incarnation_id,
)

from ._backend_index import ReplicaGroup

RECORD_PREFIX = "group/"
"""Begins the keys of records in the system's own table."""

Key = tuple[str, int]


def record_key(group: str, epoch: int) -> str:
    """Return the key of the row that records a group."""
    return f"{RECORD_PREFIX}{group}/{epoch}"


def split_record_key(key: str) -> Key | None:
    """Return the group and epoch of a record's key, None if it is malformed."""
    group, _, epoch = key.removeprefix(RECORD_PREFIX).rpartition("/")
    is_whole = epoch.isascii() and epoch.isdigit()
    return (group, int(epoch)) if group and is_whole else None


@attrs.frozen
class GroupRecord:
    """The members of a group that has served; each of them has been ready in it."""

    group: str
    epoch: int
    members: tuple[BackendServer, ...]

    @property
    def key(self) -> Key:
        """Name and epoch."""
        return self.group, self.epoch

    @classmethod
    def from_group(cls, group: ReplicaGroup) -> GroupRecord:
        """Return the record of a group whose members are all known."""
        members = tuple(group.members[rank] for rank in sorted(group.members))
        return cls(group.name, group.epoch, members)

    def to_bytes(self) -> bytes:
        """Return the row's value."""
        members = [
            [
                m.registered_id,
                m.born_ms,
                m.service,
                m.address,
                m.zone,
                m.domain,
                m.slots,
            ]
            for m in self.members
        ]
        return json.dumps(members, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, key: Key, value: bytes) -> GroupRecord:
        """Return the record in a row's value.

        Raises:
            ValueError, TypeError, OverflowError, RecursionError: If the row is
                malformed.
        """
        listed = json.loads(value)
        if not isinstance(listed, list):
            raise TypeError("expected a list")
        members = [_member(key, rank, fields) for rank, fields in enumerate(listed)]
        return cls(*key, tuple(members))


def _member(key: Key, rank: int, fields: list[Any]) -> BackendServer:
    registered_id, born_ms, service, address, zone, domain, slots = fields
    if not all(isinstance(text, str) for text in (registered_id, address)):
        raise TypeError("expected texts")
    state = MemberState.OPEN if rank == 0 else MemberState.READY
    return BackendServer(
        backend_id=incarnation_id(registered_id, int(born_ms)),
        service=str(service),
        address=address,
        zone=str(zone),
        state=BackendState.READY,
        slots=int(slots),
        domain=str(domain),
        membership=GroupMembership(*key, rank, state),
        born_ms=int(born_ms),
    )


def members_of(records: Iterable[GroupRecord]) -> list[BackendServer]:
    """Return every member in the records, with its place in the newest group.

    The record of a group that has been taken apart may outlast it for a while.
    """
    oldest_first = sorted(records, key=lambda record: record.epoch)
    return list({m.backend_id: m for r in oldest_first for m in r.members}.values())
