"""Spare backend servers of domains in which two models have groups."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from planning_site import (
    LARGE_SHAPE,
    Site,
    head_and_member,
    run_scenario,
    standard_site,
)

DOMAINS = 3
SETTLE_S = 90.0
"""Time after which all hosts have the weights that they should have staged."""

HEALING_S = 4.0
"""Longest time from the loss of a member to the next group of its survivors: a join
without a load takes 1.6 s and opening 0.3 s."""


async def settled_site(site: Site) -> None:
    """Start a site of large groups and wait until its spares are prepared."""
    await standard_site(site, domains=DOMAINS)
    await asyncio.sleep(SETTLE_S)


def groups_of(site: Site, model: str) -> int:
    """Return the number of groups of a model that serve."""
    return Counter(site.fleet.working_groups())[model]


# Guards against spares of a domain that are all prepared for the same model, so that
# the survivors of another model's group wait for a load.
@pytest.mark.parametrize("model", ["big", "small"])
def test_a_group_that_loses_a_member_is_replaced_without_a_load(model: str) -> None:
    async def scenario(site: Site) -> None:
        await settled_site(site)
        before = groups_of(site, model)
        _, member = head_and_member(site, model)
        report_loss(site, member.backend_id)
        site.fleet.kill(member)
        await asyncio.sleep(0.5)
        await site.until(lambda: groups_of(site, model) >= before, HEALING_S)

    run_scenario(scenario, shape=LARGE_SHAPE)


# Guards against spares that change from model to model and back, which takes all the
# loads that the weight store bears.
def test_spares_keep_their_weights_while_nothing_changes() -> None:
    async def scenario(site: Site) -> None:
        await settled_site(site)
        before = site.fleet.loads
        await asyncio.sleep(60.0)
        assert site.fleet.loads == before

    run_scenario(scenario, shape=LARGE_SHAPE)


def report_loss(site: Site, backend_id: str) -> None:
    """Let the planner probe a backend server, as after a node's report."""
    node = site.planner()
    backend = node.view.directory.backends[backend_id]
    loop = asyncio.get_running_loop()
    loop.call_later(0.4, node.planner.losses.check, backend, loop.time() + 0.1)


# Guards against losses that outpace the healing of groups though as many empty servers
# arrive: half a minute of them must not cost more than the groups that heal just now.
def test_losses_in_all_domains_do_not_use_up_the_groups_of_a_model() -> None:
    async def scenario(site: Site) -> None:
        await settled_site(site)
        before = Counter(site.fleet.working_groups())
        for number in range(9):
            model = "big" if number % 2 else "small"
            victim = site.rng.choice(
                [
                    e
                    for e in site.fleet.engines.values()
                    if not e.is_dead and e.place is not None and e.place.model == model
                    if e.place.rank > 0
                ]
            )
            report_loss(site, victim.backend_id)
            site.fleet.kill(victim)
            site.fleet.add(victim.domain)
            await asyncio.sleep(4.0)
        await asyncio.sleep(HEALING_S)
        after = Counter(site.fleet.working_groups())
        for model in before:
            assert after[model] >= before[model] - 1, (before, after)

    run_scenario(scenario, shape=LARGE_SHAPE)
