"""Processes for the demonstration, the soak and the benches."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from fordhatch.config import hash_key

BIN = Path(sys.executable).parent
SHARED_KEY = "a-shared-key-for-tests-only"
OPERATOR_TOKEN = "operator-token-for-tests-only"
READY_LIMIT_S = 20.0


FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Below the ports that the kernel gives to outgoing connections, one of which could
otherwise take a port between the look and the use."""

_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
_start = os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
next(itertools.islice(_ports, _start, _start), None)


def free_range(count: int) -> int:
    """Return the first of ``count`` ports in a row that are free now.

    No port is handed out twice by one process.
    """
    first, length = 0, 0
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        if not _is_free(port) or port == FIRST_PORT:
            length = 0
            continue
        first = first if length else port
        length += 1
        if length == count:
            return first
    raise RuntimeError("no free ports")


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    return [free_range(1) for _ in range(count)]


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as item:
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


@attrs.define(eq=False)
class Child:
    """One process that was started here."""

    name: str
    process: asyncio.subprocess.Process
    url: str
    frozen: bool = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal, by the process's own id."""
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.frozen = number == signal.SIGSTOP

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        await self.process.wait()


@attrs.define(eq=False)
class NodeChild(Child):
    """An entry node's process."""

    operators_url: str = ""
    peers: str = ""


@attrs.define(eq=False)
class Fleet:
    """A platform, nodes and backend servers as separate processes."""

    directory: Path
    children: dict[str, Child] = attrs.field(factory=dict)
    arguments: dict[str, list[str]] = attrs.field(factory=dict)
    session: aiohttp.ClientSession | None = None
    spawned: list[asyncio.subprocess.Process] = attrs.field(factory=list)
    """Every process ever started, replaced ones included."""
    closed: bool = False

    @classmethod
    def from_directory(cls, directory: Path | None = None) -> Fleet:
        """Return an empty fleet whose logs go to a directory."""
        return cls(directory or Path(tempfile.mkdtemp(prefix="fordhatch-")))

    async def __aenter__(self) -> Fleet:
        timeout = aiohttp.ClientTimeout(total=60.0)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.closed = True
        for process in self.spawned:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.session.close()

    async def _spawn(self, name: str, command: list[str]) -> asyncio.subprocess.Process:
        if self.closed:
            raise RuntimeError("the fleet has ended")
        self.arguments[name] = command
        with (self.directory / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )
        self.spawned.append(process)
        return process

    async def start_platform(self, **options: object) -> Child:
        """Start the stand-in for the platform."""
        port = free_ports(1)[0]
        command = [str(BIN / "fordhatch-standin"), "platform", f"--port={port}"]
        command += _flags(options)
        child = Child(
            "platform",
            await self._spawn("platform", command),
            f"http://127.0.0.1:{port}",
        )
        self.children["platform"] = child
        await self.wait_http(f"{child.url}/counts")
        return child

    async def start_backend(self, kind: str, name: str, **options: object) -> Child:
        """Start a model engine or a plain service."""
        count = int(str(options.get("count", 1)))
        port = free_ports(1)[0] if count == 1 else free_range(count)
        command = [str(BIN / "fordhatch-standin"), kind, f"--port={port}"]
        command += [f"--instance-id={name}", f"--platform-url={self.platform.url}"]
        command += _flags(options)
        child = Child(
            name, await self._spawn(name, command), f"http://127.0.0.1:{port}"
        )
        self.children[name] = child
        return child

    async def start_nodes(
        self,
        count: int,
        region: str,
        zones: list[str],
        timing: dict[str, float] | None = None,
    ) -> list[NodeChild]:
        """Start entry nodes that know each other as seeds."""
        ports = free_ports(3 * count)
        peers = [f"127.0.0.1:{port}" for port in ports[2::3]]
        nodes = []
        for index in range(count):
            callers, operators, own = ports[3 * index : 3 * index + 3]
            settings = {
                "node_id": f"node-{index + 1}",
                "region": region,
                "zone": zones[index % len(zones)],
                "callers": {"host": "127.0.0.1", "port": callers},
                "operators": {"host": "127.0.0.1", "port": operators},
                "peers": {"host": "127.0.0.1", "port": own},
                "shared_key": SHARED_KEY,
                "operator_tokens": {"ops": hash_key(OPERATOR_TOKEN)},
                "platform_url": self.platform.url,
                "seeds": peers[:3],
                "timing": timing or {},
            }
            nodes.append(await self.start_node(settings))
        return nodes

    async def start_node(self, settings: dict[str, Any]) -> NodeChild:
        """Start one entry node from its settings."""
        name = settings["node_id"]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = await self._spawn(name, [str(BIN / "fordhatchd"), str(path)])
        child = NodeChild(
            name,
            process,
            f"http://127.0.0.1:{settings['callers']['port']}",
            operators_url=f"http://127.0.0.1:{settings['operators']['port']}",
            peers=f"127.0.0.1:{settings['peers']['port']}",
        )
        self.children[name] = child
        return child

    def cpu_s(self, name: str) -> float:
        """Return the processor seconds that a process has used."""
        fields = self._proc(name, "stat").rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_bytes(self, name: str) -> int:
        """Return the resident memory of a process."""
        return int(self._proc(name, "statm").split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def _proc(self, name: str, item: str) -> str:
        pid = self.children[name].process.pid
        return Path(f"/proc/{pid}/{item}").read_text()

    async def restart(self, name: str) -> None:
        """Start a process that has ended again, with the same arguments."""
        child = self.children[name]
        child.process = await self._spawn(name, self.arguments[name])
        child.frozen = False

    @property
    def platform(self) -> Child:
        """The stand-in for the platform."""
        return self.children["platform"]

    async def wait_http(self, url: str, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until a URL answers with success."""
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while True:
            try:
                async with self.session.get(url) as reply:
                    if reply.ok:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            if asyncio.get_running_loop().time() > deadline_s:
                raise TimeoutError(f"{url} did not become ready")
            await asyncio.sleep(0.05)

    async def post(self, url: str, body: Any) -> Any:
        """Post JSON and return the JSON answer."""
        async with self.session.post(url, json=body) as reply:
            return await reply.json()

    async def get(self, url: str) -> Any:
        """Return a JSON answer."""
        async with self.session.get(url) as reply:
            return await reply.json()

    async def read(self, node: NodeChild, path: str) -> Any:
        """Read back from a node's operators' interface."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with self.session.get(
            node.operators_url + path, headers=headers
        ) as reply:
            return await reply.json()

    async def apply(
        self, node: NodeChild, declared: dict[str, Any], base: int, apply_id: str
    ) -> tuple[int, Any]:
        """Apply an operators' file through a node."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        query = {"base_revision": str(base), "apply_id": apply_id}
        url = f"{node.operators_url}/config"
        async with self.session.put(
            url, json=declared, params=query, headers=headers
        ) as reply:
            return reply.status, await reply.json()


def _flags(options: dict[str, object]) -> list[str]:
    flags = []
    for key, value in options.items():
        name = "--" + key.replace("_", "-")
        if value is True:
            flags.append(name)
        elif value is not False:
            flags.append(f"{name}={value}")
    return flags
