"""Heads that say in their answers that they leave, before any entry says so.

Pattern: callers ask for both models all the time while the store is away, or while
entries come late: the answers are all that nodes and the planner have.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import Experiment, LabLoad, LabSite, run_in_virtual_time

WARM_UP_S = 25.0
"""Loads take up to 16 s; the groups are open by then."""

KNOWN_S = 0.3
"""From the first answer until the planner's node and all others act by it."""


@pytest.mark.parametrize("is_store_away", [False, True])
def test_nothing_goes_to_a_head_that_says_that_it_leaves(is_store_away) -> None:
    site = LabSite.create(
        Experiment(
            nodes=8,
            domains=4,
            seed=41,
            loss_every_s=0,
            empty_every_s=0,
            # Otherwise no node may serve through the whole outage.
            is_revocation_strict=not is_store_away,
        )
    )
    pressure = site.backends.pressure
    load = LabLoad(site, site.rng)

    async def play() -> tuple[list, list]:
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        work = asyncio.ensure_future(load.run(6.0))
        await asyncio.sleep(0.5)
        site.store.faults.is_down = is_store_away
        engines = site.backends.fleet.engines.values()
        leaving = next(e.backend_id for e in engines if e.serves)
        pressure.leave(leaving)
        loop = asyncio.get_running_loop()
        while not pressure.arrivals(leaving, loop.time() - 0.05):
            await asyncio.sleep(0.05)
        await asyncio.sleep(KNOWN_S)
        unaware = [
            one.node.settings.node_name
            for one in site.nodes
            if leaving in {b.backend_id for b in one.node.view.directory.plain("llm")}
        ]
        settled_s = loop.time() + KNOWN_S
        await work
        late = pressure.arrivals(leaving, settled_s)
        await site.close()
        return unaware, late

    unaware, late = run_in_virtual_time(play())
    assert unaware == []
    assert late == []
    assert pressure.breaches == []
    whole = sum(o.is_whole for o in load.outcomes)
    assert whole >= 0.99 * len(load.outcomes)
