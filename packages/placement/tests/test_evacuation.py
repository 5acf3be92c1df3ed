"""The planner while availability zones are evacuated, and when they return."""

from __future__ import annotations

from collections import Counter

import pytest
from planning_site import Site, evacuate, run_scenario

from fordhatch.adapter import OrderKind
from fordhatch.placement._planner_report import PlannerReport
from fordhatch_standins import EngineModel

FORMING = (OrderKind.JOIN, OrderKind.STAGE)


async def two_zones(site: Site) -> None:
    """Start a fabric domain in each of two zones, and wait until all is settled."""
    for zone in ("z1", "z2"):
        for _ in range(site.shape.per_domain):
            site.fleet.add(f"d-{zone}", zone)
    for name in ("n0", "n1"):
        site.add_node(name, is_first_start=True)
    await site.until(lambda: site.working() >= 4, 60)
    await site.watch(60)
    site.fleet.is_counting_loads = True


def groups_in(site: Site, zone: str) -> Counter[str]:
    """Return the open groups of a zone by model."""
    return Counter(head.place.model for head in heads_in(site, zone))


def forming_orders(site: Site, zone: str) -> int:
    return sum(site.fleet.orders[zone, kind] for kind in FORMING)


def heads_in(site: Site, zone: str) -> list[EngineModel]:
    return [head for head in site.fleet.check_serving() if head.zone == zone]


@pytest.fixture
def counted(monkeypatch: pytest.MonkeyPatch) -> list[Counter[str]]:
    """Return the group counts of every report of the planner."""
    found: list[Counter[str]] = []

    def record(_: PlannerReport, layout, *args) -> None:
        found.append(Counter({m: n for m, n in layout.counts.items() if n}))

    monkeypatch.setattr(PlannerReport, "report_state", record)
    return found


def test_open_groups_are_kept_but_not_counted(counted) -> None:
    async def scenario(site: Site) -> None:
        await two_zones(site)
        before = groups_in(site, "z1")
        evacuate(site, "z1")
        await site.watch(1.0)
        orders = forming_orders(site, "z1")
        await site.watch(20)
        assert groups_in(site, "z1") == before
        assert forming_orders(site, "z1") == orders
        assert counted[-1] == groups_in(site, "z2")
        evacuate(site)
        await site.watch(2.0)
        assert counted[-1] == groups_in(site, "z1") + groups_in(site, "z2")

    run_scenario(scenario)


def test_a_group_that_is_lost_there_forms_again_when_the_zone_returns() -> None:
    async def scenario(site: Site) -> None:
        await two_zones(site)
        before = groups_in(site, "z1")
        evacuate(site, "z1")
        await site.watch(1.0)
        orders = forming_orders(site, "z1")
        head = heads_in(site, "z1")[0]
        site.fleet.restart(site.fleet.engines[head.place.members[1]])
        await site.watch(15)
        assert groups_in(site, "z1").total() == before.total() - 1
        assert forming_orders(site, "z1") == orders
        missing = site.planner().planner.supervisor.lost_groups.missing()
        assert not any(missing.values())
        evacuate(site)
        # Staged weights and last models are still known: no load is needed.
        took_s = await site.until(
            lambda: groups_in(site, "z1").total() >= before.total(), 20
        )
        assert took_s < 8.0

    run_scenario(scenario)


def test_new_engines_form_groups_only_in_other_zones() -> None:
    async def scenario(site: Site) -> None:
        await two_zones(site)
        evacuate(site, "z1")
        await site.watch(1.0)
        orders, before = forming_orders(site, "z1"), site.working()
        for zone in ("z1", "z2"):
            for _ in range(4):
                site.fleet.add(f"d-{zone}", zone)
        await site.until(lambda: site.working() > before, 60)
        assert forming_orders(site, "z1") == orders
        assert groups_in(site, "z2").total() > before // 2

    run_scenario(scenario)


def test_formations_end_as_their_zone_is_evacuated() -> None:
    async def scenario(site: Site) -> None:
        await two_zones(site)
        killed = heads_in(site, "z1")[0]
        site.fleet.kill(site.fleet.engines[killed.place.members[1]])
        for _ in range(2):
            site.fleet.add("d-z1", "z1")
        await site.until(
            lambda: any(
                f.plan.members[0].zone == "z1"
                for f in site.planner().planner.formations.active.values()
            ),
            60,
        )
        evacuate(site, "z1")
        await site.watch(1.0)
        orders, before = forming_orders(site, "z1"), groups_in(site, "z1")
        await site.watch(20)
        planner = site.planner().planner
        assert not planner.formations.active
        assert forming_orders(site, "z1") == orders
        assert groups_in(site, "z1") == before
        assert not planner.crash_loops.paused_models()
        evacuate(site)
        await site.until(lambda: groups_in(site, "z1").total() > before.total(), 60)

    run_scenario(scenario)


def test_all_zones_may_be_evacuated_and_return() -> None:
    async def scenario(site: Site) -> None:
        await two_zones(site)
        before = site.fleet.working_groups()
        evacuate(site, "z1", "z2")
        await site.watch(15)
        assert site.fleet.working_groups() == before
        evacuate(site)
        await site.watch(15)
        assert site.fleet.working_groups() == before

    run_scenario(scenario)


def test_the_next_planner_reads_the_same_rows() -> None:
    async def scenario(site: Site) -> None:
        await two_zones(site)
        before = groups_in(site, "z1")
        evacuate(site, "z1")
        await site.watch(1.0)
        orders = forming_orders(site, "z1")
        lost = site.planner()
        del site.nodes[lost.name]
        await lost.kill()
        await site.until(lambda: site.planner() is not None, 20)
        await site.watch(15)
        assert groups_in(site, "z1") == before
        assert forming_orders(site, "z1") == orders

    run_scenario(scenario)
