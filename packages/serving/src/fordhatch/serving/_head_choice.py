"""Chooses the group that a request for a model goes to."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.registry import BackendDirectory

from ._backend_health import TIE_SHARE, BackendHealth
from ._pressure_book import Hold, PressureBook
from ._stall_watch import StallWatch

OTHER_ZONE_COST = 2.4
"""What another availability zone counts against a group, in requests that all nodes
together have in flight there: bytes between zones cost a little, waiting costs more.
A node knows its own requests only, so that the more nodes there are, the less one of
its own requests weighs against a zone: a fixed cost would send all requests of a zone
to its own groups, however few there are."""

MOST_ZONE_COST = 0.3
"""The same in own requests at the most, for systems of less than eight nodes."""


@attrs.define(eq=False, repr=False)
class HeadChoice:
    """Least requests in flight, as far as this node knows."""

    zone: str
    directory: BackendDirectory
    health: BackendHealth
    stalls: StallWatch
    pressure: PressureBook
    rng: random.Random
    node_count: Callable[[], int]
    """Returns how many nodes share the groups."""

    def choose(
        self, service: str, model: str, tried: Collection[str]
    ) -> BackendServer | None:
        """Return the head of the group that should serve next, or None.

        Args:
            service: The service.
            model: The model that the request asks for.
            tried: Heads that have failed this request already.
        """
        held = self.pressure.held()
        living = self._living(service, model, tried)
        heads = [head for head in living if head.backend_id not in held]
        sound = [h for h in heads if not self._is_avoided(h)]
        candidates = sound or heads
        if not candidates:
            return None
        other_zone = min(OTHER_ZONE_COST / max(self.node_count(), 1), MOST_ZONE_COST)
        return min(candidates, key=lambda head: self._cost(head, other_zone))

    def _living(
        self, service: str, model: str, tried: Collection[str]
    ) -> list[BackendServer]:
        return [
            head
            for head in self.directory.open_heads(service, model)
            if head.backend_id not in tried and not self.stalls.is_lost(head)
        ]

    def first_hold(
        self, service: str, model: str, tried: Collection[str]
    ) -> Hold | None:
        """Return the hold that ends first, where all heads are held.

        Args:
            service: The service.
            model: The model that the request asks for.
            tried: Heads that have failed this request already.
        """
        return self.pressure.first_hold(self._living(service, model, tried))

    def _is_avoided(self, head: BackendServer) -> bool:
        return self.health.is_avoided(head.backend_id) or self.stalls.is_avoided(head)

    def _cost(self, head: BackendServer, other_zone: float) -> float:
        cost = 1.0 + self.health.in_flight[head.backend_id]
        if head.zone != self.zone:
            cost += other_zone
        # A slow group makes streams late even when it is empty: the square keeps
        # all but the last requests away from it.
        cost *= self.health.slowness(head.backend_id) ** 2
        return cost + self.rng.random() * TIE_SHARE
