"""The system's own rows: nodes, their shared secret, suspicions, groups that serve."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence

import attrs

from fordhatch.adapter import Row
from fordhatch.core import Timer, log_event

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
            ValueError, TypeError, KeyError: If the row is malformed.
        """
        data = json.loads(value)
        return cls(str(data["group"]), int(data["epoch"]), str(data["node_name"]))


@attrs.define(eq=False, repr=False)
class SharedRows:
    """The system's own rows as this node last saw them."""

    timer: Timer
    nodes: dict[str, NodeAddress] = attrs.field(factory=dict)
    """Every node that has registered, also those that are gone since."""
    secret: bytes = b""
    """With it nodes prove to each other that they belong to the system."""
    suspicions: dict[tuple[str, int], Suspicion] = attrs.field(factory=dict)
    slow: dict[str, float] = attrs.field(factory=dict)
    """Backend servers that are slow, with how many times slower than usual."""
    records: dict[tuple[str, int], GroupRecord] = attrs.field(factory=dict)
    """Groups that serve, as the planner has recorded them."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call back after every change."""
        self._subscribers.append(call)

    def observe_snapshot(self, rows: Sequence[Row]) -> None:
        """Take every row of the table."""
        before = dict(self.nodes)
        self.nodes.clear()
        self.suspicions.clear()
        self.records.clear()
        self.slow.clear()
        self.observe_changes(rows)
        for name, node in before.items():
            found = self.nodes.get(name)
            if found is not None and attrs.evolve(found, seen_s=node.seen_s) == node:
                self.nodes[name] = node

    def observe_changes(self, rows: Sequence[Row]) -> None:
        """Take changed rows, in order."""
        for row in rows:
            self._take(row)
        for call in self._subscribers:
            call()

    def _take(self, row: Row) -> None:
        key = row.row_key.key
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

    def _take_slow(self, backend_id: str, row: Row) -> None:
        if row.is_removed:
            self.slow.pop(backend_id, None)
            return
        try:
            self.slow[backend_id] = float(row.value)
        except ValueError as error:
            log_event("shared_row_unreadable", key=row.row_key.key, error=repr(error))
            return
        log_event("backend_slow", backend=backend_id, pace=self.slow[backend_id])

    def _take_record(self, key: str, row: Row) -> None:
        group = split_record_key(key)
        if group is None:
            log_event("shared_row_unreadable", key=key, error="no epoch")
            return
        if row.is_removed:
            self.records.pop(group, None)
            return
        try:
            self.records[group] = GroupRecord.from_bytes(group, row.value)
        except (ValueError, TypeError) as error:
            log_event("shared_row_unreadable", key=key, error=repr(error))

    def _take_node(self, name: str, row: Row) -> None:
        if row.is_removed:
            self.nodes.pop(name, None)
            return
        try:
            data = json.loads(row.value)
            found = NodeAddress(
                name,
                str(data["address"]),
                str(data["zone"]),
                float(data["weight"]),
                self.timer.now_s(),
            )
        except (ValueError, TypeError, KeyError) as error:
            log_event("shared_row_unreadable", key=row.row_key.key, error=repr(error))
            return
        self.nodes[name] = found

    def _take_suspicion(self, key: str, row: Row) -> None:
        group, _, epoch = key.removeprefix(_SUSPICION_PREFIX).rpartition("/")
        if not epoch.isdigit():
            log_event("shared_row_unreadable", key=key, error="no epoch")
            return
        if row.is_removed:
            self.suspicions.pop((group, int(epoch)), None)
            return
        try:
            found = Suspicion.from_bytes(row.value)
        except (ValueError, TypeError, KeyError) as error:
            log_event("shared_row_unreadable", key=key, error=repr(error))
            return
        self.suspicions[found.group, found.epoch] = found
        log_event(
            "group_suspected",
            group=found.group,
            epoch=found.epoch,
            by=found.node_name,
        )
