"""The system's own rows: nodes, their secret, suspicions, groups, and crashes."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence

import attrs

from fordhatch.adapter import Row
from fordhatch.core import Timer, log_event

from ._crash_records import CRASH_PREFIX, CrashKey, CrashRecord, split_crash_key
from ._group_records import (
    RECORD_PREFIX,
    GroupRecord,
    split_record_key,
)
from ._reader_choice import NodeAddress

SHARED_TABLE = "fordhatch"
"""The system's own table."""

SECRET_KEY = "secret"
"""The row with the key that nodes share; whoever starts first writes it."""

_SPOILED = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    RecursionError,
)
"""What reading a row raises that another writer has made."""

MANY_PORTS = 65536
"""Ports of an address are below this."""

MOST_PACE = 1000.0
"""A backend server that is said to be slower than this is not one that works."""

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
        weight: How much it can carry, beside others.
        start_id: Names this start of the node, so that each start is seen.
    """
    fields = {"address": address, "zone": zone, "weight": weight, "start": start_id}
    return json.dumps(fields).encode()


def suspicion_key(group: str, epoch: int) -> str:
    """Return the key of the row that says that a group stands still."""
    return f"{_SUSPICION_PREFIX}{group}/{epoch}"


def split_suspicion_key(key: str) -> tuple[str, int] | None:
    """Return the group and epoch of a suspicion's key, None if it is malformed."""
    group, _, epoch = key.removeprefix(_SUSPICION_PREFIX).rpartition("/")
    is_whole = epoch.isascii() and epoch.isdigit()
    return (group, int(epoch)) if group and is_whole else None


def slow_key(backend_id: str) -> str:
    """Return the key of the row that says that a backend server is slow."""
    return f"{_SLOW_PREFIX}{backend_id}"


@attrs.frozen
class Suspicion:
    """A node saw that a group makes no progress."""

    group: str
    epoch: int
    node_name: str
    """The node that saw it."""

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
    """The system's own rows as this node last saw them."""

    timer: Timer
    nodes: dict[str, NodeAddress] = attrs.field(factory=dict)
    """Every node that has registered, also those that are gone since. A new table takes
    its place at each change, so that what was derived from it is known to hold."""
    secret: bytes = b""
    """With it nodes prove to each other that they belong to the system."""
    suspicions: dict[tuple[str, int], Suspicion] = attrs.field(factory=dict)
    slow: dict[str, float] = attrs.field(factory=dict)
    """Backend servers that are slow, with how many times slower than usual."""
    records: dict[tuple[str, int], GroupRecord] = attrs.field(factory=dict)
    """Groups that serve, as the planner has recorded them."""
    crashes: dict[CrashKey, CrashRecord] = attrs.field(factory=dict)
    """Backend servers that have ended while they ran a request."""
    crash_changes: int = 0
    """Goes up with each change of them."""
    is_read: bool = False
    """Whether the table was read at all."""
    logs_changes: bool = True
    """Whether changes are logged; a node that gets the rows from another one leaves
    that to it."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call back after every change."""
        self._subscribers.append(call)

    def observe_snapshot(self, rows: Sequence[Row]) -> None:
        """Take every row of the table."""
        self.is_read = True
        before, crashes = self.nodes, self.crashes
        self.nodes, self.crashes = {}, {}
        self.crash_changes += 1
        self.suspicions.clear()
        self.records.clear()
        self.slow.clear()
        self.observe_changes(rows)
        self._keep_seen(before)
        for key in crashes.keys() & self.crashes.keys():
            self.crashes[key] = crashes[key]

    def _keep_seen(self, before: dict[str, NodeAddress]) -> None:
        """Keep since when the nodes are known that are as they were."""
        self.nodes = {
            name: _as_before(found, before.get(name))
            for name, found in self.nodes.items()
        }

    def observe_changes(self, rows: Sequence[Row]) -> None:
        """Take changed rows, in order."""
        for row in rows:
            self._take(row)
        for call in self._subscribers:
            call()

    def _take(self, row: Row) -> None:
        """Take a row; one that can't be read says nothing, and not what it said."""
        key = row.row_key.key
        try:
            self._take_whole(key, row)
        except _SPOILED as error:
            if self.logs_changes:
                log_event("shared_row_unreadable", key=key[:100], error=repr(error))

    def _take_whole(self, key: str, row: Row) -> None:
        if key == SECRET_KEY:
            self.secret = row.value
        elif key.startswith(_NODE_PREFIX):
            self._take_node(key.removeprefix(_NODE_PREFIX), row)
        elif key.startswith(_SUSPICION_PREFIX):
            self._take_suspicion(key, row)
        elif key.startswith(RECORD_PREFIX):
            self._take_record(key, row)
        elif key.startswith(_SLOW_PREFIX):
            self._take_slow(key.removeprefix(_SLOW_PREFIX), row)
        elif key.startswith(CRASH_PREFIX):
            self._take_crash(key, row)

    def _take_crash(self, key: str, row: Row) -> None:
        crash = split_crash_key(key)
        if crash is None:
            raise ValueError("names no content or no backend server")
        self.crash_changes += 1
        self.crashes.pop(crash, None)
        if row.is_removed:
            return
        record = CrashRecord.from_bytes(crash, row.value, self.timer.now_s())
        self.crashes[crash] = record

    def _take_slow(self, backend_id: str, row: Row) -> None:
        self.slow.pop(backend_id, None)
        if row.is_removed:
            return
        pace = float(row.value)
        if not 1.0 <= pace <= MOST_PACE:
            raise ValueError(f"pace {pace}")
        self.slow[backend_id] = pace
        self._log("backend_slow", backend=backend_id, pace=pace)

    def _log(self, event: str, **fields: object) -> None:
        if self.logs_changes:
            log_event(event, **fields)

    def _take_record(self, key: str, row: Row) -> None:
        group = split_record_key(key)
        if group is None:
            raise ValueError("no epoch")
        self.records.pop(group, None)
        if not row.is_removed:
            self.records[group] = GroupRecord.from_bytes(group, row.value)

    def _take_node(self, name: str, row: Row) -> None:
        self.nodes = {n: node for n, node in self.nodes.items() if n != name}
        if row.is_removed:
            return
        data = json.loads(row.value)
        address, zone, weight = data["address"], data["zone"], float(data["weight"])
        if not isinstance(address, str) or not isinstance(zone, str):
            raise TypeError("expected texts")
        if not 0 < int(address.rpartition(":")[2]) < MANY_PORTS:
            raise ValueError(f"address {address[:100]}")
        if not 0.0 < weight < math.inf:
            raise ValueError(f"weight {weight}")
        self.nodes[name] = NodeAddress(name, address, zone, weight, self.timer.now_s())

    def _take_suspicion(self, key: str, row: Row) -> None:
        group = split_suspicion_key(key)
        if group is None:
            raise ValueError("no epoch")
        self.suspicions.pop(group, None)
        if row.is_removed:
            return
        found = Suspicion.from_bytes(row.value)
        if (found.group, found.epoch) != group:
            raise ValueError("names another group than its key")
        self.suspicions[group] = found
        self._log(
            "group_suspected",
            group=found.group,
            epoch=found.epoch,
            by=found.node_name,
        )


def _as_before(found: NodeAddress, before: NodeAddress | None) -> NodeAddress:
    """Return what was known of a node where nothing else has changed."""
    is_same = before is not None and attrs.evolve(found, seen_s=before.seen_s) == before
    return before if is_same else found
