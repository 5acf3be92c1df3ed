"""A node's process before backend servers whose answers never end."""

from __future__ import annotations

import asyncio
import json
import re
import sys
from collections import Counter
from pathlib import Path

import aiohttp
import endless_server
from planning_site import BOUNDS
from serving_site import STREAM_HEADERS, configuration, route
from test_node_process import (
    OWN_IP,
    free_ports,
    start_node,
    start_store,
    wait_until_ready,
)

from fordhatch.adapter import BACKENDS_TABLE, CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch_standins import StoreModel, entry_fields

REFUSED = 503
MAX_NODE_BYTES = 300e6
"""Memory of a node on the users' machines."""
BYTES_PER_S = 100e6
DEADLINE_MS = 3000
CALLS_PER_KIND = 2
SOUND_CALLERS = 4
STREAMS = {"failure", "failure-chunks", "event", "small-pieces", "old-events"}
STREAMS |= {"slow-events", "sound-events"}
KINDS = [*endless_server.KINDS, "sound", "sound-events"]


def site_configuration() -> bytes:
    """Return a configuration with a service and a route for each kind."""
    data = json.loads(configuration())
    engine = next(s["engine"] for s in data["services"] if "engine" in s)
    data["services"] = [
        {"name": kind, "max-conns": 100} | ({"engine": engine} if k in STREAMS else {})
        for k in KINDS
        for kind in [k]
    ]
    data["routes"] = [
        route(f"/{k}/", "streaming" if k in STREAMS else "non_idempotent", k)
        | {"attempts": 1, "timeout-ms": DEADLINE_MS}
        for k in KINDS
    ]
    return json.dumps(data).encode()


def entry(kind: str, address: str) -> bytes:
    """Return the entry of the one backend server of a kind."""
    fields = entry_fields(kind, address)
    if kind in STREAMS:
        fields["group"] = {"name": f"small.{KINDS.index(kind)}", "epoch": 1}
        fields["group"] |= {"rank": 0, "state": "open"}
    return json.dumps(fields).encode()


def peak_bytes(process: asyncio.subprocess.Process) -> int:
    """Return the most memory that a process has had."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return 1024 * int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1))


async def start_server(places: list[str]) -> asyncio.subprocess.Process:
    """Start a process that serves some kinds, and wait until it listens."""
    server = await asyncio.create_subprocess_exec(
        sys.executable,
        endless_server.__file__,
        str(BYTES_PER_S),
        *places,
        stdout=asyncio.subprocess.PIPE,
    )
    await server.stdout.readline()
    return server


class Callers:
    """Send requests to a node and count what they get."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        """Create them."""
        self.url, self.session = url, session
        self.got: Counter[tuple[str, object]] = Counter()
        self.number = 0

    async def ask(self, kind: str) -> object:
        """Send a request; returns the status, or whether it was cut or not run."""
        self.number += 1
        headers = {**STREAM_HEADERS, "X-Attempt-Id": f"r{self.number}"}
        headers["X-Deadline-Ms"] = str(DEADLINE_MS)
        url = f"{self.url}/{kind}/1"
        got: object = "cut"
        try:
            async with self.session.post(url, headers=headers) as answer:
                body = b""
                async for piece in answer.content.iter_any():
                    body = piece[:1000]
                got = answer.status
                if got == REFUSED and b'"ran": "no"' in body:
                    got = "not run"
        except aiohttp.ClientError:
            pass
        self.got[kind, got] += 1
        return got

    async def ask_until_run(self, kind: str) -> None:
        """Send a request again until a backend server may have run it."""
        while await self.ask(kind) == "not run":
            await asyncio.sleep(0.1)

    async def go_on(self, kind: str, until: asyncio.Event) -> None:
        """Send one request after another."""
        while not until.is_set():
            await self.ask(kind)

    async def until_served(self, kinds: list[str]) -> None:
        """Wait until the node knows the backend servers."""
        async with asyncio.timeout(20):
            for kind in kinds:
                while await self.ask(kind) != 200:
                    await asyncio.sleep(0.05)
        self.got.clear()


# Guards against a node that holds what never ends, and loses its other callers with
# its memory, or blocks its event loop for it.
async def test_endless_answers_leave_memory_and_sound_callers_alone(
    tmp_path: Path,
) -> None:
    model = StoreModel()
    model.put(OPERATOR_TABLE, CONFIGURATION_KEY, site_configuration())
    front, ready, inner, *ports = free_ports(3 + len(KINDS))
    places = [
        f"127.0.0.1:{port}={kind}" for port, kind in zip(ports, KINDS, strict=True)
    ]
    listener, store_port = await start_store(model)
    path = tmp_path / "node.toml"
    path.write_text(
        BOUNDS.replace('ip = "10.0.0.1"', f'ip = "{OWN_IP}"')
        .replace("10.0.0.1:1", f"{OWN_IP}:{front}")
        .replace("10.0.0.1:2", f"{OWN_IP}:{ready}")
        .replace("[1,2]", f"[{inner},{inner}]")
        .replace("10.0.0.9:1", f"127.0.0.1:{store_port}")
    )
    # Two processes: the sound servers answer at their usual pace.
    servers = [await start_server(part) for part in (places[:-2], places[-2:])]
    node = await start_node(path)
    try:
        async with aiohttp.ClientSession(read_bufsize=2**20) as session:
            await wait_until_ready(session, ready)
            for kind, place in zip(KINDS, places, strict=True):
                model.put(BACKENDS_TABLE, f"i-{kind}", entry(kind, place.split("=")[0]))
            callers = Callers(f"http://{OWN_IP}:{front}", session)
            await callers.until_served(["sound", "sound-events"])
            before = peak_bytes(node)
            is_over = asyncio.Event()
            sound = [
                asyncio.create_task(callers.go_on(kind, is_over))
                for kind in ("sound", "sound-events")
                for _ in range(SOUND_CALLERS)
            ]
            endless = [
                callers.ask_until_run(kind)
                for kind in endless_server.KINDS
                for _ in range(CALLS_PER_KIND)
            ]
            async with asyncio.timeout(20):
                await asyncio.gather(*endless)
            is_over.set()
            await asyncio.gather(*sound)
            peak = peak_bytes(node)
    finally:
        for process in (node, *servers):
            process.kill()
            await process.communicate()
        listener.close()
    print(f"peak {before / 1e6:.0f} -> {peak / 1e6:.0f} MB, {dict(callers.got)}")
    assert peak < MAX_NODE_BYTES
    # On a busy machine a connection may take longer than its 0.25 s.
    got = {outcome for outcome in callers.got if outcome[1] != "not run"}
    sound = {outcome for outcome in got if outcome[0].startswith("sound")}
    assert sound == {("sound", 200), ("sound-events", 200)}
    whole = {kind for kind, outcome in got - sound if outcome == 200}
    assert whole <= {"surplus", "answers"}
