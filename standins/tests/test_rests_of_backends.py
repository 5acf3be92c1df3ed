"""Backend servers that ask a node for a back-off get no requests from it meanwhile.

Failure: heads and plain servers that refused a node with a back-off of 3 s got three
and four requests from it within that time.
Cause: the node ignored the time in a refusal and handled it as any failure, after which
it avoids a server for half a second, or not at all if the server answers other requests
in between. An avoided server was still used as a last resort, and any successful answer
ended the avoidance.
The failure shows when a server refuses a node three times within a back-off and serves
nothing in between, while other servers serve.
Now the node reads the time and blocks the server until it has passed.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import Experiment, LabLoad, LabSite, run_in_virtual_time

WARM_UP_S = 25.0
"""Time until all groups are open: loads take up to 16 s."""


@pytest.mark.parametrize("seed", [31, 32])
def test_heads_get_no_requests_during_backoff(seed) -> None:
    site = LabSite.create(
        Experiment(nodes=8, domains=4, seed=seed, loss_every_s=0, empty_every_s=0)
    )
    pressure = site.backends.pressure
    load = LabLoad(site, site.rng)

    async def simulate() -> None:
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        work = asyncio.ensure_future(load.run(12.0))
        await asyncio.sleep(1.0)
        engines = site.backends.fleet.engines.values()
        refusing = [e.backend_id for e in engines if e.serves][:3]
        for head in refusing:
            pressure.rest(head, 3.0, refused_share=0.5)
        await asyncio.sleep(7.0)
        for head in refusing:
            pressure.rest(head, None)
        await work
        await site.close()

    run_in_virtual_time(simulate())
    assert pressure.breaches == []
    complete = sum(o.is_whole for o in load.outcomes)
    assert complete >= 0.99 * len(load.outcomes)
