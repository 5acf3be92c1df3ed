"""Chooses the backend server of a plain service that a request is sent to."""

from __future__ import annotations

import random
from collections.abc import Collection

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.registry import BackendDirectory

from ..groups import TIE_BREAK_FRACTION, BackendHealth
from ..limits import BackpressureTracker, Block
from ..load import SharedLoad

OTHER_ZONE_COST = 0.5
"""Cost of a backend server in another availability zone, in requests in flight."""

FILL_COST = 0.5
"""Cost of a backend server whose slots are all in use on average, in requests in
flight. At a higher cost the nodes of a zone move to another zone and back together,
because all of them follow the same totals."""

MAX_FILL = 2.0
"""Maximum of that average, as a fraction of the slots."""

FILL_SPREAD = 0.5
"""Random part of the cost where that average counts, in requests in flight. It makes
the fraction of the requests that go to another zone follow the load gradually."""

MIN_TYPICAL_S = 0.05
"""Lower bound of the typical time to answer: faster backend servers, and those whose
typical time is not known yet, count as equally fast."""


@attrs.define(eq=False, repr=False)
class BackendChoice:
    """Selects the backend server that is expected to answer first."""

    zone: str
    directory: BackendDirectory
    health: BackendHealth
    pressure: BackpressureTracker
    load: SharedLoad
    rng: random.Random

    def choose(self, service: str, tried: Collection[str]) -> BackendServer | None:
        """Return the backend server that a request should be sent to, or None.

        Args:
            service: The service.
            tried: Backend servers that the request was sent to already.
        """
        blocked = self.pressure.blocked_backends()
        untried = self._untried(service, tried)
        backends = [b for b in untried if b.backend_id not in blocked]
        healthy = [b for b in backends if not self.health.is_avoided(b.backend_id)]
        return min(healthy or backends, key=self._cost, default=None)

    def first_block(self, service: str, tried: Collection[str]) -> Block | None:
        """Return the block that ends first, if all untried ones are blocked."""
        return self.pressure.first_block(self._untried(service, tried))

    def _untried(self, service: str, tried: Collection[str]) -> list[BackendServer]:
        backends = self.directory.plain(service)
        return [b for b in backends if b.backend_id not in tried]

    def _cost(self, backend: BackendServer) -> float:
        cost = 1.0 + self.health.in_flight[backend.backend_id]
        if backend.zone != self.zone:
            cost += OTHER_ZONE_COST
        spread = TIE_BREAK_FRACTION
        if self.load.is_used_for(backend.service):
            fill = self.load.mean_in_flight(backend.backend_id) / max(backend.slots, 1)
            cost += FILL_COST * min(fill, MAX_FILL)
            spread = FILL_SPREAD
        usual_s = max(self.health.typical_s(backend.backend_id), MIN_TYPICAL_S)
        return cost * usual_s + self.rng.random() * spread * MIN_TYPICAL_S
