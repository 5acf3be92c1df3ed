"""Which node asks the store for which others."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

import attrs
import xxhash

from fordhatch.core import Timer, log_event

AVOID_FIRST_S = 2.0
"""How long a node that failed is not asked."""

AVOID_BEHIND_S = 0.25
"""How long a node is not asked whose knowledge was too old: it may have found a better
source by then."""

AVOID_MOST_S = 60.0
"""Longest such time, for nodes that fail again and again: their rows in the store
outlive them."""


DUTY_S = 2.0
"""How long a node goes on reading for others after it was last asked to; they ask
several times a second."""


SETTLED_S = 5.0
"""A node that has just started is not asked before others: it has no history of the
tables, so that whoever changes to it needs them whole."""


@attrs.frozen
class NodeAddress:
    """A node that may be asked."""

    name: str
    address: str
    """``host:port`` for traffic between nodes."""
    zone: str
    weight: float = 1.0
    """How much it can carry, beside others: processor and link, whichever is less."""
    seen_s: float = -math.inf
    """When its row was first seen as it is, in monotonic seconds."""


STRONG_SHARE = 0.5
"""Nodes that carry at least this share of what the strongest one can go before all
others. A node answers for its whole zone, and among many weak nodes one of these would
mostly come first by its number alone: with three strong nodes and 37 of a tenth of
their weight it did in 55 of 100 zones, and the configuration of such a zone was in
force 0.7 s later than that of the others."""

WHOLE = ""
"""The purpose of reading for the whole system; others are named by their zone."""


@attrs.define
class _Rankings:
    """Nodes in the order in which they are asked, for one table of nodes.

    Working the order out anew for each question took an eighth of the processor time of
    an idle node, as profiled at 195 nodes.
    """

    nodes: Mapping[str, NodeAddress]
    """Never changes: a new table takes its place."""
    _by_purpose: dict[str, list[NodeAddress]] = attrs.field(factory=dict)

    def of(self, purpose: str) -> Sequence[NodeAddress]:
        """Return the nodes that may serve a purpose, the first one first."""
        if purpose not in self._by_purpose:
            nodes = self.nodes.values()
            fit = [n for n in nodes if purpose in (WHOLE, n.zone)]
            strong = STRONG_SHARE * max((n.weight for n in fit), default=0.0)
            fit.sort(
                key=lambda n: (n.weight >= strong, _score(n, purpose)), reverse=True
            )
            self._by_purpose[purpose] = fit
        return self._by_purpose[purpose]


@attrs.define
class _Avoided:
    until_s: float
    failures: int


@attrs.define(eq=False, repr=False)
class ReaderChoice:
    """Rendezvous hashing over the nodes that are not known to have failed.

    One node reads for the whole system, one in each availability zone reads from it
    for the nodes of its zone. Whoever finds that one has failed asks the next, and
    that one takes the duty on because it is asked: it may not have noticed itself.
    """

    own_name: str
    own_zone: str
    nodes: Callable[[], Mapping[str, NodeAddress]]
    timer: Timer
    _rankings: _Rankings = attrs.field(factory=lambda: _Rankings({}))
    _avoided: dict[str, _Avoided] = attrs.field(factory=dict)
    _last: str = ""
    _reads_store_until_s: float = -math.inf
    _reads_for_zone_until_s: float = -math.inf

    def choose(self) -> NodeAddress | None:
        """Return the node to ask, or None where this node asks the store itself."""
        nodes = self.nodes()
        if not nodes:
            return None
        # One that has just started asks others before its own row is written.
        found = self._find(nodes)
        if found == self.own_name:
            found = ""
        self._note(found)
        return nodes[found] if found else None

    def _find(self, nodes: Mapping[str, NodeAddress]) -> str:
        """Return the name of the node to ask; the own one stands for the store."""
        now_s = self.timer.now_s()
        whole = self._first(nodes, WHOLE)
        if self.own_name == whole or now_s < self._reads_store_until_s:
            return self.own_name
        if now_s < self._reads_for_zone_until_s:
            return whole
        zone = self._first(nodes, self.own_zone)
        return whole if zone == self.own_name else zone

    def asked(self, *, as_first: bool) -> None:
        """Take on the duty for which another node asks this one.

        Args:
            as_first: It is asked to read for the whole system, not for a zone.
        """
        until_s = self.timer.now_s() + DUTY_S
        if as_first:
            self._reads_store_until_s = until_s
        else:
            self._reads_for_zone_until_s = until_s

    def whose_turn(self) -> NodeAddress | None:
        """Return the node that reads for this one's zone, None where it is this one.

        Nodes that are only behind count as well: what they lack, the store itself may
        not give.
        """
        now_s = self.timer.now_s()
        nodes = self.nodes()

        def find(purpose: str) -> NodeAddress | None:
            ranked = self._ranked(nodes, purpose)
            return _first_of(ranked, lambda n: not self._is_gone(n, now_s), now_s)

        whole, zone = find(WHOLE), find(self.own_zone)
        if whole is None or zone is None:
            return None
        return None if self.own_name in (whole.name, zone.name) else zone

    def _is_gone(self, name: str, now_s: float) -> bool:
        avoided = self._avoided.get(name)
        return avoided is not None and avoided.failures > 0 and avoided.until_s > now_s

    def _ranked(
        self, nodes: Mapping[str, NodeAddress], purpose: str
    ) -> Sequence[NodeAddress]:
        if nodes is not self._rankings.nodes:
            self._rankings = _Rankings(nodes)
        return self._rankings.of(purpose)

    def _first(self, nodes: Mapping[str, NodeAddress], purpose: str) -> str:
        """Return the node that comes first for a purpose, this one if all failed."""
        now_s = self.timer.now_s()
        ranked = self._ranked(nodes, purpose)
        found = _first_of(ranked, lambda n: self._is_usable(n, now_s), now_s)
        return found.name if found is not None else self.own_name

    def _is_usable(self, name: str, now_s: float) -> bool:
        avoided = self._avoided.get(name)
        return name == self.own_name or avoided is None or avoided.until_s <= now_s

    def _note(self, found: str) -> None:
        if found != self._last:
            self._last = found
            log_event("reader_chosen", reader=found or "the store")

    def is_first(self, node: NodeAddress) -> bool:
        """Return whether a node reads for the whole system, as far as is known."""
        return node.name == self._first(self.nodes(), WHOLE)

    def failed(self, node: NodeAddress, *, is_only_behind: bool = False) -> None:
        """Ask others for a while.

        Args:
            node: The node that was asked.
            is_only_behind: It answered, but its knowledge was too old.
        """
        if is_only_behind:
            until_s = self.timer.now_s() + self.timer.jittered(AVOID_BEHIND_S)
            self._avoided[node.name] = _Avoided(until_s, 0)
            return
        known = self._avoided.get(node.name)
        if known is not None and known.until_s > self.timer.now_s():
            # Another table has found the same.
            return
        failures = known.failures + 1 if known is not None else 1
        avoid_s = min(AVOID_FIRST_S * 2 ** (failures - 1), AVOID_MOST_S)
        until_s = self.timer.now_s() + self.timer.jittered(avoid_s)
        self._avoided[node.name] = _Avoided(until_s, failures)

    def answered(self, node: NodeAddress) -> None:
        """Forget that a node has failed."""
        self._avoided.pop(node.name, None)


def _first_of(
    ranked: Sequence[NodeAddress], accepts: Callable[[str], bool], now_s: float
) -> NodeAddress | None:
    """Return the first node that is accepted, one that has settled if there is any."""
    accepted = None
    for node in ranked:
        if not accepts(node.name):
            continue
        if now_s - node.seen_s >= SETTLED_S:
            return node
        accepted = accepted or node
    return accepted


def _score(node: NodeAddress, salt: str) -> float:
    """Return a node's score for a purpose, by weighted rendezvous hashing."""
    digest = xxhash.xxh64_intdigest(f"{salt}/{node.name}".encode())
    share = (digest + 1) / (2**64 + 1)
    return -node.weight / math.log(share)
