"""Groups of one model that are given up for groups of another model."""

from __future__ import annotations

import asyncio
import json

import pytest
from planning_site import Site, engine_configuration, run_scenario, standard_site

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.catalog import BackendServer, ModelDemand
from fordhatch.placement._group_builder import GroupBuilder
from fordhatch.placement._layout import Layout


async def declare_newer_model(site: Site) -> None:
    """Replace the larger model with one that is staged on no host."""
    data = json.loads(engine_configuration())
    site.fleet.models = {**site.fleet.models, "newer": site.fleet.models["big"]}
    for engine in site.fleet.engines.values():
        engine.models = site.fleet.models
    data["services"][0]["engine"]["models"][0]["name"] = "newer"
    data["version"] = 2
    site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, json.dumps(data).encode())
    while site.fleet.working_groups().get("newer", 0) < 2:
        working = site.fleet.working_groups()
        assert working.get("big", 0) + working.get("newer", 0) >= 1, working
        await site.watch(0.2)


def test_groups_of_a_model_that_is_no_longer_declared_are_replaced_one_by_one() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=2, nodes=1)
        await declare_newer_model(site)
        await site.until(lambda: "big" not in site.fleet.working_groups(), 120)

    run_scenario(scenario)


def test_a_conversion_gets_the_members_that_were_given_up_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    formed: list[bool] = []
    finish = GroupBuilder._finish

    def spy(
        self: GroupBuilder,
        layout: Layout,
        free: list[BackendServer],
        domain: str,
        pending: object,
    ) -> list[BackendServer]:
        formations = len(self.formations.active)
        left = finish(self, layout, free, domain, pending)
        if domain not in self._pending:
            formed.append(len(self.formations.active) > formations)
        return left

    monkeypatch.setattr(GroupBuilder, "_finish", spy)

    async def scenario(site: Site) -> None:
        await standard_site(site, domains=2, nodes=1)
        await declare_newer_model(site)

    run_scenario(scenario)
    assert formed
    assert all(formed)


async def report_demand(site: Site, work: dict[str, float], for_s: float) -> None:
    """Report the same demand for each model to every planner for some seconds."""
    demand = {("llm", m): ModelDemand(100.0, busy) for m, busy in work.items()}
    for _ in range(round(for_s / 0.2)):
        for node in site.nodes.values():
            node.planner.demand.record_report(
                node.name, demand, asyncio.get_running_loop().time()
            )
        await site.watch(0.2)


def test_a_burst_of_one_model_moves_groups_within_seconds_and_back() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=4, nodes=1)
        # The weights of the other model are staged on all hosts before any conversion.
        await report_demand(site, {"big": 2.4, "small": 2.4}, 40.0)
        calm = site.fleet.working_groups()
        await report_demand(site, {"big": 1.2, "small": 8.0}, 8.0)
        burst = site.fleet.working_groups()
        assert burst["small"] > calm["small"]
        assert burst["big"] >= 1
        await report_demand(site, {"big": 2.4, "small": 2.4}, 40.0)
        after = site.fleet.working_groups()
        assert abs(after["big"] - calm["big"]) <= 1

    run_scenario(scenario)


def test_a_burst_does_not_convert_one_of_two_groups() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, domains=2, nodes=1)
        await report_demand(site, {"big": 1.2, "small": 1.2}, 40.0)
        await report_demand(site, {"big": 0.6, "small": 4.0}, 8.0)
        assert site.fleet.working_groups()["big"] == 2

    run_scenario(scenario)


def test_alternating_demand_moves_hardly_any_group() -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site, nodes=1)
        await report_demand(site, {"big": 1.0, "small": 1.0}, 40.0)
        epochs = {e.place.epoch for e in site.fleet.engines.values() if e.place}
        for _ in range(3):
            await report_demand(site, {"big": 1.2, "small": 0.8}, 5.0)
            await report_demand(site, {"big": 0.8, "small": 1.2}, 5.0)
        kept = {e.place.epoch for e in site.fleet.engines.values() if e.place}
        assert len(epochs - kept) <= 2

    run_scenario(scenario)
