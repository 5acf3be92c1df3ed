"""Which node asks the store for which others."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs
import xxhash

from fordhatch.core import Timer, log_event

AVOID_FIRST_S = 2.0
"""How long a node that failed is not asked."""

AVOID_MOST_S = 60.0
"""Longest such time, for nodes that fail again and again: their rows in the store
outlive them."""


@attrs.frozen
class NodeAddress:
    """A node that may be asked."""

    name: str
    address: str
    """``host:port`` for traffic between nodes."""
    zone: str


@attrs.define
class _Avoided:
    until_s: float
    failures: int


@attrs.define(eq=False)
class ReaderChoice:
    """Rendezvous hashing over the nodes that are not known to have failed.

    One node reads for the whole system, one in each availability zone reads from it
    for the nodes of its zone. Whoever finds that all before it have failed reads for
    itself, and the others find it in turn.
    """

    own_name: str
    own_zone: str
    nodes: Callable[[], Mapping[str, NodeAddress]]
    timer: Timer
    _avoided: dict[str, _Avoided] = attrs.field(factory=dict)
    _last: str = ""

    def choose(self) -> NodeAddress | None:
        """Return the node to ask, or None where this node asks the store itself."""
        nodes = self.nodes()
        if self.own_name not in nodes:
            return None
        whole = self._first(nodes.values(), "")
        near = [n for n in nodes.values() if n.zone == self.own_zone]
        zone = self._first(near, self.own_zone)
        found = whole if zone == self.own_name else zone
        if self.own_name in (whole, found):
            found = ""
        self._note(found)
        return nodes[found] if found else None

    def _first(self, nodes: object, salt: str) -> str:
        """Return the node that comes first for a purpose, this one if all failed."""
        now_s = self.timer.now_s()
        ranked = sorted(
            (n.name for n in nodes),  # type: ignore[attr-defined]
            key=lambda name: xxhash.xxh64_intdigest(f"{salt}/{name}".encode()),
        )
        for name in ranked:
            avoided = self._avoided.get(name)
            if name == self.own_name or avoided is None or avoided.until_s <= now_s:
                return name
        return self.own_name

    def _note(self, found: str) -> None:
        if found != self._last:
            self._last = found
            log_event("reader_chosen", node=found or "the store")

    def failed(self, node: NodeAddress) -> None:
        """Ask others for a while."""
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
