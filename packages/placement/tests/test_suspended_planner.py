"""Suspension of the planner's machine, during which another node becomes planner."""

from __future__ import annotations

import random

import attrs
import pytest
from planning_site import PlanningNode, Site, run_scenario, standard_site

from fordhatch.core import Suspension


@attrs.define
class Machine:
    """A machine of which only the boot-time clock advances during a suspension."""

    suspended_s: float = 0.0

    @classmethod
    def of(cls, node: PlanningNode) -> Machine:
        machine = cls()
        clock = Suspension(lambda: 0.0, lambda: machine.suspended_s)
        node.lease.timer.suspension = clock
        return machine


def test_a_lease_that_expired_during_a_suspension_is_not_held() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        planner = site.planner()
        machine = Machine.of(planner)
        assert planner.lease.is_held()
        machine.suspended_s += 6.0
        assert not planner.lease.is_held()
        assert planner.view.configuration_age_s() >= 6.0

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(3))
def test_groups_survive_suspensions_of_any_node(seed: int) -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=3)
        before = site.working()
        machines = [Machine.of(node) for node in site.nodes.values()]
        rng = random.Random(seed)
        for _ in range(8):
            rng.choice(machines).suspended_s += rng.uniform(0.5, 8.0)
            await site.watch(rng.uniform(0.2, 3.0))
        await site.watch(8.0)
        assert site.working() == before
        assert site.planner() is not None

    run_scenario(scenario, seed)
