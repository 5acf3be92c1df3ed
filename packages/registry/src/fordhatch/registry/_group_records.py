"""Records of serving groups, which the planner writes to the store.

Entries of backend servers lapse while the store is unavailable, and reappear one by
one within about two seconds after the outage. A node that ran before remembers them. A
node that starts in that time would find few heads, send all requests to these, and
dissolve the groups that seem to lack members. A group's record names the members.
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
"""Prefix of the keys of these rows in the system's own table."""

Key = tuple[str, int]


def record_key(group: str, epoch: int) -> str:
    """Return the key of the row that records a group."""
    return f"{RECORD_PREFIX}{group}/{epoch}"


def split_record_key(key: str) -> Key | None:
    """Return the group and epoch of a record's key, None if it is malformed."""
    group, _, epoch = key.removeprefix(RECORD_PREFIX).rpartition("/")
    is_number = epoch.isascii() and epoch.isdigit()
    return (group, int(epoch)) if group and is_number else None


@attrs.frozen
class GroupRecord:
    """The members of a group that has served; each of them was ready in the group."""

    group: str
    epoch: int
    members: tuple[BackendServer, ...]

    @property
    def key(self) -> Key:
        """Name and epoch."""
        return self.group, self.epoch

    @classmethod
    def from_group(cls, group: ReplicaGroup) -> GroupRecord:
        """Return the record of a complete group."""
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
        raise TypeError("expected strings")
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
    """Return all members in the records, each as a member of its newest group.

    The record of a dissolved group may remain for a while.
    """
    oldest_first = sorted(records, key=lambda record: record.epoch)
    return list({m.backend_id: m for r in oldest_first for m in r.members}.values())
