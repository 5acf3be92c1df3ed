"""Answers in time while one of a request's partners is silent, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence

import attrs
import pytest

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.serving import ServerLimit
from fordhatch_lab import (
    Experiment,
    LabLoad,
    LabSite,
    Outcome,
    RequestClass,
    run_in_virtual_time,
)
from fordhatch_lab._lab_load import LabReply, _Attempt
from fordhatch_standins import CutKind, PlainService

TIMEOUT_S = 1.0
"""Timeout of the routes."""

LATE_S = 0.05
"""How long after the deadline or the timeout an answer may come."""

REFUSED_WITHIN_S = 0.1
"""Bound on the 99th percentile of what can't be served."""

SETTLED_S = 0.5
"""Time after the stop of a node from which on that holds."""


def route(name: str, kind: str) -> dict[str, object]:
    return {
        "name": name,
        "host": "lab",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": "app",
        "attempts": 2,
        "timeout-ms": int(1000 * TIMEOUT_S),
        "goal-ms": 400,
    }


@attrs.define
class Site:
    """Nodes in front of a plain service; callers ask all but the last node."""

    lab: LabSite
    servers: list[PlainService]
    load: LabLoad
    asked: int = 0

    @classmethod
    async def start(cls, nodes: int) -> Site:
        experiment = Experiment(nodes=nodes, domains=0, seed=nodes)
        lab = LabSite.create(experiment)
        data = json.loads(experiment.configuration())
        data["routes"] += [route("get", "idempotent"), route("once", "non_idempotent")]
        data["services"].append({"name": "app", "max-conns": 100})
        lab.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, json.dumps(data).encode())
        servers = [lab.backends.add_plain("app", f"z{n}") for n in range(3)]
        await lab.start()
        await asyncio.sleep(5.0)
        return cls(lab, servers, LabLoad(lab, lab.rng))

    async def ask(self, target: str, deadline_s: float) -> tuple[str, float]:
        """Send a request; return its outcome and the time that it took."""
        self.asked += 1
        kind = RequestClass("app", "", 0.0, 1, 1, 1.0, 1.0, deadline_s, 1.0, 1.0)
        began_s = asyncio.get_running_loop().time()
        reply = LabReply(Outcome(kind, began_s))
        attempt = _Attempt(f"r{self.asked}", kind, reply, f"/{target}/1", ())
        node = self.lab.rng.choice(self.lab.nodes[:-1])
        await self.load._serve(node, attempt)
        return reply.outcome, asyncio.get_running_loop().time() - began_s

    async def ask_for(
        self, duration_s: float, per_s: float, target: str, deadline_s: float = 5.0
    ) -> list[tuple[str, float]]:
        """Send requests at a steady rate."""
        asks = []
        for _ in range(int(duration_s * per_s)):
            asks.append(asyncio.ensure_future(self.ask(target, deadline_s)))
            await asyncio.sleep(1.0 / per_s)
        return await asyncio.gather(*asks)

    def stop_service(self) -> None:
        """Let connections to all servers be refused."""
        for server in self.servers:
            server.is_dead = True
            self.lab.backends.fleet.refusing.add(server.address)

    def stop_nodes(self) -> None:
        """Stop every node that callers don't ask, and half of the others."""
        for one in self.lab.nodes[len(self.lab.nodes) // 2 :]:
            self.lab.pause(one)
        del self.lab.nodes[len(self.lab.nodes) // 2 : -1]


def percentile(took_s: Sequence[float], fraction: float) -> float:
    return sorted(took_s)[int(fraction * len(took_s))]


async def refusals(nodes: int) -> list[float]:
    """Return how long refusals take while a service is down and a node is stopped."""
    site = await Site.start(nodes)
    served = await site.ask_for(1.0, 50.0, "get")
    assert {outcome for outcome, _ in served} == {"status_200"}
    site.stop_service()
    await asyncio.sleep(0.9)
    site.lab.pause(site.lab.nodes[-1])
    early = asyncio.ensure_future(site.ask_for(SETTLED_S, 50.0, "get"))
    await asyncio.sleep(SETTLED_S)
    got = await site.ask_for(3.5 - SETTLED_S, 200.0, "get")
    got_early = await early
    assert all(outcome != "status_200" for outcome, _ in [*got_early, *got])
    assert max(took_s for _, took_s in got_early) <= TIMEOUT_S + LATE_S
    await site.lab.close()
    return [took_s for _, took_s in got]


# Guards against requests that hang because one other node is stopped, though nothing
# can serve them.
@pytest.mark.parametrize("nodes", [2, 8, 20, 58])
def test_what_cant_be_served_is_refused_at_once(nodes: int) -> None:
    took_s = run_in_virtual_time(refusals(nodes))
    assert percentile(took_s, 0.99) <= REFUSED_WITHIN_S, max(took_s)


def servers_refuse(site: Site) -> None:
    """No server runs, and no other node answers."""
    site.stop_service()


def servers_hang(site: Site) -> None:
    """Connections to the servers don't open."""
    for one in site.lab.nodes:
        one.links.cut(CutKind.HANG)


def servers_are_silent(site: Site) -> None:
    """Servers take requests and say nothing."""
    for server in site.servers:
        server.work_s = 3600.0


def issuers_are_silent(site: Site) -> None:
    """Servers have declared a limit; its permits come from nodes that don't answer."""
    for one in site.lab.nodes:
        for server in site.servers:
            limit = ServerLimit(server.backend_id, 1.0, one.node.timer.now_s())
            one.node.path.permits.pressure.apply_limit(limit)


def retries_are_asked_for(site: Site) -> None:
    """Answers are lost, and the store that counts the retries is silent."""
    site.lab.store.faults.is_silent = True
    for server in site.servers:
        server.lost_share = 1.0


PARTNERS = [
    servers_refuse,
    servers_hang,
    servers_are_silent,
    issuers_are_silent,
    retries_are_asked_for,
]


async def latest(silence: Callable[[Site], None], target: str, limit_s: float) -> float:
    """Return the longest time to an answer, with half of the nodes stopped as well."""
    site = await Site.start(8)
    await site.ask_for(0.5, 50.0, "get")
    silence(site)
    site.stop_nodes()
    got = await site.ask_for(2.0, 50.0, target, limit_s)
    await site.lab.close()
    assert all(outcome for outcome, _ in got)
    return max(took_s for _, took_s in got)


# Guards against waits on the path of a request that know nothing of its deadline.
@pytest.mark.parametrize("limit_s", [0.3, TIMEOUT_S])
@pytest.mark.parametrize("target", ["get", "once"])
@pytest.mark.parametrize("silence", PARTNERS, ids=lambda s: s.__name__)
def test_an_answer_comes_in_time_whichever_partner_is_silent(
    silence: Callable[[Site], None], target: str, limit_s: float
) -> None:
    longest_s = run_in_virtual_time(latest(silence, target, limit_s))
    assert longest_s <= limit_s + LATE_S


async def latest_stream(kind: CutKind, deadline_s: float) -> float:
    """Return the longest time of a stream without links and half of the nodes."""
    experiment = Experiment(nodes=6, domains=2, seed=3)
    lab = LabSite.create(experiment)
    await lab.start()
    await asyncio.sleep(30.0)
    load = LabLoad(lab, lab.rng)
    check = attrs.evolve(experiment.classes[1], deadline_s=deadline_s)
    loop = asyncio.get_running_loop()

    async def one(number: int) -> float:
        began_s = loop.time()
        await load.ask_once(check, f"/{check.name}/{number}")
        return loop.time() - began_s

    asks = [asyncio.ensure_future(one(n)) for n in range(20)]
    await asyncio.sleep(0.1)
    lab.store.faults.is_silent = True
    stopped, lab.nodes = lab.nodes[3:], lab.nodes[:3]
    for node in stopped:
        lab.pause(node)
    for node in lab.nodes:
        node.links.cut(kind)
    for number in range(20, 60):
        asks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(0.02)
    took_s = await asyncio.gather(*asks)
    lab.nodes += stopped
    await lab.close()
    return max(took_s)


@pytest.mark.parametrize("deadline_s", [0.4, 1.5])
@pytest.mark.parametrize("kind", [CutKind.HANG, CutKind.RESET])
def test_a_stream_ends_in_time_without_links_nodes_and_store(
    kind: CutKind, deadline_s: float
) -> None:
    longest_s = run_in_virtual_time(latest_stream(kind, deadline_s))
    assert longest_s <= deadline_s + LATE_S
