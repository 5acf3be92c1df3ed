"""The system's own rows: nodes, shared secret, suspicions, groups and crashes."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence

import attrs

from fordhatch.adapter import Row
from fordhatch.core import Timer, log_event

from ._crash_records import (
    CRASH_PREFIX,
    PROVEN_PREFIX,
    CrashKey,
    CrashRecord,
    split_crash_key,
)
from ._group_records import (
    RECORD_PREFIX,
    GroupRecord,
    split_record_key,
)
from ._reader_choice import NodeAddress

SHARED_TABLE = "fordhatch"
"""The system's own table."""

SECRET_KEY = "secret"
"""Key of the row with the secret that nodes share; the first node writes it."""

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    RecursionError,
)
"""Exceptions that decoding a malformed row raises; rows may have other writers."""

PORT_LIMIT = 65536
"""Exclusive upper bound of port numbers."""

MAX_PACE = 1000.0
"""Highest accepted pace. A backend server that is reported slower than this is not
working at all."""

_NODE_PREFIX = "node/"
_SUSPICION_PREFIX = "suspect/"
_SLOW_PREFIX = "slow/"


def node_key(node_name: str) -> str:
    """Return the key of a node's row."""
    return f"{_NODE_PREFIX}{node_name}"


def node_value(address: str, zone: str, weight: float, start_id: str) -> bytes:
    """Return the value of a node's row.

    Args:
        address: ``host:port`` for traffic between nodes.
        zone: The node's availability zone.
        weight: Its capacity relative to other nodes.
        start_id: Identifies this start of the node, so that each start changes the row.
    """
    fields = {
        "address": address,
        "zone": zone,
        "weight": weight,
        "start": start_id,
        "relays": True,
        "lends": True,
    }
    return json.dumps(fields).encode()


def suspicion_key(group: str, epoch: int) -> str:
    """Return the key of the row that reports that a group makes no progress."""
    return f"{_SUSPICION_PREFIX}{group}/{epoch}"


def split_suspicion_key(key: str) -> tuple[str, int] | None:
    """Return the group and epoch of a suspicion's key, None if it is malformed."""
    group, _, epoch = key.removeprefix(_SUSPICION_PREFIX).rpartition("/")
    is_number = epoch.isascii() and epoch.isdigit()
    return (group, int(epoch)) if group and is_number else None


def slow_key(backend_id: str) -> str:
    """Return the key of the row that reports a slow backend server."""
    return f"{_SLOW_PREFIX}{backend_id}"


@attrs.frozen
class Suspicion:
    """A node's report that a group makes no progress."""

    group: str
    epoch: int
    node_name: str
    """The node that reports it."""

    def to_bytes(self) -> bytes:
        """Return the row's value."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def from_bytes(cls, value: bytes) -> Suspicion:
        """Return the suspicion in a row's value.

        Raises:
            ValueError, TypeError, KeyError, RecursionError: If the row is malformed.
        """
        data = json.loads(value)
        return cls(str(data["group"]), int(data["epoch"]), str(data["node_name"]))


@attrs.define(eq=False, repr=False)
class SharedRows:
    """The system's own rows as this node read them last."""

    timer: Timer
    nodes: dict[str, NodeAddress] = attrs.field(factory=dict)
    """All nodes that have registered, also those that are gone. Each change creates
    a new dict, so that its identity shows whether data derived from it is valid."""
    secret: bytes = b""
    """Key with which nodes authenticate each other."""
    suspicions: dict[tuple[str, int], Suspicion] = attrs.field(factory=dict)
    slow: dict[str, float] = attrs.field(factory=dict)
    """Pace of slow backend servers by id: how many times slower than usual."""
    records: dict[tuple[str, int], GroupRecord] = attrs.field(factory=dict)
    """Serving groups, as the planner has recorded them."""
    crashes: dict[CrashKey, CrashRecord] = attrs.field(factory=dict)
    """Backend servers that crashed while they ran a request."""
    proven_parts: dict[str, float] = attrs.field(factory=dict)
    """Parts of prompts that crash no backend server, and when this node read it, in
    monotonic seconds."""
    crash_changes: int = 0
    """Incremented with each change of the crashes or of these parts."""
    is_read: bool = False
    """Whether the table has been read at least once."""
    logs_changes: bool = True
    """Whether changes are logged; only nodes that read from the store log them."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call ``call`` after every change."""
        self._subscribers.append(call)

    def observe_snapshot(self, rows: Sequence[Row]) -> None:
        """Apply all rows of the table."""
        self.is_read = True
        before, crashes, proven = self.nodes, self.crashes, self.proven_parts
        self.nodes, self.crashes, self.proven_parts = {}, {}, {}
        self.crash_changes += 1
        self.suspicions.clear()
        self.records.clear()
        self.slow.clear()
        self.observe_changes(rows)
        self._keep_seen_times(before)
        for key in crashes.keys() & self.crashes.keys():
            self.crashes[key] = crashes[key]
        for part in proven.keys() & self.proven_parts.keys():
            self.proven_parts[part] = proven[part]

    def _keep_seen_times(self, before: dict[str, NodeAddress]) -> None:
        """Keep the ``seen_s`` of nodes that have not changed otherwise."""
        self.nodes = {
            name: _reuse_unchanged(found, before.get(name))
            for name, found in self.nodes.items()
        }

    def observe_changes(self, rows: Sequence[Row]) -> None:
        """Apply changed rows in order."""
        for row in rows:
            self._apply_row(row)
        for call in self._subscribers:
            call()

    def _apply_row(self, row: Row) -> None:
        """Apply a row; a malformed one removes what it contained before."""
        key = row.row_key.key
        try:
            self._dispatch_row(key, row)
        except _DECODE_ERRORS as error:
            if self.logs_changes:
                log_event("shared_row_unreadable", key=key[:100], error=repr(error))

    def _dispatch_row(self, key: str, row: Row) -> None:
        if key == SECRET_KEY:
            self.secret = row.value
        elif key.startswith(_NODE_PREFIX):
            self._apply_node(key.removeprefix(_NODE_PREFIX), row)
        elif key.startswith(_SUSPICION_PREFIX):
            self._apply_suspicion(key, row)
        elif key.startswith(RECORD_PREFIX):
            self._apply_record(key, row)
        elif key.startswith(_SLOW_PREFIX):
            self._apply_slow(key.removeprefix(_SLOW_PREFIX), row)
        elif key.startswith(CRASH_PREFIX):
            self._apply_crash(key, row)
        elif key.startswith(PROVEN_PREFIX):
            self._apply_proof(key.removeprefix(PROVEN_PREFIX), row)

    def _apply_crash(self, key: str, row: Row) -> None:
        crash = split_crash_key(key)
        if crash is None:
            raise ValueError("key lacks a feature or a backend server")
        self.crash_changes += 1
        before = self.crashes.pop(crash, None)
        if row.is_removed:
            return
        record = CrashRecord.from_bytes(crash, row.value, self.timer.now_s())
        # Several nodes write the row if each of them had a run on the server.
        is_lower = before is not None and before.stage > record.stage
        self.crashes[crash] = before if is_lower else record

    def _apply_proof(self, part: str, row: Row) -> None:
        self.crash_changes += 1
        if row.is_removed:
            self.proven_parts.pop(part, None)
        else:
            self.proven_parts[part] = self.timer.now_s()

    def _apply_slow(self, backend_id: str, row: Row) -> None:
        self.slow.pop(backend_id, None)
        if row.is_removed:
            return
        pace = float(row.value)
        if not 1.0 <= pace <= MAX_PACE:
            raise ValueError(f"pace {pace}")
        self.slow[backend_id] = pace
        self._log("backend_slow", backend=backend_id, pace=pace)

    def _log(self, event: str, **fields: object) -> None:
        if self.logs_changes:
            log_event(event, **fields)

    def _apply_record(self, key: str, row: Row) -> None:
        group = split_record_key(key)
        if group is None:
            raise ValueError("key lacks a group or an epoch")
        self.records.pop(group, None)
        if not row.is_removed:
            self.records[group] = GroupRecord.from_bytes(group, row.value)

    def _apply_node(self, name: str, row: Row) -> None:
        self.nodes = {n: node for n, node in self.nodes.items() if n != name}
        if row.is_removed:
            return
        data = json.loads(row.value)
        address, zone, weight = data["address"], data["zone"], float(data["weight"])
        if not isinstance(address, str) or not isinstance(zone, str):
            raise TypeError("expected strings")
        if not 0 < int(address.rpartition(":")[2]) < PORT_LIMIT:
            raise ValueError(f"address {address[:100]}")
        if not 0.0 < weight < math.inf:
            raise ValueError(f"weight {weight}")
        self.nodes[name] = NodeAddress(
            name,
            address,
            zone,
            weight,
            self.timer.now_s(),
            can_relay=data.get("relays") is True,
            can_lend=data.get("lends") is True,
        )

    def _apply_suspicion(self, key: str, row: Row) -> None:
        group = split_suspicion_key(key)
        if group is None:
            raise ValueError("key lacks a group or an epoch")
        self.suspicions.pop(group, None)
        if row.is_removed:
            return
        found = Suspicion.from_bytes(row.value)
        if (found.group, found.epoch) != group:
            raise ValueError("group differs from the key")
        self.suspicions[group] = found
        self._log(
            "group_suspected",
            group=found.group,
            epoch=found.epoch,
            by=found.node_name,
        )


def _reuse_unchanged(found: NodeAddress, before: NodeAddress | None) -> NodeAddress:
    """Return the earlier object if only ``seen_s`` has changed."""
    is_same = before is not None and attrs.evolve(found, seen_s=before.seen_s) == before
    return before if is_same else found
