"""Cold engines get no more requests than they tolerate, over all nodes.

Failure: the engines of a zone that returns have nothing in flight, so every node
prefers them, and each gets several times the requests that a cold engine tolerates.
They crash, and so do their successors. Now all nodes together stay within the limit.
"""

from __future__ import annotations

import asyncio

import pytest

from fordhatch.registry import BackendDirectory
from fordhatch_lab import Experiment, LabLoad, LabSite, run_in_virtual_time
from fordhatch_lab._lab_load import LabReply

WARM_UP_S = 25.0
LOAD_S = 7.0
COLD_S = 3.0
COLD_PER_S = 1.0
"""Each head gets about five requests a second while all are warm."""


class ColdSite:
    """Site under load whose engines become cold, or return with their zone."""

    def __init__(self, seed: int, *, is_configured: bool = True, **changes) -> None:
        self.site = LabSite.create(
            Experiment(
                domains=6,
                seed=seed,
                loss_every_s=0,
                empty_every_s=0,
                cold_s=COLD_S,
                cold_per_s=COLD_PER_S,
                is_cold_configured=is_configured,
                **{"nodes": 9, "load": 1.4, **changes},
            )
        )
        self.load = LabLoad(self.site, self.site.rng)
        self.closed: set[int] = set()
        """Directories of nodes that send nothing to the zone."""

    @property
    def cold(self):
        return self.site.backends.cold

    def engines(self, zone: str):
        engines = self.site.backends.fleet.engines.values()
        return [e for e in engines if e.zone == zone and not e.is_dead]

    def close_zone(self, monkeypatch, zone: str) -> None:
        """Exclude a zone from the choice, as an evacuation does."""
        whole = BackendDirectory.open_heads

        def open_heads(directory, service, model):
            found = whole(directory, service, model)
            if id(directory) not in self.closed:
                return found
            return [head for head in found if head.zone != zone]

        monkeypatch.setattr(BackendDirectory, "open_heads", open_heads)
        self.closed = {id(one.node.view.directory) for one in self.site.nodes}

    async def reopen_zone(self, zone: str, *, tells: bool) -> None:
        """Return a zone with cold engines; the nodes notice at different moments."""
        fleet = self.site.backends.fleet
        for engine in self.engines(zone):
            fleet.make_cold(engine, COLD_S + 0.4, tells=tells)
        for one in self.site.nodes:
            await asyncio.sleep(0.4 / len(self.site.nodes))
            one.node.path.permits.pressure.cold.presume_zone_cold(zone)
            self.closed.discard(id(one.node.view.directory))

    async def run(self, event) -> None:
        await self.site.start()
        await asyncio.sleep(WARM_UP_S)
        work = asyncio.ensure_future(self.load.run(LOAD_S))
        await asyncio.sleep(1.5)
        await event()
        await work
        await self.site.close()

    def served(self) -> float:
        outcomes = self.load.outcomes
        return sum(o.is_whole for o in outcomes) / len(outcomes)


def return_zone(site: ColdSite, monkeypatch, *, tells: bool) -> None:
    async def event() -> None:
        site.close_zone(monkeypatch, "z1")
        await asyncio.sleep(2.0)
        await site.reopen_zone("z1", tells=tells)

    run_in_virtual_time(site.run(event))


@pytest.mark.parametrize(("nodes", "tells"), [(8, True), (24, False)])
def test_a_zone_returns_cold_under_load(monkeypatch, nodes, tells) -> None:
    site = ColdSite(31, nodes=nodes)
    site.cold.tells_in_answers = tells
    return_zone(site, monkeypatch, tells=tells)
    assert site.cold.breaches == []
    assert site.cold.requests > 0
    assert site.served() >= 0.99


def test_a_zone_that_returns_crashes_if_its_limit_is_not_configured(
    monkeypatch,
) -> None:
    """Shows that the load and the stand-ins bring about the failure."""
    site = ColdSite(31, is_configured=False)
    return_zone(site, monkeypatch, tells=True)
    assert site.cold.crashes > 0


@pytest.mark.parametrize("tells_entries", [True, False])
def test_engines_become_cold_at_any_moment_without_a_start(tells_entries) -> None:
    site = ColdSite(32)

    async def event() -> None:
        for engine in site.engines("z0"):
            site.site.backends.fleet.make_cold(engine, COLD_S, tells=tells_entries)

    run_in_virtual_time(site.run(event))
    assert site.cold.breaches == []
    assert site.served() >= 0.99


def test_an_engine_is_cold_after_a_start_during_traffic() -> None:
    site = ColdSite(33)

    async def event() -> None:
        for engine in site.engines("z2"):
            site.site.backends.restart_engine(engine)

    run_in_virtual_time(site.run(event))
    assert site.cold.breaches == []


def test_a_node_that_starts_takes_warm_engines_for_warm() -> None:
    site = ColdSite(34)

    async def event() -> None:
        await site.site.restart(0)
        await asyncio.sleep(2.0)
        path = site.site.nodes[-1].node.path
        assert path.permits.pressure.cold.is_active
        assert path.permits.pressure.cold.states() == []

    run_in_virtual_time(site.run(event))
    assert site.cold.breaches == []


def test_all_heads_cold_refuse_truthfully_and_serve_what_they_tolerate(
    monkeypatch,
) -> None:
    site, refused = ColdSite(35), []

    async def refuse(reply, failure) -> None:
        refused.append(failure)
        reply.outcome, reply.observed.refusal = "refused", failure

    monkeypatch.setattr(LabReply, "refuse", refuse)

    async def event() -> None:
        for zone in ("z0", "z1", "z2"):
            for engine in site.engines(zone):
                site.site.backends.fleet.make_cold(engine, COLD_S)

    run_in_virtual_time(site.run(event))
    assert site.cold.breaches == []
    assert refused
    assert all(f.ran == "no" and 0.0 < f.retry_after_s <= COLD_S for f in refused)
    assert site.served() >= 0.95
