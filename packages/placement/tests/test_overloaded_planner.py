"""A planner whose own node is slow, before many backend servers that all live.

Each call takes processor time of the planner's node, so that many calls at once wait
for their turn there longer than a backend server takes to answer.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest
from planning_site import LARGE_SHAPE, PlanningNode, Site, run_scenario

from fordhatch_standins import ModelTimes

DOMAINS = 10
REGISTRATION_S = 2.0
"""Time within which the backend servers register at the first start."""

TRAFFIC_AFTER_S = 12.0
"""Earliest time after the start of the nodes at which requests arrive."""

SPARE_PER_DOMAIN = 5
"""Backend servers of a domain of 37 that no groups of sixteen and eight can use."""

SHAPE = attrs.evolve(
    LARGE_SHAPE,
    models={"big": ModelTimes(16, 1.6, 1.6), "small": ModelTimes(8, 1.2, 1.1)},
)
"""Loads take a tenth of their time until the first request arrives."""

slow_nodes = pytest.mark.parametrize("call_cost_s", [0.0005, 0.001, 0.002])
"""Processor time of a call: a full core takes 0.5 ms, a quarter of one 2 ms."""


def add_planner(site: Site, call_cost_s: float, domains: int = DOMAINS) -> PlanningNode:
    """Start one node, whose calls cost processor time, and all engines."""
    site.shape = attrs.evolve(site.shape, call_cost_s=call_cost_s)
    loop = asyncio.get_running_loop()
    for index in range(domains * site.shape.per_domain):
        domain = f"d{index // site.shape.per_domain}"
        delay_s = site.rng.uniform(0.0, REGISTRATION_S)
        loop.call_later(delay_s, site.fleet.add, domain)
    return site.add_node("n0", is_first_start=True)


def grouped_engines(site: Site) -> int:
    """Return the number of engines in groups that serve."""
    working = site.fleet.working_groups()
    return sum(n * site.shape.models[model].size for model, n in working.items())


# Guards against living members that count as lost because the planner's own node was
# too slow to ask them all within the timeout, and groups that are given up for it.
@slow_nodes
def test_the_first_layout_of_a_slow_planner_opens_every_group(
    call_cost_s: float,
) -> None:
    async def scenario(site: Site) -> None:
        node = add_planner(site, call_cost_s)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + TRAFFIC_AFTER_S
        while loop.time() < end_s:
            await asyncio.sleep(0.1)
            assert not node.planner.losses.dead
            assert not node.planner.crash_loops.paused_models()
        needed = DOMAINS * (site.shape.per_domain - SPARE_PER_DOMAIN)
        assert grouped_engines(site) >= needed

    run_scenario(scenario, shape=SHAPE)


# Guards against a pause of the planner's process that is taken for the loss of all
# members that it was probing.
@pytest.mark.parametrize("pause_s", [0.2, 1.0])
def test_probes_do_not_fail_because_the_planner_stood_still(pause_s: float) -> None:
    async def scenario(site: Site) -> None:
        node = add_planner(site, 0.0001)
        await site.until(lambda: grouped_engines(site) > 0, 20.0)
        await asyncio.sleep(5.0)
        losses = node.planner.losses
        for backend in list(node.view.directory.backends.values())[:50]:
            losses.check(backend, asyncio.get_running_loop().time())
        await asyncio.sleep(0.001)
        asyncio.get_running_loop().spend(pause_s)
        await asyncio.sleep(1.0)
        assert not losses.dead

    run_scenario(scenario, shape=SHAPE)


# Guards against findings that keep themselves alive: servers that are believed lost
# were all probed again at the same moment, which the planner's node could not bear.
def test_servers_that_were_unreachable_for_a_while_are_all_used_again() -> None:
    async def scenario(site: Site) -> None:
        node = add_planner(site, 0.002, domains=25)
        await site.until(node.lease.is_held, 5.0)
        await asyncio.sleep(REGISTRATION_S + 8.0)
        node.backends.is_cut = True
        for backend in node.view.directory.backends.values():
            node.planner.losses.check(backend, asyncio.get_running_loop().time())
        await asyncio.sleep(5.0)
        node.backends.is_cut = False
        await site.until(lambda: not node.planner.losses.dead, 10.0)

    run_scenario(scenario, shape=SHAPE)
