"""The membership table: the newest word on every node."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Any, TypeVar

import attrs

from fordhatch.core import log_event, metrics
from fordhatch.protocol.messages import NodeRecord

T = TypeVar("T")

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"

_STRENGTH = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
"""Within one incarnation the stronger word wins."""

NEWS_REPEATS = 8
"""How often a piece of news is passed on."""

NEWS_PER_MESSAGE = 6
"""Pieces of news in one ping or answer."""

DEAD_KEPT_S = 600.0
"""How long a dead node is remembered, so that old news does not revive it."""


@attrs.define
class Entry:
    """What this node knows of another."""

    record: NodeRecord
    changed_s: float
    news_left: int = NEWS_REPEATS


@attrs.define(eq=False)
class MembershipTable:
    """Merges records; of each node the record that was written last wins."""

    own: NodeRecord
    entries: dict[str, Entry] = attrs.field(factory=dict)
    _derived: dict[Hashable, Any] = attrs.field(factory=dict)
    """What was worked out from the records; forgotten with every change."""

    def derived(self, key: Hashable, work_out: Callable[[], T]) -> T:
        """Return something that depends on the records alone.

        Args:
            key: Names it.
            work_out: Called when it is not known since the last change.
        """
        if key not in self._derived:
            self._derived[key] = work_out()
        return self._derived[key]

    def merge(self, record: NodeRecord, now_s: float) -> bool:
        """Take a record from anywhere.

        Args:
            record: What some node says of some node.
            now_s: Monotonic seconds.

        Returns:
            Whether it was news.
        """
        if record.node_id == self.own.node_id:
            return self._refute(record)
        known = self.entries.get(record.node_id)
        if known is not None and not _newer(record, known.record):
            return False
        if known is None and record.state == DEAD:
            return False
        self.entries[record.node_id] = Entry(record, now_s)
        self._derived.clear()
        before = known.record.state if known else "unknown"
        if before != record.state:
            log_event("node_state", peer=record.node_id, was=before, now=record.state)
        metrics.NODES_ALIVE.set(len(self.usable()))
        return True

    def _refute(self, record: NodeRecord) -> bool:
        own = self.own
        if record.incarnation < own.incarnation or record.state == own.state:
            return False
        # Somebody holds this node for dead or suspect: a higher incarnation wins.
        self.own = attrs.evolve(own, incarnation=record.incarnation + 1)
        return True

    def declare(self, state: str) -> None:
        """Change what this node says of itself."""
        self._derived.clear()
        self.own = attrs.evolve(
            self.own, state=state, incarnation=self.own.incarnation + 1
        )

    def news(self) -> list[NodeRecord]:
        """Return the records to pass on next, the least repeated first."""
        pending = [e for e in self.entries.values() if e.news_left > 0]
        pending.sort(key=lambda e: -e.news_left)
        for entry in pending[:NEWS_PER_MESSAGE]:
            entry.news_left -= 1
        return [e.record for e in pending[:NEWS_PER_MESSAGE]]

    def usable(self) -> list[NodeRecord]:
        """Return the nodes that may be given responsibilities, this one included."""
        nodes = [
            e.record
            for e in self.entries.values()
            if e.record.state in (ALIVE, SUSPECT)
        ]
        if self.own.state == ALIVE:
            nodes.append(self.own)
        return nodes

    def not_dead(self) -> list[NodeRecord]:
        """Return every node that is not known to be dead, this one included."""
        return [*self.reachable(), self.own]

    def reachable(self) -> list[NodeRecord]:
        """Return the other nodes that are not dead."""
        return [e.record for e in self.entries.values() if e.record.state != DEAD]

    def find(self, node_id: str) -> NodeRecord | None:
        """Return the record of a node."""
        if node_id == self.own.node_id:
            return self.own
        entry = self.entries.get(node_id)
        return entry.record if entry else None

    def expire(self, now_s: float, suspect_s: float) -> None:
        """Turn old suspicions into deaths and forget old deaths."""
        for node_id, entry in list(self.entries.items()):
            age_s = now_s - entry.changed_s
            if entry.record.state == SUSPECT and age_s > suspect_s:
                self.merge(attrs.evolve(entry.record, state=DEAD), now_s)
            elif entry.record.state == DEAD and age_s > DEAD_KEPT_S:
                del self.entries[node_id]
                self._derived.clear()


def _newer(record: NodeRecord, known: NodeRecord) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _STRENGTH.get(record.state, 0) > _STRENGTH.get(known.state, 0)
