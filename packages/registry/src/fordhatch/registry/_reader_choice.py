"""Which node asks the store for which others."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

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
    _avoided: dict[str, _Avoided] = attrs.field(factory=dict)
    _last: str = ""
    _reads_store_until_s: float = -math.inf
    _reads_for_zone_until_s: float = -math.inf

    def choose(self) -> NodeAddress | None:
        """Return the node to ask, or None where this node asks the store itself."""
        nodes = self.nodes()
        if self.own_name not in nodes:
            return None
        found = self._find(nodes)
        if found == self.own_name:
            found = ""
        self._note(found)
        return nodes[found] if found else None

    def _find(self, nodes: Mapping[str, NodeAddress]) -> str:
        """Return the name of the node to ask; the own one stands for the store."""
        now_s = self.timer.now_s()
        whole = self._first(nodes.values(), "")
        if self.own_name == whole or now_s < self._reads_store_until_s:
            return self.own_name
        if now_s < self._reads_for_zone_until_s:
            return whole
        near = [n for n in nodes.values() if n.zone == self.own_zone]
        zone = self._first(near, self.own_zone)
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
        nodes = [n for n in self.nodes().values() if not self._is_gone(n.name, now_s)]
        near = [n for n in nodes if n.zone == self.own_zone]
        whole = _ranked(nodes, "", now_s)
        zone = _ranked(near, self.own_zone, now_s)
        if whole is None or zone is None:
            return None
        return None if self.own_name in (whole.name, zone.name) else zone

    def _is_gone(self, name: str, now_s: float) -> bool:
        avoided = self._avoided.get(name)
        return avoided is not None and avoided.failures > 0 and avoided.until_s > now_s

    def _first(self, nodes: Iterable[NodeAddress], salt: str) -> str:
        """Return the node that comes first for a purpose, this one if all failed."""
        now_s = self.timer.now_s()
        usable = [n for n in nodes if self._is_usable(n.name, now_s)]
        ranked = _ranked(usable, salt, now_s)
        return ranked.name if ranked is not None else self.own_name

    def _is_usable(self, name: str, now_s: float) -> bool:
        avoided = self._avoided.get(name)
        return name == self.own_name or avoided is None or avoided.until_s <= now_s

    def _note(self, found: str) -> None:
        if found != self._last:
            self._last = found
            log_event("reader_chosen", reader=found or "the store")

    def is_first(self, node: NodeAddress) -> bool:
        """Return whether a node reads for the whole system, as far as is known."""
        return node.name == self._first(self.nodes().values(), "")

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


def _ranked(nodes: list[NodeAddress], salt: str, now_s: float) -> NodeAddress | None:
    """Return the node that comes first for a purpose, if there is any."""
    settled = [n for n in nodes if now_s - n.seen_s >= SETTLED_S]
    return max(settled or nodes, key=lambda n: _score(n, salt), default=None)


def _score(node: NodeAddress, salt: str) -> float:
    """Return a node's score for a purpose, by weighted rendezvous hashing."""
    digest = xxhash.xxh64_intdigest(f"{salt}/{node.name}".encode())
    share = (digest + 1) / (2**64 + 1)
    return -node.weight / math.log(share)
