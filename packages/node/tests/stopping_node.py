"""A node's process that is stopped, and runs for a share of its time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import aiohttp
import attrs
import cut_links
from planning_site import BOUNDS
from raw_caller import WAIT_LIMIT_S, until
from serving_site import configuration
from test_node_process import (
    OWN_IP,
    free_ports,
    start_node,
    start_store,
    wait_until_ready,
)

from fordhatch.adapter import (
    BACKENDS_TABLE,
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    SETTINGS_VARIABLE,
)
from fordhatch.placement._planner_lease import LEASE_TABLE
from fordhatch_standins import ScriptedBackend, StoreModel, entry_fields

GRACE_S = 4
"""Grace period of the nodes, in seconds."""

LEASE_INTERVAL_S = 0.3
"""Time between writes that keep the planner's lease from the nodes, whose planner would
dissolve groups of scripted backend servers."""

ROUTE_TIMEOUT_MS = 120_000
"""Longer than any answer of these tests takes."""

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STOP = re.compile("stop|shutting_down|leaving|node_left", re.IGNORECASE)

LogLine = dict[str, str]


def long_configuration(version: int = 1, **changes: object) -> bytes:
    """Return a configuration whose routes leave more time than the grace period."""
    data = json.loads(configuration(version, **changes))
    for found in data["routes"]:
        found["timeout-ms"] = ROUTE_TIMEOUT_MS
    return json.dumps(data).encode()


def parse_line(line: str) -> LogLine:
    """Return the fields of a log line."""
    found = FIELD.findall(line)
    return {k: json.loads(v) if v.startswith('"') else v for k, v in found}


def says_stop(fields: LogLine) -> bool:
    """Return whether a log line names the stop of its node."""
    return any(STOP.search(value) for value in fields.values())


@attrs.define(eq=False, repr=False)
class StoppingNode:
    """A node's process with its log lines."""

    process: asyncio.subprocess.Process
    address: str
    ready_port: int
    lines: list[str] = attrs.field(factory=list)
    errors: list[str] = attrs.field(factory=list)
    stopped_s: float = 0.0
    """When SIGTERM was sent, in monotonic seconds."""
    ended_s: float = 0.0
    """When the process ended, in monotonic seconds."""
    _reading: list[asyncio.Task[None]] = attrs.field(factory=list)

    def read_output(self) -> None:
        """Collect what the process writes."""
        for source, lines in (
            (self.process.stdout, self.lines),
            (self.process.stderr, self.errors),
        ):
            self._reading.append(asyncio.create_task(_collect(source, lines)))

    def stop(self) -> None:
        """Send SIGTERM."""
        self.stopped_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    async def end(self) -> float:
        """Wait for the end; returns the time since SIGTERM was sent, in seconds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            await self.process.wait()
            self.ended_s = time.monotonic()
            await asyncio.gather(*self._reading)
        return self.ended_s - self.stopped_s

    async def end_within(self, duration_s: float) -> None:
        """Wait for the end, but not longer than this time after the signal."""
        left_s = self.stopped_s + duration_s - time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await self.process.wait()

    async def end_or_kill(self, grace_s: float) -> None:
        """Wait for the end, and kill the process as the platform does."""
        await self.end_within(grace_s)
        await self.kill()

    def about(self, request_id: str) -> list[LogLine]:
        """Return the log lines that name a request."""
        parsed = [parse_line(line) for line in self.lines]
        return [fields for fields in parsed if request_id in fields.values()]

    def stop_lines(self, request_id: str) -> list[LogLine]:
        """Return the log lines that say that the stop ended a request."""
        return [f for f in self.about(request_id) if says_stop(f)]

    def end_lines(self, request_id: str) -> list[LogLine]:
        """Return the log lines that say how a request of this node ended."""
        found = self.about(request_id)
        return [f for f in found if f["event"] in ("request_done", "request_refused")]

    async def until_logged(self, event: str) -> None:
        """Wait for a line of the log."""
        await until(lambda: any(f"event={event} " in f"{x} " for x in self.lines))

    @contextlib.asynccontextmanager
    async def slowed(self, share: float, slice_s: float) -> AsyncIterator[None]:
        """Let the process run for a share of each slice only."""
        task = asyncio.create_task(self._run_in_slices(share, slice_s))
        try:
            yield
        finally:
            task.cancel()
            self._signal(signal.SIGCONT)

    async def _run_in_slices(self, share: float, slice_s: float) -> None:
        while True:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep((1.0 - share) * slice_s)
            self._signal(signal.SIGCONT)
            await asyncio.sleep(share * slice_s)

    def _signal(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process.returncode is None:
            self._signal(signal.SIGKILL)
        await self.end()


async def _collect(source: asyncio.StreamReader, lines: list[str]) -> None:
    while line := await source.readline():
        lines.append(line.decode().rstrip())


@attrs.define(eq=False, repr=False)
class StoppingSite:
    """Nodes' processes with a store and scripted backend servers in the test."""

    folder: Path
    model: StoreModel
    store_port: int
    scripted: list[ScriptedBackend] = attrs.field(factory=list)
    nodes: list[StoppingNode] = attrs.field(factory=list)
    ports: dict[str, str] = attrs.field(factory=dict)
    """Ports of the backend servers by their id."""

    @classmethod
    @contextlib.asynccontextmanager
    async def start(
        cls, folder: Path, *, may_plan: bool = False
    ) -> AsyncIterator[StoppingSite]:
        """Start a store; nodes and backend servers are added.

        Args:
            folder: Where the nodes' settings are written.
            may_plan: Whether the nodes may get the planner's lease.
        """
        model = StoreModel()
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, long_configuration())
        listener, store_port = await start_store(model)
        held = asyncio.Event().wait() if may_plan else _hold_lease(model)
        lease = asyncio.create_task(held)
        site = cls(folder, model, store_port)
        try:
            yield site
        finally:
            lease.cancel()
            for node in site.nodes:
                await node.kill()
            for backend in site.scripted:
                await backend.close()
            listener.close()

    async def add_backend(
        self, script: Callable, group: str = "", state: str = "open"
    ) -> ScriptedBackend:
        """Register a plain backend server, or the head of a group."""
        backend = ScriptedBackend(script)
        self.scripted.append(backend)
        name = backend.runner_id = f"i-{len(self.scripted)}"
        address = await backend.start()
        self.ports[name] = address.rpartition(":")[2]
        entry = entry_fields("llm" if group else "app", address)
        if group:
            place = {"name": group, "epoch": 1, "rank": 0, "state": state}
            entry["group"] = place
        self.model.put(BACKENDS_TABLE, name, json.dumps(entry).encode())
        return backend

    async def add_node(
        self,
        grace_s: float = GRACE_S,
        cut_from: ScriptedBackend | tuple[ScriptedBackend, ...] = (),
        *,
        has_retry_slack: bool = True,
    ) -> StoppingNode:
        """Start a node and wait until it is ready.

        Args:
            grace_s: Its grace period, in seconds.
            cut_from: Backend servers to which its links are cut, as are those to the
                ports in between.
            has_retry_slack: Whether it may send retries that no request has earned.
        """
        number = len(self.nodes) + 1
        own_ip = OWN_IP.rpartition(".")[0] + f".{number}"
        front, ready, inner = free_ports(3)
        path = self.folder / f"node-{number}.toml"
        slack = "retry-slack = 136"
        bounds = BOUNDS if has_retry_slack else BOUNDS.replace(slack, "retry-slack = 0")
        path.write_text(
            bounds.replace('ip = "10.0.0.1"', f'ip = "{own_ip}"')
            .replace('node-name = "n"', f'node-name = "n{number}"')
            .replace("10.0.0.1:1", f"{own_ip}:{front}")
            .replace("10.0.0.1:2", f"{OWN_IP}:{ready}")
            .replace("[1,2]", f"[{inner},{inner}]")
            .replace("10.0.0.9:1", f"127.0.0.1:{self.store_port}")
            .replace("grace-s = 8", f"grace-s = {grace_s}")
        )
        cut = cut_from if isinstance(cut_from, tuple) else (cut_from,)
        ports = sorted((self.ports[b.runner_id] for b in cut), key=int)
        starting = _start_cut(path, ports[0], ports[-1]) if cut else start_node(path)
        node = StoppingNode(await starting, f"{own_ip}:{front}", ready)
        self.nodes.append(node)
        node.read_output()
        async with aiohttp.ClientSession() as session:
            await wait_until_ready(session, ready)
        return node


async def _start_cut(
    path: Path, first_port: str, last_port: str
) -> asyncio.subprocess.Process:
    """Start a node whose links to a range of ports are refused."""
    control = path.with_suffix(".cut")
    control.write_text(cut_links.LinkCut.REFUSE)
    return await asyncio.create_subprocess_exec(
        sys.executable,
        cut_links.__file__,
        str(control),
        first_port,
        last_port,
        "on-platform",
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def _hold_lease(model: StoreModel) -> None:
    while True:
        row = json.dumps({"holder": "another"}).encode()
        model.put(LEASE_TABLE, "planner", row)
        await asyncio.sleep(LEASE_INTERVAL_S)
