"""Heads that report a limit get no more requests than it allows, over all nodes.

Failure: two heads that reported a limit of about one request a second got 13 to 15
within four seconds, as many as before the report.
Cause: the nodes ignored the limit in answers, and chose heads by the requests that each
node had in flight there. Nothing counted the requests to a server over all nodes.
Now each request to a limited server needs a permit, which bounds their sum.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import Experiment, LabLoad, LabSite, run_in_virtual_time

WARM_UP_S = 25.0
"""Time until all groups are open: loads take up to 16 s."""

LOAD_S = 16.0

EDGE_TOLERANCE = 2.0
"""Tolerance in requests for the ends of the measurement period."""


class LimitedHeads:
    """Site where some heads report a limit while callers request both models."""

    def __init__(self, seed: int, nodes: int, load: float = 1.0) -> None:
        self.site = LabSite.create(
            Experiment(
                nodes=nodes,
                domains=3,
                seed=seed,
                load=load,
                loss_every_s=0,
                empty_every_s=0,
            )
        )
        self.load = LabLoad(self.site, self.site.rng)

    @property
    def pressure(self):
        return self.site.backends.pressure

    def heads(self) -> list[str]:
        """Return an open head of each model."""
        found = {}
        for engine in self.site.backends.fleet.engines.values():
            if engine.serves:
                found.setdefault(engine.place.model, engine.backend_id)
        return list(found.values())

    async def measure(self, limits_per_s: list[float]) -> list[tuple[int, float]]:
        """Return the requests at each head, and the number that its limit allows."""
        await self.site.start()
        await asyncio.sleep(WARM_UP_S)
        work = asyncio.ensure_future(self.load.run(LOAD_S))
        limits = dict(zip(self.heads(), limits_per_s, strict=True))
        await asyncio.sleep(1.0)
        for head, limit_per_s in limits.items():
            self.pressure.limit(head, limit_per_s)
        since_s = asyncio.get_running_loop().time() + 4.0
        await work
        over_s = LOAD_S - 5.0
        received = [
            (len(self.pressure.arrivals(head, since_s)), over_s * limit_per_s)
            for head, limit_per_s in limits.items()
        ]
        await self.site.close()
        return received

    def served(self) -> float:
        outcomes = self.load.outcomes
        return sum(o.is_whole for o in outcomes) / len(outcomes)


@pytest.mark.parametrize("seed", [21, 22])
def test_heads_receive_at_most_their_reported_limit(seed) -> None:
    site = LimitedHeads(seed, nodes=8)
    received = run_in_virtual_time(site.measure([1.3, 1.1]))
    assert site.pressure.breaches == []
    # With enough requests, the limit is also used up.
    assert all(
        0.85 * allowed - EDGE_TOLERANCE <= n <= allowed + EDGE_TOLERANCE
        for n, allowed in received
    )
    assert site.served() >= 0.99
