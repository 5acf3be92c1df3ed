"""Choice of the reader: the node that a node queries instead of the store."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

import attrs
import xxhash

from fordhatch.core import Timer, log_event

AVOID_FAILED_S = 2.0
"""How long a node is not queried after its first failure; doubles with each further
one."""

AVOID_BEHIND_S = 0.25
"""How long a node is not queried whose copy was too old. It may have found a better
source by then."""

MAX_AVOID_S = 60.0
"""Maximum of that time, for nodes that fail repeatedly: a node's row stays in the store
after the node has terminated."""


READER_ROLE_S = 2.0
"""How long a node continues to read for others after the last request to do so; they
query it several times a second."""


SETTLED_S = 5.0
"""Time after the start during which a node is queried only if no other is available. It
has no history of the tables, so that nodes that change to it need them complete."""


@attrs.frozen
class NodeAddress:
    """A node that may be queried."""

    name: str
    address: str
    """``host:port`` for connections between nodes."""
    zone: str
    weight: float = 1.0
    """Relative capacity: the lesser of processor and network link."""
    seen_s: float = -math.inf
    """When its row was first seen with its current content, in monotonic seconds."""
    can_relay: bool = False
    """Whether it understands the messages for relayed requests."""
    can_lend: bool = False
    """Whether it understands the messages about parts of the retry budget."""


STRONG_FRACTION = 0.5
"""Nodes with at least this fraction of the greatest weight rank before all others. A
reader answers for its entire zone, and among many weak nodes one of them would often
rank first by their number alone: with three strong nodes and 37 of a tenth of their
weight it does in 55 of 100 zones, and a new configuration takes effect 0.7 s later in
such a zone."""

SYSTEM_WIDE = ""
"""Purpose of reading for the entire system; the other purposes are zone names."""


@attrs.define
class _Rankings:
    """Cached ranking of the nodes by purpose, for one table of nodes.

    Ranking the nodes for each query takes an eighth of the processor time of an idle
    node in a system of 195 nodes.
    """

    nodes: Mapping[str, NodeAddress]
    """Never modified: a new table replaces it."""
    _by_purpose: dict[str, list[NodeAddress]] = attrs.field(factory=dict)

    def of(self, purpose: str) -> Sequence[NodeAddress]:
        """Return the nodes that may serve a purpose, best first."""
        if purpose not in self._by_purpose:
            nodes = self.nodes.values()
            eligible = [n for n in nodes if purpose in (SYSTEM_WIDE, n.zone)]
            eligible.sort(key=lambda n: _score(n, purpose), reverse=True)
            self._by_purpose[purpose] = strong_first(eligible)
        return self._by_purpose[purpose]


@attrs.define
class _Avoided:
    until_s: float
    failures: int


@attrs.define(eq=False, repr=False)
class ReaderChoice:
    """Weighted rendezvous hashing over the nodes that are not known to have failed.

    One node reads the store for the entire system. One node in each availability zone
    reads from it for the nodes of its zone. A node that finds a reader failed queries
    the next one, which takes on the role because of that query: it may not have
    detected the failure itself.
    """

    own_name: str
    own_zone: str
    nodes: Callable[[], Mapping[str, NodeAddress]]
    timer: Timer
    _rankings: _Rankings = attrs.field(factory=lambda: _Rankings({}))
    _avoided: dict[str, _Avoided] = attrs.field(factory=dict)
    _last_choice: str = ""
    _reads_store_until_s: float = -math.inf
    _reads_for_zone_until_s: float = -math.inf

    def choose(self) -> NodeAddress | None:
        """Return the node to query, or None if this node queries the store itself."""
        nodes = self.nodes()
        if not nodes:
            return None
        # A node that has just started queries others before its own row is written.
        found = self._find_reader(nodes)
        if found == self.own_name:
            found = ""
        self._log_choice(found)
        return nodes[found] if found else None

    def _find_reader(self, nodes: Mapping[str, NodeAddress]) -> str:
        """Return the name of the node to query; the own name stands for the store."""
        now_s = self.timer.now_s()
        system_reader = self._reader_for(nodes, SYSTEM_WIDE)
        if self.own_name == system_reader or now_s < self._reads_store_until_s:
            return self.own_name
        if now_s < self._reads_for_zone_until_s:
            return system_reader
        zone_reader = self._reader_for(nodes, self.own_zone)
        return system_reader if zone_reader == self.own_name else zone_reader

    def accept_role(self, *, as_first: bool) -> None:
        """Accept the role of reader that another node's query assigns to this one.

        Args:
            as_first: Whether to read for the entire system rather than for a zone.
        """
        until_s = self.timer.now_s() + READER_ROLE_S
        if as_first:
            self._reads_store_until_s = until_s
        else:
            self._reads_for_zone_until_s = until_s

    def zone_reader(self) -> NodeAddress | None:
        """Return the node that should read for this node's zone.

        Nodes that are only behind are included, since the store itself may be
        unavailable to all.

        Returns:
            The node, or None if this node is a reader itself or none is available.
        """
        now_s = self.timer.now_s()
        nodes = self.nodes()

        def find(purpose: str) -> NodeAddress | None:
            ranked = self._ranked(nodes, purpose)
            return _first_of(ranked, lambda n: not self._has_failed(n, now_s), now_s)

        system, zone = find(SYSTEM_WIDE), find(self.own_zone)
        if system is None or zone is None:
            return None
        return None if self.own_name in (system.name, zone.name) else zone

    def _has_failed(self, name: str, now_s: float) -> bool:
        avoided = self._avoided.get(name)
        return avoided is not None and avoided.failures > 0 and avoided.until_s > now_s

    def _ranked(
        self, nodes: Mapping[str, NodeAddress], purpose: str
    ) -> Sequence[NodeAddress]:
        if nodes is not self._rankings.nodes:
            self._rankings = _Rankings(nodes)
        return self._rankings.of(purpose)

    def _reader_for(self, nodes: Mapping[str, NodeAddress], purpose: str) -> str:
        """Return the best usable node for a purpose, or this node if there is none."""
        now_s = self.timer.now_s()
        ranked = self._ranked(nodes, purpose)
        found = _first_of(ranked, lambda n: self._is_usable(n, now_s), now_s)
        return found.name if found is not None else self.own_name

    def _is_usable(self, name: str, now_s: float) -> bool:
        avoided = self._avoided.get(name)
        return name == self.own_name or avoided is None or avoided.until_s <= now_s

    def _log_choice(self, found: str) -> None:
        if found != self._last_choice:
            self._last_choice = found
            log_event("reader_chosen", reader=found or "the store")

    def is_first(self, node: NodeAddress) -> bool:
        """Return whether a node is the reader for the entire system, by this view."""
        return node.name == self._reader_for(self.nodes(), SYSTEM_WIDE)

    def failed(self, node: NodeAddress, *, is_only_behind: bool = False) -> None:
        """Record that a node failed; other nodes are queried for a while.

        Args:
            node: The node that was queried.
            is_only_behind: Whether it responded, but has no recent copy to serve.
        """
        if is_only_behind:
            until_s = self.timer.now_s() + self.timer.jittered(AVOID_BEHIND_S)
            self._avoided[node.name] = _Avoided(until_s, 0)
            return
        known = self._avoided.get(node.name)
        if known is not None and known.until_s > self.timer.now_s():
            # This failure has been recorded already.
            return
        failures = known.failures + 1 if known is not None else 1
        avoid_s = min(AVOID_FAILED_S * 2 ** (failures - 1), MAX_AVOID_S)
        until_s = self.timer.now_s() + self.timer.jittered(avoid_s)
        self._avoided[node.name] = _Avoided(until_s, failures)

    def answered(self, node: NodeAddress) -> None:
        """Record that a node answered, which clears its failures."""
        self._avoided.pop(node.name, None)


def strong_first(nodes: Sequence[NodeAddress]) -> list[NodeAddress]:
    """Return the nodes with the strong ones first, otherwise in the given order."""
    min_weight = STRONG_FRACTION * max((n.weight for n in nodes), default=0.0)
    return sorted(nodes, key=lambda n: n.weight < min_weight)


def planner_candidates(nodes: Mapping[str, NodeAddress]) -> list[str]:
    """Return the names of the nodes that may plan, the best candidate first.

    The planner orders and probes every backend server, which a weak node can't do in
    time for hundreds of them.
    """
    by_name = [nodes[name] for name in sorted(nodes)]
    return [node.name for node in strong_first(by_name)]


def _first_of(
    ranked: Sequence[NodeAddress], accepts: Callable[[str], bool], now_s: float
) -> NodeAddress | None:
    """Return the first accepted node, preferably one seen for ``SETTLED_S``."""
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
    fraction = (digest + 1) / (2**64 + 1)
    return -node.weight / math.log(fraction)
