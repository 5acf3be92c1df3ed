"""The emulator serves its callers and gives reproducible results."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch_lab import (
    Experiment,
    LabSite,
    run_experiment,
    run_in_virtual_time,
)

SMALL = Experiment(
    nodes=3,
    domains=2,
    warm_up_s=30.0,
    duration_s=4.0,
    loss_every_s=1.5,
    empty_every_s=0.0,
)


def test_experiment_serves_callers_and_is_deterministic() -> None:
    first, again = run_experiment(SMALL), run_experiment(SMALL)
    assert first.violations == []
    assert first.served() > 0.9
    assert 0.0 < first.worst_window() <= first.worth_in_windows()
    assert first.worth() <= 1.0
    assert first.worth_in_windows() <= 1.0
    assert first.summary() == again.summary()


def test_without_losses_nothing_is_late() -> None:
    calm = run_experiment(attrs.evolve(SMALL, loss_every_s=0.0))
    assert calm.served() == 1.0
    assert calm.worth() > 0.99
    assert calm.healing_s == []


def test_calls_to_the_store_do_not_grow_with_the_nodes() -> None:
    calm = attrs.evolve(SMALL, loss_every_s=0.0)
    few = run_experiment(calm)
    many = run_experiment(attrs.evolve(calm, nodes=12))
    calls = [sum(m.store_calls.values()) for m in (few, many)]
    assert calls[1] < 1.5 * calls[0]


def test_an_outage_of_the_store_costs_calls_of_few_nodes_and_ends_for_all() -> None:
    async def scenario() -> None:
        site = LabSite.create(Experiment(nodes=30, domains=1))
        await site.start()
        await asyncio.sleep(20.0)
        before = site.store_calls()
        site.store.faults.is_down = True
        await asyncio.sleep(6.0)
        calls = site.store_calls() - before
        # Each node on its own would poll three tables five times a second.
        assert calls.total() < 30 * 6.0 * 1.5
        site.store.faults.is_down = False
        await asyncio.sleep(1.2)
        ages = [one.node.view.configuration_age_s() for one in site.nodes]
        assert max(ages) < 1.6
        await site.close()

    run_in_virtual_time(scenario())
