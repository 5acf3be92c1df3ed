"""No request runs at more backend servers than its route's attempts allow.

Backend servers leave without a report and work on for a while, turn slow, crash and
start again, and plain servers lose answers that they have run. One node reaches none of
them, so that others make its attempts. A run counts unless its process has ended.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter, defaultdict

import attrs
import pytest

from fordhatch.adapter import BACKENDS_TABLE, CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.core import metrics
from fordhatch_lab import Experiment, LabLoad, LabSite, run_in_virtual_time
from fordhatch_standins import EngineFleet, PlainService
from fordhatch_standins._backend_links import CutKind

ATTEMPTS = 2
WARM_UP_S = 25.0
"""Time until all groups are open: loads take up to 16 s."""
SERVES_ON_S = 2.5
"""How long a backend server works after its entry was removed."""
SLOW_FACTOR = 12.0
PLAIN_SERVERS = 6
PLAIN_PER_S = 25.0
LOST_SHARE = 0.14
"""Fraction of the plain runs whose connection breaks while the process goes on."""


class RunCounter(Counter):
    """The runs at one plain server, told to the search."""

    def __init__(self, search: Search, server: PlainService) -> None:
        self.search, self.server = search, server
        super().__init__()

    def __setitem__(self, request_id: str, runs: int) -> None:
        super().__setitem__(request_id, runs)
        self.search.began(self.server, request_id)


@attrs.define(eq=False, repr=False)
class Search:
    """A site under load, its changes, and who has run what."""

    site: LabSite
    rng: random.Random
    ran_at: dict[str, list] = attrs.field(factory=lambda: defaultdict(list))
    over: set[str] = attrs.field(factory=set)
    """Requests that ran at too many backend servers that have not ended."""

    def began(self, server: object, request_id: str) -> None:
        ran = self.ran_at[request_id]
        if all(server is not other for other in ran):
            ran.append(server)
        if sum(not s.is_dead for s in ran) > ATTEMPTS:
            self.over.add(request_id)

    def configure(self) -> None:
        """Add a plain service to the configuration."""
        document = json.loads(self.site.experiment.configuration())
        document["services"].append({"name": "app", "max-conns": 400})
        plain = {"name": "status", "prefix": "/status/", "kind": "idempotent"}
        plain |= {"service": "app", "timeout-ms": 3000, "goal-ms": 200}
        document["routes"].append({**document["routes"][0], **plain})
        data = json.dumps(document).encode()
        self.site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, data)

    def add_plain(self) -> None:
        zone = f"z{self.rng.randrange(3)}"
        server = self.site.backends.add_plain("app", zone, lost_share=LOST_SHARE)
        server.runs = RunCounter(self, server)

    async def change(self, for_s: float) -> None:
        """Change backend servers one after the other."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.uniform(0.2, 0.8))
            self.rng.choice([self.change_plain, self.change_head])()

    def change_plain(self) -> None:
        server = self.rng.choice([s for s in self.plain() if s.work_s < 0.1])
        server.work_s *= SLOW_FACTOR
        loop = asyncio.get_running_loop()
        how = self.rng.choice(["leaves", "slow", "reborn"])
        if how == "leaves":
            # It turns slow first, so that requests wait there when it leaves.
            loop.call_later(0.1, self.unlist, server)
            loop.call_later(0.1 + SERVES_ON_S, self.end, server)
            self.add_plain()
        elif how == "slow":
            loop.call_later(1.0, self.recover, server)
        else:
            loop.call_later(0.3, self.restart, server)

    def plain(self) -> list[PlainService]:
        return [s for s in self.site.backends.plain.values() if not s.is_dead]

    def unlist(self, server: object) -> None:
        self.site.store.remove(BACKENDS_TABLE, server.backend_id)

    def end(self, server: PlainService) -> None:
        server.is_dead = True

    def recover(self, server: PlainService) -> None:
        server.work_s /= SLOW_FACTOR

    def restart(self, server: PlainService) -> None:
        server.work_s /= SLOW_FACTOR
        self.site.backends.restart_plain(server.address)
        started = self.site.backends.plain[server.address]
        started.runs = RunCounter(self, started)

    def change_head(self) -> None:
        fleet = self.site.backends.fleet
        heads = [e for e in fleet.engines.values() if e.serves and e.is_listed]
        if len(heads) < 3:
            return
        head = self.rng.choice(heads)
        loop = asyncio.get_running_loop()
        how = self.rng.choice(["leaves", "slow", "reborn"])
        if how == "leaves":
            head.is_listed = False
            head.slow_factor = SLOW_FACTOR
            loop.call_later(0.1, self.unlist, head)
            loop.call_later(SERVES_ON_S, fleet.crash, head)
            self.site.add_engine(0)
        elif how == "slow":
            head.slow_factor = SLOW_FACTOR
            loop.call_later(1.5, setattr, head, "slow_factor", 1.0)
        else:
            self.site.backends.fail(head)

    async def ask_plain(self, load: LabLoad, for_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s, asked = loop.time() + for_s, []
        kind = self.site.experiment.classes[0]
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(PLAIN_PER_S))
            call = load.ask_once(kind, f"/status/{len(asked)}")
            asked.append(asyncio.ensure_future(call))
        await asyncio.gather(*asked)


def search(
    seed: int, for_s: float, relayed_share: float, monkeypatch: pytest.MonkeyPatch
) -> Search:
    """Play one seed and return what has run where.

    Args:
        seed: Seed of the load and of the changes.
        for_s: Length of the load in seconds.
        relayed_share: Fraction of the requests at the node that reaches no server.
        monkeypatch: Records the runs.
    """
    setting = Experiment(nodes=4, domains=3, seed=seed, loss_every_s=0, empty_every_s=0)
    site = LabSite.create(setting)
    found = Search(site, random.Random(seed))
    begin_run = EngineFleet.begin_run

    def recorded(fleet, engine, request_id: str) -> None:
        found.began(engine, request_id)
        begin_run(fleet, engine, request_id)

    monkeypatch.setattr(EngineFleet, "begin_run", recorded)

    async def simulate() -> None:
        found.configure()
        for _ in range(PLAIN_SERVERS):
            found.add_plain()
        await site.start()
        await asyncio.sleep(WARM_UP_S)
        site.nodes[0].links.cut(CutKind.HANG)
        load = LabLoad(site, site.rng)
        load.crowded, load.crowded_share = site.nodes[0], relayed_share
        await asyncio.gather(
            load.run(for_s), found.change(for_s), found.ask_plain(load, for_s)
        )
        await site.close()

    run_in_virtual_time(simulate())
    return found


@pytest.mark.parametrize("seed", [5, 6])
@pytest.mark.parametrize("relayed_share", [0.0, 1.0])
def test_requests_run_no_more_than_their_attempts(
    seed, relayed_share, monkeypatch
) -> None:
    relayed = metrics.RELAYED_REQUESTS.labels("sender", "sent")._value
    hedged = metrics.HEDGES.labels("begun")._value
    before, hedged_before = relayed.get(), hedged.get()
    found = search(seed, 8.0, relayed_share, monkeypatch)
    several = [r for r, ran in found.ran_at.items() if len(ran) >= ATTEMPTS]
    assert len(several) >= 10, "the search moves too few requests"
    assert relayed.get() - before > relayed_share * len(found.ran_at) / 2
    assert hedged.get() - hedged_before >= 10, "the search hedges too few requests"
    assert found.over == set()
