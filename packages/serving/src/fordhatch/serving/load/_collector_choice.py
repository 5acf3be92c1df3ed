"""Choice of the collector: the node that adds up the load of all nodes."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from fordhatch.core import log_event
from fordhatch.registry import NodeAddress, strong_first

from ..limits import issuers

COLLECTOR_PURPOSE = "load-collector"
"""Key of the rendezvous hashing."""

RETRY_S = 2.0
"""Interval at which a collector checks whether a better one replies again, and at which
a node that reaches no collector tries all again."""


def rank_collectors(nodes: Mapping[str, NodeAddress]) -> list[str]:
    """Return the nodes in the order in which they are to collect, strong ones first.

    All nodes compute the same list, and the loss of a node does not change the order of
    the remaining ones.
    """
    ranked = issuers(COLLECTOR_PURPOSE, nodes, len(nodes))
    return [node.name for node in strong_first([nodes[name] for name in ranked])]


@attrs.define(eq=False, repr=False)
class CollectorChoice:
    """Selects the first node in rank that is not known to have failed.

    The nodes that use a collector of lower rank stay with it. Only that collector
    checks whether a better one replies again, and then sends the others there; if each
    node checked for itself, some would report to one collector and some to the other,
    and both would have partial totals.
    """

    own_name: str
    _nodes: Mapping[str, NodeAddress] = attrs.field(factory=dict)
    _ranked: Sequence[str] = ()
    _failed: set[str] = attrs.field(factory=set)
    _retry_at_s: float = math.inf
    """When to try the better ones again, in monotonic seconds."""
    _last_choice: str = ""

    def choose(self, nodes: Mapping[str, NodeAddress], now_s: float) -> str | None:
        """Return the collector, or None if no node is left.

        Args:
            nodes: All nodes by name; a new table replaces it, it is never modified.
            now_s: Monotonic seconds.
        """
        if nodes is not self._nodes:
            self._nodes = nodes
            self._ranked = rank_collectors(nodes)
            self._failed &= nodes.keys()
        found = self._first()
        is_collecting = found in (self.own_name, None)
        if is_collecting and self._failed and now_s >= self._retry_at_s:
            self.retry_all()
            found = self._first()
        if found != self._last_choice:
            self._last_choice = found or ""
            log_event("load_collector_chosen", collector=found or "none")
        return found

    def _first(self) -> str | None:
        return next((name for name in self._ranked if name not in self._failed), None)

    def record_failure(self, name: str, now_s: float) -> None:
        """Record that a collector did not reply; the next in rank takes over.

        Args:
            name: The collector.
            now_s: Monotonic seconds.
        """
        self._failed.add(name)
        self._retry_at_s = now_s + RETRY_S

    def retry_all(self) -> None:
        """Forget all failures, so that the first in rank is tried again."""
        self._failed.clear()
