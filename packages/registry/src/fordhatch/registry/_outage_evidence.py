"""Tells an outage of the store for every node from a node that is cut off alone.

While nobody reaches the store nothing can be accepted there, so that nothing newer
than what the nodes know can be in force. A node that is cut off alone can't know. What
the other nodes say is the evidence: not one vote, but enough of them, as a few nodes
may be cut off together.
"""

from __future__ import annotations

import math

import attrs

WORD_GOOD_S = 2.5
"""How long another node's word counts: three rounds of asking, as answers get lost."""

STALE_S = 1.2
"""A node whose confirmation is older than this has lost the store or its reader; it
is confirmed every 0.3 s otherwise."""

CONTRARY_S = 1.5
"""How long a node may know something fresh before this one takes itself for cut off:
the store's return reaches one node first, and the others well within this time."""

MOST_WITNESSES = 5
"""Nodes that must have lost the store as well, at the most; with this one half of all
nodes where they are fewer. Rows of nodes that are gone for good count among them."""


@attrs.frozen
class NodeWord:
    """What came of asking another node how old its knowledge is."""

    asked_s: float
    """When it was asked, in monotonic seconds of this node."""
    age_s: float | None
    """Age of its confirmation when it answered; None where no answer came."""

    @property
    def is_witness(self) -> bool:
        """Whether the node answered that it has lost the store too."""
        return self.age_s is not None and self.age_s > STALE_S

    @property
    def is_contrary(self) -> bool:
        """Whether the node answered that it knows something fresh."""
        return self.age_s is not None and not self.is_witness


@attrs.define(eq=False, repr=False)
class OutageEvidence:
    """The newest word of each other node."""

    _words: dict[str, NodeWord] = attrs.field(factory=dict)
    _contrary_since_s: float = math.inf
    """Since when some node has known something fresh without a break."""

    def note(self, node_name: str, word: NodeWord) -> None:
        """Take what came of asking a node."""
        self._words[node_name] = word
        if word.is_contrary:
            self._contrary_since_s = min(self._contrary_since_s, word.asked_s)
        elif not any(w.is_contrary for w in self._young(word.asked_s)):
            # Confirmations lie up to a second apart as an outage begins.
            self._contrary_since_s = math.inf

    def _young(self, now_s: float) -> list[NodeWord]:
        return [w for w in self._words.values() if now_s - w.asked_s <= WORD_GOOD_S]

    def confirmed(self) -> None:
        """Forget everything: this node's own knowledge is fresh again."""
        self._words.clear()
        self._contrary_since_s = math.inf

    def is_for_all(self, now_s: float, nodes: int) -> bool:
        """Return whether no node reaches the store, as far as can be known.

        Args:
            now_s: Monotonic seconds.
            nodes: Number of nodes that are registered, this one included; 0 while
                this node does not know of any.
        """
        if not nodes or now_s - self._contrary_since_s > CONTRARY_S:
            return False
        young = self._young(now_s)
        witnesses = sum(w.is_witness for w in young)
        unanswered = sum(w.age_s is None for w in young)
        return witnesses >= max(witnesses_needed(nodes), unanswered)


def witnesses_needed(nodes: int) -> int:
    """Return how many other nodes must have lost the store as well.

    Args:
        nodes: Number of nodes that are registered, this one included. Together with
            it the witnesses are half of them or more, up to ``MOST_WITNESSES``.
    """
    if nodes <= 1:
        return 0
    return min(max((nodes - 1) // 2, 1), MOST_WITNESSES)
