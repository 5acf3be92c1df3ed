"""Complete planners under random faults; the fleet checks every order."""

from __future__ import annotations

import asyncio

import pytest
from planning_site import Site, run_scenario, standard_site
from test_grey_heads import suspect

from fordhatch_standins import EngineModel

FAULT_KINDS = [
    "kill",
    "kill",
    "kill",
    "add",
    "add",
    "add",
    "drain",
    "cut",
    "node",
    "orders",
    "store",
    "calm",
]


GREY_KINDS = [*FAULT_KINDS, "grey", "grey", "grey", "grey"]
"""With heads that fail reports while nodes suspect their groups."""


@pytest.mark.parametrize(
    ("seed", "checks_fencing"), [(0, False), (1, False), (2, False), (1, True)]
)
def test_random_faults_never_violate_invariants(
    seed: int, checks_fencing: bool
) -> None:
    """Inject losses, drains, partitions, late and lost orders, planner crashes and
    store outages."""
    run_faults(seed, FAULT_KINDS, checks_fencing=checks_fencing)


# Guards against groups that are given up while their grey head serves, whatever else
# happens meanwhile.
@pytest.mark.parametrize("seed", range(10, 18))
def test_random_faults_beside_grey_heads_never_violate_invariants(seed: int) -> None:
    run_faults(seed, GREY_KINDS)


def run_faults(seed: int, kinds: list[str], *, checks_fencing: bool = False) -> None:
    """Run a site under random faults; its fleet checks every order."""

    async def inject_fault(site: Site, step: int) -> None:
        rng = site.rng
        living = [e for e in site.fleet.engines.values() if not e.is_dead]
        kind = rng.choice(kinds)
        match kind:
            case "kill":
                site.fleet.kill(rng.choice(living))
            case "add":
                site.fleet.add(f"d{rng.randrange(4)}")
            case "drain":
                leaving = rng.choice(living)
                site.fleet.drain(leaving)
                await asyncio.sleep(2.5)
                site.fleet.kill(leaving)
            case "cut":
                site.fleet.cut_from_store(rng.choice(living))
            case "node":
                planner = site.planner()
                if planner is not None:
                    del site.nodes[planner.name]
                    await planner.kill()
                    site.add_node(f"n{step + 10}")
            case "orders":
                site.fleet.faults.late_share = rng.choice([0.0, 0.35])
                site.fleet.faults.lost_share = rng.choice([0.0, 0.3])
            case "grey":
                heads = [e for e in living if e.place is not None and e.serves]
                if heads:
                    await make_grey(site, rng.choice(heads))
            case "store":
                site.store.faults.is_down = True
                await site.watch(rng.uniform(0.5, 4.0))
                site.store.faults.is_down = False

    async def scenario(site: Site) -> None:
        site.fleet.checks_fencing = checks_fencing
        await standard_site(site, domains=4, nodes=3)
        for step in range(25):
            await inject_fault(site, step)
            await site.watch(site.rng.uniform(0.2, 3.0))
        site.fleet.faults.late_share = site.fleet.faults.lost_share = 0.0
        await site.watch(25)
        assert site.working() > 0

    run_scenario(scenario, seed)


async def make_grey(site: Site, head: EngineModel) -> None:
    """Let a head fail reports for some seconds, while nodes suspect its group."""
    head.failed_reports = site.rng.choice([0.4, 1.0])
    until_s = asyncio.get_running_loop().time() + site.rng.uniform(0.5, 6.5)
    while asyncio.get_running_loop().time() < until_s:
        if head.place is not None:
            suspect(site, head)
        await site.watch(0.5)
    head.failed_reports = 0.0
