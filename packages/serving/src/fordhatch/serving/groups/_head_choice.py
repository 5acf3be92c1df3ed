"""Chooses the group that a request for a model is sent to."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.registry import BackendDirectory

from ..limits import BackpressureTracker, Block
from ..load import NO_NEED, MemoryNeed, SharedLoad, Totals
from ._backend_health import TIE_BREAK_FRACTION, BackendHealth
from ._stall_watch import StallWatch

OTHER_ZONE_COST = 2.4
"""Cost of a group in another availability zone, in requests that all nodes together
have in flight there. Traffic between zones costs a little; waiting costs more.

A node knows only its own requests, so with more nodes each of its own requests stands
for more requests in total, and the zone weighs less against it. A fixed cost would send
all requests of a zone to its own groups, however few there are.
"""

MAX_ZONE_COST = 0.3
"""Maximum of that cost in the node's own requests; applies to systems of fewer than
eight nodes."""

SAMPLED_HEADS = 2
"""Heads that are compared when the load of all nodes is known. Totals are some tenths
of a second old, so that the least loaded head would get the requests of all nodes."""

MEMORY_RESERVE = 0.15
"""Fraction of a group's memory that is used only if no head has less in use: requests
that other nodes have sent since their last reports are not in the totals."""


@attrs.define(eq=False, repr=False)
class HeadChoice:
    """Selects the head with the fewest requests in flight.

    Counts the requests of all nodes where the service calls for it and their recent
    totals are known, otherwise those of this node.
    """

    zone: str
    directory: BackendDirectory
    health: BackendHealth
    stalls: StallWatch
    pressure: BackpressureTracker
    rng: random.Random
    node_count: Callable[[], int]
    """Returns the number of nodes that share the groups."""
    load: SharedLoad | None = None
    """The load by the requests of all nodes."""

    def choose(
        self,
        service: str,
        model: str,
        tried: Collection[str],
        need: MemoryNeed = NO_NEED,
    ) -> BackendServer | None:
        """Return the head of the group that should run a request next, or None.

        Args:
            service: The service.
            model: The model that the request names.
            tried: Heads that have already failed this request.
            need: Memory that the request needs at the group.
        """
        blocked = self.pressure.blocked_backends()
        available = self._available_heads(service, model, tried)
        heads = [head for head in available if head.backend_id not in blocked]
        if self.load is not None and self.load.is_used_for(service):
            return self._choose_by_totals(heads, need, self.load.totals())
        healthy = [h for h in heads if not self._is_avoided(h)]
        candidates = healthy or heads
        if not candidates:
            return None
        other_zone = min(OTHER_ZONE_COST / max(self.node_count(), 1), MAX_ZONE_COST)
        return min(candidates, key=lambda head: self._cost(head, other_zone))

    def _choose_by_totals(
        self, heads: list[BackendServer], need: MemoryNeed, totals: Totals
    ) -> BackendServer | None:
        """Return the better one of two random heads, by the load of all nodes.

        They are from this node's zone while one of them has a free slot, otherwise
        two heads of other zones are compared as well.
        """
        usable = _with_room(heads, need, totals)
        usable = [h for h in usable if not self._is_avoided(h)] or usable

        def cost(head: BackendServer) -> float:
            return self._total_cost(head, need, totals)

        own_zone = [h for h in usable if h.zone == self.zone]
        sampled = self._sample(own_zone, totals)
        if any(cost(head) <= 1.0 for head in sampled):
            return min(sampled, key=cost)
        sampled += self._sample([h for h in usable if h.zone != self.zone], totals)
        return min(sampled, key=cost, default=None)

    def _sample(
        self, heads: list[BackendServer], totals: Totals
    ) -> list[BackendServer]:
        """Return two random ones of the heads with the fewest requests of this node."""
        own = [totals.own_in_flight(head.backend_id) for head in heads]
        fewest = min(own, default=0)
        heads = [h for h, count in zip(heads, own, strict=True) if count == fewest]
        return self.rng.sample(heads, min(SAMPLED_HEADS, len(heads)))

    def _total_cost(
        self, head: BackendServer, need: MemoryNeed, totals: Totals
    ) -> float:
        """Return the used fraction of slots or memory; above 1, requests wait."""
        requests = 1.0 + totals.in_flight(head.backend_id)
        if head.zone != self.zone:
            requests += OTHER_ZONE_COST
        used = need.used_fraction(totals.tokens(head.backend_id))
        slowness = self.health.slowness(head.backend_id)
        return max(requests / max(head.slots, 1), used) * slowness**2

    def _available_heads(
        self, service: str, model: str, tried: Collection[str]
    ) -> list[BackendServer]:
        return [
            head
            for head in self.directory.open_heads(service, model)
            if head.backend_id not in tried and not self.stalls.is_lost(head)
        ]

    def count_heads(self, service: str, model: str) -> dict[str, int]:
        """Return log fields that tell why no head is available.

        They count the open heads of a model, and those that are excluded because this
        node or another one has found that their group lacks a member.
        """
        heads = self.directory.open_heads(service, model)
        lost_here = sum(self.stalls.has_found_lost(head) for head in heads)
        lost = sum(self.stalls.is_lost(head) for head in heads)
        return {
            "heads": len(heads),
            "lost_here": lost_here,
            "lost_told": lost - lost_here,
        }

    def first_block(
        self, service: str, model: str, tried: Collection[str]
    ) -> Block | None:
        """Return the block that ends first, if all heads are blocked.

        Args:
            service: The service.
            model: The model that the request names.
            tried: Heads that have already failed this request.
        """
        return self.pressure.first_block(self._available_heads(service, model, tried))

    def _is_avoided(self, head: BackendServer) -> bool:
        return self.health.is_avoided(head.backend_id) or self.stalls.is_avoided(head)

    def _cost(self, head: BackendServer, other_zone: float) -> float:
        cost = 1.0 + self.health.in_flight[head.backend_id]
        if head.zone != self.zone:
            cost += other_zone
        # A slow group delays streams even when it is idle. The square keeps nearly
        # all requests away from it while other groups have capacity.
        cost *= self.health.slowness(head.backend_id) ** 2
        return cost + self.rng.random() * TIE_BREAK_FRACTION


def _with_room(
    heads: list[BackendServer], need: MemoryNeed, totals: Totals
) -> list[BackendServer]:
    """Return the heads whose memory has room for a request, or all if none has."""
    used = [need.used_fraction(totals.tokens(h.backend_id)) for h in heads]
    for limit in (1.0 - MEMORY_RESERVE, 1.0):
        roomy = [h for h, part in zip(heads, used, strict=True) if part <= limit]
        if roomy:
            return roomy
    return heads
