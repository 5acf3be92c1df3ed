"""Backend servers that stand still: their work and their probes, until they go on."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time

import aiohttp
import pytest
from fleet import find_free_ports

from fordhatch_standins import (
    Backends,
    EngineFleet,
    EngineModel,
    EnginePace,
    ModelTimes,
    StoreModel,
    event_bytes,
)
from fordhatch_standins._backend_http import BackendListeners
from fordhatch_standins._engine_model import Place

PAUSE_S = 0.5
EVENTS = 40
BODY = json.dumps({"text": "t"}).encode()
CALL = {"X-Attempt-Id": "r", "X-Model": "m", "X-Token-Count": f"20,{5 * EVENTS}"}


class Site:
    """One engine, the head of a group of one, and one plain server over HTTP."""

    def __init__(self) -> None:
        store, rng = StoreModel(), random.Random(1)
        fleet = EngineFleet(store, {"m": ModelTimes(1, 0.0, 0.0)}, rng)
        self.backends = Backends(store, fleet, EnginePace(step_s=0.001), rng)
        self.backends.pressure.identifies_nodes = False
        self.listeners = BackendListeners(self.backends, "127.0.0.1")

    async def start(self, first_port: int) -> EngineModel:
        address = await self.listeners.listen(first_port)
        engine = self.backends.add_engine("d", "z1", address)
        name = engine.backend_id
        engine.place = Place("g", 1, 0, "m", (name,), "open")
        engine.ready_as.add(("g", 1, (name,)))
        plain = await self.listeners.listen(first_port + 1)
        self.backends.add_plain("p", "z1", plain)
        return engine


@pytest.fixture
async def site():
    site = Site()
    engine = await site.start(find_free_ports(2))
    async with aiohttp.ClientSession() as session:
        yield site, engine, session
    for server in site.listeners._servers.values():
        await server.shutdown()


async def took_s(session, method: str, address: str, path: str, **options) -> float:
    began_s = time.monotonic()
    async with session.request(method, f"http://{address}{path}", **options) as reply:
        assert reply.status == 200
        await reply.read()
    return time.monotonic() - began_s


@pytest.mark.parametrize("path", ["/v1/report", "/health"])
@pytest.mark.parametrize("mutes", [False, True])
async def test_probes_are_answered_or_wait(site, path, mutes) -> None:
    _, engine, session = site
    engine.stand_still.begin(PAUSE_S, mutes_probes=mutes)
    waited_s = await took_s(session, "GET", engine.address, path)
    assert (waited_s > 0.8 * PAUSE_S) is mutes


async def test_a_stream_pauses_and_then_is_whole(site) -> None:
    site, engine, session = site
    arrivals_s, body = [], b""
    url = f"http://{engine.address}/stream"
    async with session.post(url, data=BODY, headers=CALL) as reply:
        async for piece in reply.content.iter_any():
            if not arrivals_s:
                engine.stand_still.begin(PAUSE_S, mutes_probes=False)
            arrivals_s.append(time.monotonic())
            body += piece
    pauses_s = [b - a for a, b in itertools.pairwise(arrivals_s)]
    assert max(pauses_s) > 0.8 * PAUSE_S
    assert body == b"".join(event_bytes(BODY, index) for index in range(EVENTS))
    attempt = site.backends.attempts.attempts[0]
    assert (attempt.end, attempt.lost_s) == ("whole", None)
    assert len(attempt.event_times_s) == EVENTS
    assert attempt.began_s < attempt.event_times_s[0] < attempt.ended_s


async def test_calls_to_plain_servers_wait_and_an_end_ends_it(site) -> None:
    site, engine, session = site
    address, plain = next(iter(site.backends.plain.items()))
    plain.stand_still.begin(PAUSE_S, mutes_probes=True)
    assert await took_s(session, "POST", address, "/p", data=BODY) > 0.8 * PAUSE_S
    plain.stand_still.begin(60.0, mutes_probes=True)
    site.backends.restart_plain(address)
    await asyncio.sleep(0.1)
    assert await took_s(session, "POST", address, "/p", data=BODY) < 0.8 * PAUSE_S
    engine.stand_still.begin(60.0, mutes_probes=True)
    call = took_s(session, "POST", engine.address, "/s", headers=CALL)
    waiting = asyncio.ensure_future(call)
    await asyncio.sleep(0.1)
    site.backends.fail(engine)
    with pytest.raises(aiohttp.ClientError):
        await asyncio.wait_for(waiting, 5.0)
    assert site.backends.attempts.attempts[-1].end == "broken"
