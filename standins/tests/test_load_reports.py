"""Nodes of a site whose service has urgency classes, or has none."""

from __future__ import annotations

import asyncio
import math

import attrs

from fordhatch_lab import CLASSES, Experiment, LabLoad, LabSite, run_in_virtual_time

CALM = Experiment(nodes=7, domains=2, loss_every_s=0.0, empty_every_s=0.0)
URGENT = attrs.evolve(
    CALM,
    classes=tuple(attrs.evolve(one, priority=rank) for rank, one in enumerate(CLASSES)),
)


async def started(experiment: Experiment) -> LabSite:
    site = LabSite.create(experiment)
    await site.start()
    await asyncio.sleep(25.0)
    return site


def test_nodes_know_the_load_of_all_nodes() -> None:
    async def run() -> list[float]:
        site = await started(URGENT)
        load = LabLoad(site, site.rng)
        calls = asyncio.ensure_future(load.run(4.0))
        errors: list[float] = []
        for _ in range(15):
            await asyncio.sleep(0.2)
            loads = [one.node.path.load for one in site.nodes]
            heads = {b for one in loads for b in one._own}
            in_flight = sum(
                one.totals().own_in_flight(b) for one in loads for b in heads
            )
            for one in loads:
                if one.has_own() and one.is_recent():
                    known = sum(one.total_in_flight(b) for b in heads)
                    errors.append(abs(known - in_flight) / max(in_flight, 1))
        await calls
        await asyncio.sleep(3.0)
        assert not any(one.node.path.load.has_own() for one in site.nodes)
        await site.close()
        return errors

    errors = run_in_virtual_time(run())
    assert len(errors) > 30
    assert sum(errors) / len(errors) < 0.25


def test_without_urgency_classes_no_load_is_reported() -> None:
    async def run() -> None:
        site = await started(CALM)
        await LabLoad(site, site.rng).run(4.0)
        for one in site.nodes:
            assert one.node.path.load.age_s() == math.inf
            assert one.node.load_gossip._book.count() == 0
        await site.close()

    run_in_virtual_time(run())
