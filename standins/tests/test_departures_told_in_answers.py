"""Heads that report their departure in answers before their entries do.

Pattern: callers continuously request both models while the store is unavailable or
entries are late, so that nodes and the planner learn of the departure from answers
only.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import Experiment, LabLoad, LabSite, run_in_virtual_time

WARM_UP_S = 25.0
"""Time until all groups are open: loads take up to 16 s."""

REACTION_TIME_S = 0.3
"""Time from the first answer until the planner's node and all others act on it."""


@pytest.mark.parametrize("is_store_down", [False, True])
def test_leaving_head_gets_no_requests(is_store_down) -> None:
    site = LabSite.create(
        Experiment(
            nodes=8,
            domains=4,
            seed=41,
            loss_every_s=0,
            empty_every_s=0,
            # With strict revocation no node may serve through the whole outage.
            is_revocation_strict=not is_store_down,
        )
    )
    pressure = site.backends.pressure
    load = LabLoad(site, site.rng)

    async def simulate() -> tuple[list, list]:
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        work = asyncio.ensure_future(load.run(6.0))
        await asyncio.sleep(0.5)
        site.store.faults.is_down = is_store_down
        engines = site.backends.fleet.engines.values()
        leaving = next(e.backend_id for e in engines if e.serves)
        pressure.leave(leaving)
        loop = asyncio.get_running_loop()
        while not pressure.arrivals(leaving, loop.time() - 0.05):
            await asyncio.sleep(0.05)
        await asyncio.sleep(REACTION_TIME_S)
        unaware = [
            one.node.settings.node_name
            for one in site.nodes
            if leaving in {b.backend_id for b in one.node.view.directory.plain("llm")}
        ]
        settled_s = loop.time() + REACTION_TIME_S
        await work
        late = pressure.arrivals(leaving, settled_s)
        await site.close()
        return unaware, late

    unaware, late = run_in_virtual_time(simulate())
    assert unaware == []
    assert late == []
    assert pressure.breaches == []
    complete = sum(o.is_whole for o in load.outcomes)
    assert complete >= 0.99 * len(load.outcomes)
