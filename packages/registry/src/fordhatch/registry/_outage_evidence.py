"""Distinguishes a system-wide outage of the store from the isolation of one node.

While no node reaches the store, the store cannot accept a change, so that nothing more
recent than the nodes' copies can be in effect. An isolated node cannot rely on that.
The reports of the other nodes are the evidence. Several reports are required, as a few
nodes may be isolated together.
"""

from __future__ import annotations

import math

import attrs

REPORT_VALID_S = 2.5
"""How long another node's report counts: three rounds of queries, since answers may be
lost."""

STALE_AFTER_S = 1.2
"""Age of a node's confirmation above which it counts as cut off from the store or its
reader; otherwise a node's copy is confirmed every 0.3 s."""

MAX_CONTRARY_S = 1.5
"""How long other nodes may have a fresh copy before this node considers itself
isolated. The store's recovery reaches one node first and the others well within this
time."""

MAX_WITNESSES = 5
"""Maximum number of other nodes required to have lost the store too. In small systems
the required number is lower: with this node, half of all nodes. All registered nodes
count, also terminated ones whose rows remain."""


@attrs.frozen
class NodeReport:
    """Result of querying another node for the age of its copy."""

    sent_s: float
    """When the query was sent, in monotonic seconds of this node."""
    age_s: float | None
    """Age of its confirmation when it answered, in seconds; None without an answer."""

    @property
    def is_witness(self) -> bool:
        """Whether the node reported that it has lost the store too."""
        return self.age_s is not None and self.age_s > STALE_AFTER_S

    @property
    def is_contrary(self) -> bool:
        """Whether the node reported a fresh copy."""
        return self.age_s is not None and not self.is_witness


@attrs.define(eq=False, repr=False)
class OutageEvidence:
    """The latest report of each other node."""

    _reports: dict[str, NodeReport] = attrs.field(factory=dict)
    _contrary_since_s: float = math.inf
    """Since when, without a gap, some node has reported a fresh copy, in monotonic
    seconds; infinite if none has."""

    def record(self, node_name: str, report: NodeReport) -> None:
        """Record the result of querying a node."""
        self._reports[node_name] = report
        if report.is_contrary:
            self._contrary_since_s = min(self._contrary_since_s, report.sent_s)
        elif not any(r.is_contrary for r in self._recent(report.sent_s)):
            # The nodes' confirmations are up to a second apart when an outage begins.
            self._contrary_since_s = math.inf

    def _recent(self, now_s: float) -> list[NodeReport]:
        return [r for r in self._reports.values() if now_s - r.sent_s <= REPORT_VALID_S]

    def clear(self) -> None:
        """Discard all reports, as this node's own copy is fresh again."""
        self._reports.clear()
        self._contrary_since_s = math.inf

    def is_system_wide(self, now_s: float, nodes: int) -> bool:
        """Return whether the evidence shows that no node reaches the store.

        Args:
            now_s: Current time, in monotonic seconds.
            nodes: Number of registered nodes, this one included; 0 while this node
                does not know of any.
        """
        if not nodes or now_s - self._contrary_since_s > MAX_CONTRARY_S:
            return False
        recent = self._recent(now_s)
        witnesses = sum(r.is_witness for r in recent)
        unanswered = sum(r.age_s is None for r in recent)
        return witnesses >= max(min_witnesses(nodes), unanswered)


def min_witnesses(nodes: int) -> int:
    """Return how many other nodes must have lost the store too.

    Together with this node they are at least half of the registered nodes, unless
    ``MAX_WITNESSES`` is fewer.

    Args:
        nodes: Number of registered nodes, this one included.
    """
    if nodes <= 1:
        return 0
    return min(max((nodes - 1) // 2, 1), MAX_WITNESSES)
