"""Separate processes for the demonstration, the soak and tests: stand-ins and nodes."""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets
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
OPERATOR_TOKEN = "operator-token-for-tests-only"
API_KEY = "savannah-depot-example-key"
ZONES = ("mobile-yard", "savannah-yard", "houston-yard")
READY_LIMIT_S = 30.0
EXAMPLE = Path(__file__).parent.parent / "examples" / "pruitt.json"

FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Below the ports that the kernel gives to outgoing connections, one of which could
otherwise take a port between the look and the use."""

_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
_start = secrets.randbelow(LAST_PORT - FIRST_PORT)
next(itertools.islice(_ports, _start, _start), None)


def free_range(count: int) -> int:
    """Return the first of ``count`` ports in a row that are free now."""
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


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as item:
        try:
            item.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def declared_state(groups: int = 2) -> dict[str, Any]:
    """Return the example file with a few quick groups."""
    document = json.loads(EXAMPLE.read_text())
    document["model_services"][0]["groups"] = groups
    document["accelerators"][0]["models"][0].update({"load_s": 0.5, "warm_s": 0.2})
    return document


@attrs.define(eq=False, repr=False)
class Child:
    """One process that was started here."""

    name: str
    command: list[str]
    process: asyncio.subprocess.Process

    def send(self, number: signal.Signals) -> None:
        """Send a signal, by the process's own id."""
        if self.process.returncode is None:
            self.process.send_signal(number)


@attrs.define(eq=False, repr=False)
class NodeChild(Child):
    """An entry node's process."""

    url: str = ""
    operators_url: str = ""


@attrs.define(eq=False, repr=False)
class Fleet:
    """The stand-ins and some nodes as separate processes."""

    directory: Path
    session: aiohttp.ClientSession | None = None
    nodes: list[NodeChild] = attrs.field(factory=list)
    control_url: str = ""
    store_port: int = 0
    spare_port: int = 0
    """Ports for engines that are added later follow from here."""
    _spawned: list[asyncio.subprocess.Process] = attrs.field(factory=list)

    @classmethod
    def create(cls) -> Fleet:
        """Return an empty fleet whose logs go to a folder of its own."""
        return cls(Path(tempfile.mkdtemp(prefix="fordhatch-")))

    async def __aenter__(self) -> Fleet:
        timeout = aiohttp.ClientTimeout(total=60.0)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._spawned:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.session.close()

    async def spawn(self, name: str, command: list[str]) -> asyncio.subprocess.Process:
        """Start a process; it is ended with the fleet at the latest."""
        with (self.directory / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log
            )
        self._spawned.append(process)
        return process

    async def start_standins(self, *, engines: int = 9, spare: int = 8) -> None:
        """Start the store, engines of one domain and a plain service."""
        first = free_range(engines + spare + 3)
        self.store_port, control = first, first + 1
        self.spare_port = first + 3 + engines
        command = [
            str(BIN / "fordhatch-standin"),
            f"--store-port={self.store_port}",
            f"--control-port={control}",
            f"--first-port={first + 2}",
            f"--per-domain={engines}",
        ]
        await self.spawn("standins", command)
        self.control_url = f"http://127.0.0.1:{control}"
        await self.until_answers(f"{self.control_url}/counts")

    def settings(
        self, index: int, store_port: int | None = None, **timing: float
    ) -> dict[str, Any]:
        """Return the settings of a node with ports of its own."""
        first = free_range(3)
        addresses = {
            name: {"host": "127.0.0.1", "port": first + offset}
            for offset, name in enumerate(("callers", "operators", "peers"))
        }
        return {
            "node_name": f"node-{index + 1}",
            "region": "gulf-south",
            "zone": ZONES[index % 3],
            **addresses,
            "store": {"host": "127.0.0.1", "port": store_port or self.store_port},
            "operator_tokens": {"ops": hash_key(OPERATOR_TOKEN)},
            "timing": timing,
        }

    async def start_node(self, settings: dict[str, Any]) -> NodeChild:
        """Start a node and wait until it answers."""
        name = settings["node_name"]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [str(BIN / "fordhatchd"), str(path)]
        node = NodeChild(
            name,
            command,
            await self.spawn(name, command),
            f"http://127.0.0.1:{settings['callers']['port']}",
            f"http://127.0.0.1:{settings['operators']['port']}",
        )
        self.nodes.append(node)
        await self.until_answers(f"{node.operators_url}/metrics")
        return node

    async def restart(self, node: NodeChild) -> None:
        """Start a node that has ended again."""
        node.process = await self.spawn(node.name, node.command)

    async def until_answers(self, url: str) -> None:
        """Wait until a URL answers with success."""
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                try:
                    async with self.session.get(url) as reply:
                        if reply.ok:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def act(self, do: str, **fields: Any) -> None:
        """Bring about a fault at the stand-ins."""
        url = f"{self.control_url}/act"
        async with self.session.post(url, json={"do": do, **fields}) as reply:
            reply.raise_for_status()

    async def counts(self) -> dict[str, Any]:
        """Return what ran at the stand-ins, and what must never happen there."""
        async with self.session.get(f"{self.control_url}/counts") as reply:
            return await reply.json()

    async def read(self, node: NodeChild, path: str) -> dict[str, Any]:
        """Read something back from a node as an operator."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = node.operators_url + path
        async with self.session.get(url, headers=headers) as reply:
            return await reply.json()

    async def apply(
        self, node: NodeChild, document: dict[str, Any], base: int, apply_id: str
    ) -> tuple[int, dict[str, Any]]:
        """Apply an operators' file through a node."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        query = {"base_revision": str(base), "apply_id": apply_id}
        url = f"{node.operators_url}/config"
        async with self.session.put(
            url, params=query, data=json.dumps(document), headers=headers
        ) as reply:
            return reply.status, await reply.json()

    async def until_converged(self, node: NodeChild, nodes: int) -> None:
        """Wait until the declared state is in force everywhere and served.

        Raises:
            TimeoutError: If that never happens; it says what was found last.
        """
        found: dict[str, Any] = {}
        try:
            async with asyncio.timeout(READY_LIMIT_S):
                while True:
                    found = await self.read(node, "/status")
                    if found.get("converged") and found["nodes_in_force"] >= nodes:
                        return
                    await asyncio.sleep(0.1)
        except TimeoutError as error:
            groups = await self.read(node, "/groups")
            text = f"{found}, {groups}, logs in {self.directory}"
            raise TimeoutError(f"not converged: {text}") from error
