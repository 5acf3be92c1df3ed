"""Chooses the group that a request for a model goes to."""

from __future__ import annotations

import random
from collections.abc import Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.registry import BackendDirectory

from ._backend_health import TIE_SHARE, BackendHealth
from ._stall_watch import StallWatch

OTHER_ZONE_COST = 0.3
"""What another availability zone counts against a group, in requests in flight:
bytes between zones cost a little, waiting costs more."""


@attrs.define(eq=False, repr=False)
class HeadChoice:
    """Least requests in flight, as far as this node knows."""

    zone: str
    directory: BackendDirectory
    health: BackendHealth
    stalls: StallWatch
    rng: random.Random

    def choose(
        self, service: str, model: str, tried: Collection[str]
    ) -> BackendServer | None:
        """Return the head of the group that should serve next, or None.

        Args:
            service: The service.
            model: The model that the request asks for.
            tried: Heads that have failed this request already.
        """
        heads = [
            head
            for head in self.directory.open_heads(service, model)
            if head.backend_id not in tried and not self.stalls.is_lost(head)
        ]
        sound = [h for h in heads if not self._is_avoided(h)]
        candidates = sound or heads
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def _is_avoided(self, head: BackendServer) -> bool:
        return self.health.is_avoided(head.backend_id) or self.stalls.is_avoided(head)

    def _cost(self, head: BackendServer) -> float:
        cost = 1.0 + self.health.in_flight[head.backend_id]
        if head.zone != self.zone:
            cost += OTHER_ZONE_COST
        # A slow group makes streams late even when it is empty: the square keeps
        # all but the last requests away from it.
        slowness = max(self.health.slowness(head.backend_id), self.stalls.pace(head))
        cost *= slowness**2
        return cost + self.rng.random() * TIE_SHARE
