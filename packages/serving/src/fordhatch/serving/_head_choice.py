"""Chooses the group that a request for a model is sent to."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.registry import BackendDirectory

from ._backend_health import TIE_BREAK_FRACTION, BackendHealth
from ._backpressure import BackpressureTracker, Block
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


@attrs.define(eq=False, repr=False)
class HeadChoice:
    """Selects the head with the fewest requests in flight from this node."""

    zone: str
    directory: BackendDirectory
    health: BackendHealth
    stalls: StallWatch
    pressure: BackpressureTracker
    rng: random.Random
    node_count: Callable[[], int]
    """Returns the number of nodes that share the groups."""

    def choose(
        self, service: str, model: str, tried: Collection[str]
    ) -> BackendServer | None:
        """Return the head of the group that should run a request next, or None.

        Args:
            service: The service.
            model: The model that the request names.
            tried: Heads that have already failed this request.
        """
        blocked = self.pressure.blocked_backends()
        available = self._available_heads(service, model, tried)
        heads = [head for head in available if head.backend_id not in blocked]
        healthy = [h for h in heads if not self._is_avoided(h)]
        candidates = healthy or heads
        if not candidates:
            return None
        other_zone = min(OTHER_ZONE_COST / max(self.node_count(), 1), MAX_ZONE_COST)
        return min(candidates, key=lambda head: self._cost(head, other_zone))

    def _available_heads(
        self, service: str, model: str, tried: Collection[str]
    ) -> list[BackendServer]:
        return [
            head
            for head in self.directory.open_heads(service, model)
            if head.backend_id not in tried and not self.stalls.is_lost(head)
        ]

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
