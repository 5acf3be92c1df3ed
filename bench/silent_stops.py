"""Nodes that stop in series while heads of groups stand still for about a second.

Eight nodes' processes get half of a core each, callers use a connection until it ends,
and configurations change. Prints how streams ended that are not whole, and how long
each process took to end after SIGTERM.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import Annotated, ClassVar

import aiohttp
import attrs
import uvloop
from aiohttp import web
from cyclopts import App, Parameter

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "review" / "standins"))

from deployment import (  # noqa: E402
    API_KEY,
    FRONT_PORT,
    HOST_NAME,
    MODEL,
    STORE_PORT,
    ZONES,
    Deployment,
    Node,
)
from runners import Engine  # noqa: E402
from silent_stops_report import (  # noqa: E402
    DEADLINE_S,
    GRACE_S,
    Run,
    Stop,
    StopReport,
    TimedExchange,
    read_lines,
)
from soak_http import Connection, Habits  # noqa: E402
from soak_timeline import ProcessLife  # noqa: E402

STILL_RANGE_S = (0.4, 1.2)
STILL_INTERVAL_S = 0.25
STOP_INTERVAL_S = 3.5
CONFIGURATION_RANGE_S = (1.0, 4.0)
EVENTS_RANGE = (5, 150)
SLICE_RANGE_S = (0.02, 0.1)
"""Range of the time in which a process runs once and is stopped once."""

REQUESTS_RANGE = (1, 40)
"""Range of the requests on one connection."""

MAX_HISTORY = 2000
"""Changes that the store keeps, more than those of twenty seconds."""

app = App(name="silent-stops", help=__doc__)


class WatchedEngine(Engine):
    """A model runner that records its attempts and can stand still."""

    runs_by_attempt: ClassVar[dict[str, list[Run]]] = {}

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request and record how it ends."""
        run = Run(self.runner_id, time.monotonic())
        attempt = request.headers.get("X-Attempt-Id", "")
        self.runs_by_attempt.setdefault(attempt, []).append(run)
        try:
            response = await super().serve(request)
        except (asyncio.CancelledError, OSError):
            run.end = "left"
            raise
        finally:
            run.ended_s = time.monotonic()
        if response.status != web.HTTPOk.status_code:
            run.end = "refused"
        else:
            is_closed = request.transport is None or request.transport.is_closing()
            run.end = "broken" if is_closed else "whole"
        return response

    async def stand_still(self, duration_s: float) -> None:
        """Send no event for a time, and go on."""
        if self.incomplete_since is not None:
            return
        since_s = self.incomplete_since = time.monotonic()
        await asyncio.sleep(duration_s)
        if self.incomplete_since == since_s:
            self.incomplete_since = None


@attrs.define(eq=False, repr=False)
class Scale:
    """A deployment under callers and faults."""

    site: Deployment
    rng: random.Random
    share: float
    is_stopping: bool = False
    exchanges: list[TimedExchange] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    lives: dict[str, ProcessLife] = attrs.field(factory=dict)
    late_s: list[float] = attrs.field(factory=list)
    """How late this process's own event loop was, in seconds."""
    wrong: list[str] = attrs.field(factory=list)
    stills: int = 0

    async def start(self, nodes: int, engines: int) -> None:
        """Start nodes and engines, and wait until all groups are open."""
        site = self.site
        site.session = aiohttp.ClientSession()
        store = site.address(1)
        await site.listen(store, STORE_PORT, site.store.handle)
        site.store.put("op", "config", json.dumps(site.configuration).encode())
        for index in range(nodes):
            name, host = f"front-{index}", site.address(10 + index)
            node = Node(name, host, ZONES[index % 3], site.folder)
            node.write_settings(f"{store}:{STORE_PORT}", is_first=True)
            site.nodes.append(node)
            await self._launch(node)
        for index in range(engines):
            await site.add_runner(WatchedEngine, 100 + index, ZONES[0])
        await site.until_serving(groups=engines // 2)

    async def _launch(self, node: Node) -> None:
        await node.start()
        self.lives[node.name] = ProcessLife(node.name, node.process)

    # Faults.

    async def hold_share(self, node: Node) -> None:
        """Let a node's process run for a part of each slice."""
        while True:
            slice_s = self.rng.uniform(*SLICE_RANGE_S)
            node.send(signal.SIGSTOP)
            await asyncio.sleep((1.0 - self.share) * slice_s)
            node.send(signal.SIGCONT)
            await asyncio.sleep(self.share * slice_s)

    async def still_heads(self) -> None:
        """Let one head after another send nothing for a while."""
        while True:
            await asyncio.sleep(STILL_INTERVAL_S)
            heads = [h for h in self.site.open_heads() if h.incomplete_since is None]
            if heads:
                self.stills += 1
                head = self.rng.choice(heads)
                self.site.spawn(head.stand_still(self.rng.uniform(*STILL_RANGE_S)))

    async def change_configurations(self) -> None:
        """Write changed configurations."""
        while True:
            await asyncio.sleep(self.rng.uniform(*CONFIGURATION_RANGE_S))
            self.site.configuration["version"] += 1
            data = json.dumps(self.site.configuration).encode()
            self.site.store.put("op", "config", data)

    async def stop_in_series(self) -> None:
        """Stop one node after another, before the last one is back."""
        number = 0
        while not self.is_stopping:
            node = self.site.nodes[number % len(self.site.nodes)]
            number += 1
            if await self.site.is_ready(node):
                self.site.spawn(self._stop_and_start(node))
            await asyncio.sleep(STOP_INTERVAL_S)

    async def _stop_and_start(self, node: Node) -> None:
        await self.stop(node)
        await self._launch(node)

    async def stop(self, node: Node) -> None:
        """Stop a node as the platform does."""
        life, process = self.lives[node.name], node.process
        life.send(signal.SIGTERM)
        signal_s = time.monotonic()
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            life.send(signal.SIGKILL)
            await process.wait()
        took_s = time.monotonic() - signal_s
        self.stops.append(Stop(node.name, took_s, process.returncode))

    async def watch_self(self) -> None:
        """Record how late this event loop is."""
        while True:
            due_s = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self.late_s.append(time.monotonic() - due_s)

    async def trim_store(self) -> None:
        """Drop old changes of the store."""
        while True:
            await asyncio.sleep(1.0)
            del self.site.store.history[:-MAX_HISTORY]

    # Callers.

    async def call(self) -> None:
        """Use one connection after another until the run stops."""
        while not self.is_stopping:
            node = self.rng.choice(self.site.nodes)
            url = f"http://{node.address}:{FRONT_PORT}"
            try:
                opened = await Connection.open(url, self.lives[node.name], Habits())
            except OSError:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(OSError):
                for _ in range(self.rng.randint(*REQUESTS_RANGE)):
                    if self.is_stopping or not opened.is_open:
                        break
                    await self._ask(opened)
                    await asyncio.sleep(self.rng.random() * 0.1)
            opened.close()

    async def _ask(self, opened: Connection) -> None:
        attempt, events = secrets.token_hex(8), self.rng.randint(*EVENTS_RANGE)
        exchange = TimedExchange(
            attempt, "stream", opened.life, DEADLINE_S, is_stream=True, known_id=attempt
        )
        exchange.has_last_line = False
        self.exchanges.append(exchange)
        opened.send(_request(attempt, events))
        try:
            async with asyncio.timeout(DEADLINE_S + 8.0):
                await opened.receive(exchange)
        finally:
            exchange.end()
        if exchange.status == web.HTTPOk.status_code:
            wanted = b"".join(
                b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, events + 1)
            )
            if exchange.body != wanted:
                self.wrong.append(attempt)

    def report(self) -> None:
        """Print the figures."""
        late = sorted(self.late_s)
        p99_s = late[int(0.99 * len(late))]
        print(f"own loop late: p99 {p99_s:.3f} s, longest {late[-1]:.3f} s")
        print(f"heads that stood still {self.stills}")
        print(f"wrong contents {len(self.wrong)} {self.wrong[:5]}")
        paths = [self.site.folder / f"{node.name}.log" for node in self.site.nodes]
        runs = WatchedEngine.runs_by_attempt
        StopReport(self.exchanges, runs, self.stops, read_lines(paths)).show()


def _request(attempt: str, events: int) -> bytes:
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        "Api-Key": API_KEY,
        "X-Model": MODEL,
        "X-Token-Count": f"40,{events}",
        "X-Prompt-Prefix": f"{attempt[:8]}:40",
        "Content-Length": "6",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /stream/1 HTTP/1.1\r\n{lines}\r\nprompt".encode()


@app.default
async def main(
    *,
    seed: Annotated[int, Parameter(help="Seed of the faults and requests.")] = 1,
    duration_s: Annotated[float, Parameter(help="Seconds under faults.")] = 60.0,
    nodes: int = 8,
    engines: int = 48,
    callers: int = 48,
    share: Annotated[float, Parameter(help="Part of the time a node runs.")] = 0.5,
    has_stops: bool = True,
) -> None:
    """Run the nodes under faults and print the figures."""
    site = Deployment(ROOT)
    run = Scale(site, random.Random(seed), share)
    try:
        await run.start(nodes, engines)
        for work in (run.watch_self(), run.trim_store()):
            site.spawn(work)
        if share < 1.0:
            for node in site.nodes:
                site.spawn(run.hold_share(node))
        asking = [asyncio.create_task(run.call()) for _ in range(callers)]
        await asyncio.sleep(3.0)
        site.spawn(run.still_heads())
        site.spawn(run.change_configurations())
        if has_stops:
            site.spawn(run.stop_in_series())
        await asyncio.sleep(duration_s)
        run.is_stopping = True
        await asyncio.gather(*asking)
        # Stops in progress end, so that all logs are whole.
        await asyncio.sleep(GRACE_S)
        run.report()
    finally:
        await _close(site)


async def _close(site: Deployment) -> None:
    for task in site._tasks:
        task.cancel()
    for node in site.nodes:
        node.send(signal.SIGCONT)
        node.send(signal.SIGKILL)
        if node.process is not None:
            await node.process.wait()
    await site.session.close()
    shutil.rmtree(site.folder)


if __name__ == "__main__":
    uvloop.run(app.run_async())
