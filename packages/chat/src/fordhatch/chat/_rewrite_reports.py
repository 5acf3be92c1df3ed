"""Reports of the nodes that their claims are rewritten after a restore of the store.

Each node that makes claims has a row in the system's own table, which every node
follows. The row names the newest generation of the store in which the node's claims
from earlier generations are present again.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping

import attrs

from fordhatch.adapter import Row, RowKey, StoreClient
from fordhatch.core import Timer, log_event
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import QueryStatus, StatusReply
from fordhatch.registry import SHARED_TABLE, NodeAddress, TableCopy

REPORT_PREFIX = "claims/"
"""Prefix of the reports' keys; the node's name follows."""

WRITE_INTERVAL_S = 0.5
"""Minimum time between two writes of a report. A row that was written takes a moment
to show in the node's own copy."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of a write to the store."""

WITHDRAW_TIMEOUT_S = 0.25
"""Timeout of the withdrawal, which a stop waits for. A report that stays behind costs
callers ``GONE_AFTER_S`` at the next restore."""

QUERY_TIMEOUT_S = 1.0
"""Timeout of a status query to a node whose report is missing."""

QUERY_INTERVAL_S = 1.0
"""Interval of these queries."""

GONE_AFTER_S = 10.0
"""Time without a reply after which a node counts as gone, and its claims as lost. It
exceeds the time for which a host or a process usually stands still."""

REMOVE_SPREAD_S = 2.0
"""Upper bound of the random delay before a node removes reports of nodes that are gone.
Those that another node has removed by then are skipped."""


@attrs.define(eq=False, repr=False)
class RewriteReports:
    """Writes this node's report and evaluates those of the other nodes."""

    node_name: str
    store: StoreClient
    pool: PeerPool
    nodes: Callable[[], Mapping[str, NodeAddress]]
    timer: Timer
    table: TableCopy
    """This node's copy of the system's own table."""
    _next_write_s: float = -math.inf
    _next_query_s: float = -math.inf
    _heard_s: dict[str, float] = attrs.field(factory=dict)
    """When nodes without a report last replied, in monotonic seconds."""

    def generation(self) -> int:
        """Return the newest generation of the store that this node has learned of.

        A node that reads its tables from another node may not call the store itself.
        """
        return max(self.store.generation, self.table.version.generation)

    def has_own(self, generation: int) -> bool:
        """Return whether this node's report is in its own copy of the table."""
        return self._reported(self.node_name) >= generation

    def missing(self, generation: int, since_s: float) -> list[str]:
        """Return the nodes whose claims may not have been rewritten yet.

        Args:
            generation: The generation of the store.
            since_s: When this node learned of it, in monotonic seconds.
        """
        gone_before_s = self.timer.now_s() - GONE_AFTER_S
        return [
            name
            for name in self._late(generation)
            if max(since_s, self._heard_s.get(name, since_s)) > gone_before_s
        ]

    def _late(self, generation: int) -> list[str]:
        """Return the nodes whose report is of an earlier generation."""
        keys = (key for key in self.table.rows if key.startswith(REPORT_PREFIX))
        names = [key.removeprefix(REPORT_PREFIX) for key in keys]
        return [name for name in names if self._reported(name) < generation]

    def _reported(self, name: str) -> int:
        """Return the generation that a node has reported, -1 without a report."""
        return _generation_in(self.table.rows.get(REPORT_PREFIX + name))

    async def write_own(self, generation: int) -> None:
        """Write this node's report if its own copy lacks it.

        Another node may have overwritten the report with the row that it knew from
        before the restore, so the copy is compared again and again.
        """
        address = self.nodes().get(self.node_name)
        now_s = self.timer.now_s()
        is_due = address is not None and now_s >= self._next_write_s
        if self.has_own(generation) or not is_due:
            return
        self._next_write_s = now_s + WRITE_INTERVAL_S
        value = {"generation": generation, "address": address.address}
        row = RowKey(SHARED_TABLE, REPORT_PREFIX + self.node_name)
        await self.store.write(
            {}, {row: json.dumps(value).encode()}, timeout_s=WRITE_TIMEOUT_S
        )

    async def query(self, name: str) -> None:
        """Ask a node without a report whether it is there."""
        address = _address_in(self.table.rows.get(REPORT_PREFIX + name))
        if not address.rpartition(":")[2].isdecimal():
            return
        answered = await self.pool.request(address, QueryStatus(), QUERY_TIMEOUT_S)
        reply = answered.ok()
        if isinstance(reply, StatusReply) and reply.node_name == name:
            self._heard_s[name] = self.timer.now_s()

    def is_query_due(self) -> bool:
        """Return whether missing nodes are to be queried now, once an interval."""
        now_s = self.timer.now_s()
        if now_s < self._next_query_s:
            return False
        self._next_query_s = now_s + self.timer.jittered(QUERY_INTERVAL_S)
        return True

    async def remove_gone(self, generation: int, since_s: float) -> None:
        """Remove the reports of nodes that have not replied since a restore.

        Otherwise every later restore would wait for them again. A node that is there
        after all writes its report anew.
        """
        await self.timer.sleep(REMOVE_SPREAD_S * self.timer.rng.random())
        waited_for = self.missing(generation, since_s)
        for name in self._late(generation):
            row = self.table.rows.get(REPORT_PREFIX + name)
            if row is None or name in waited_for:
                continue
            log_event("claims_of_node_given_up", node_name=name)
            await self.store.write(
                {row.row_key: row.version},
                {},
                (row.row_key,),
                timeout_s=WRITE_TIMEOUT_S,
            )

    async def withdraw(self) -> None:
        """Remove this node's report: it makes no more claims and rewrites none."""
        row = RowKey(SHARED_TABLE, REPORT_PREFIX + self.node_name)
        if self.has_own(0):
            await self.store.write({}, {}, (row,), timeout_s=WITHDRAW_TIMEOUT_S)


def _fields(row: Row | None) -> Mapping[str, object]:
    try:
        fields = json.loads(row.value) if row is not None else {}
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _generation_in(row: Row | None) -> int:
    generation = _fields(row).get("generation")
    return generation if isinstance(generation, int) else -1


def _address_in(row: Row | None) -> str:
    return str(_fields(row).get("address", ""))
