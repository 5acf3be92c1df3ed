"""What the planner reports of its state."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest
from planning_site import (
    Site,
    engine_configuration,
    head_and_member,
    run_scenario,
    standard_site,
)

from fordhatch.adapter import decode_configuration
from fordhatch.catalog import BackendServer, BackendState
from fordhatch.placement import Layout, _planner_report

PROFILE = decode_configuration(engine_configuration()).services["llm"].engine


def reports_of(log: mock.Mock) -> list[dict[str, object]]:
    """Return the fields of the logged states."""
    return [c.kwargs for c in log.call_args_list if c.args == ("planner_state",)]


def backend(name: str, domain: str, *staged: str) -> BackendServer:
    """Return a free backend server."""
    return BackendServer(
        name, "llm", "a:1", "z", BackendState.READY, 13, domain, tuple(staged)
    )


@pytest.fixture
def log(monkeypatch: pytest.MonkeyPatch) -> mock.Mock:
    """Record the events of the report."""
    recorded = mock.Mock()
    monkeypatch.setattr(_planner_report, "log_event", recorded)
    return recorded


def test_the_state_names_who_did_not_answer(log: mock.Mock) -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        _, member = head_and_member(site, "big")
        listed = site.planner().view.directory.backends[member.backend_id]
        site.fleet.kill(member)
        site.planner().planner.losses.check(listed)
        await asyncio.sleep(2.5)
        found = reports_of(log)[-1]
        assert found["lost"] == 1
        assert found["usable"] == 15
        assert found["loads_at_once"] == 6

    run_scenario(scenario)


def test_each_service_is_reported_every_two_seconds(log: mock.Mock) -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        log.reset_mock()
        await asyncio.sleep(20.0)
        assert 9 <= len(reports_of(log)) <= 10
        assert all(r["lag_s"] < 0.1 for r in reports_of(log))

    run_scenario(scenario)


def test_a_late_step_shows_as_lag_once(log: mock.Mock) -> None:
    async def scenario(site: Site) -> None:
        await standard_site(site)
        site.planner().planner.report.end_step(-1.5)
        await asyncio.sleep(4.5)
        lags_s = [r["lag_s"] for r in reports_of(log)[-2:]]
        assert lags_s[0] >= 1.5
        assert lags_s[1] < 0.1

    run_scenario(scenario)


def test_a_domain_is_short_of_a_model_whose_weights_its_free_servers_lack() -> None:
    free = [backend(n, "d0", "big") for n in "ab"]
    free += [backend(n, "d0", "small") for n in "cd"]
    free += [backend(n, "d1", "big") for n in "efg"]
    layout = Layout(PROFILE, {}, backends=7)
    assert _planner_report.short_domains(layout, free) == {"big": 1, "small": 1}
