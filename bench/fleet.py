"""Separate processes of stand-ins and nodes for the demo, the soak test and tests."""

from __future__ import annotations

import asyncio
import fcntl
import itertools
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import attrs
from cut_links import LinkCut

from fordhatch.config import hash_key

BIN = Path(sys.executable).parent
OPERATOR_TOKEN = "operator-token-for-tests-only"
API_KEY = "savannah-depot-example-key"
ZONES = ("mobile-yard", "savannah-yard", "houston-yard")
READY_TIMEOUT_S = 30.0
EXAMPLE = Path(__file__).parent.parent / "examples" / "pruitt.json"

FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Range below the kernel's ephemeral ports. An outgoing connection could otherwise
occupy a port between the check and its use."""

PORT_BLOCK = 100
"""Ports that a process reserves at once; the next run in parallel uses others."""

_reserved_blocks: dict[int, int] = {}
"""Descriptors of locked files, by the block that each of them reserves for this
process until it ends."""


def _reserve(block: int) -> bool:
    """Return whether this process has a block of ports for itself."""
    if block in _reserved_blocks:
        return True
    path = Path(tempfile.gettempdir(), f"fordhatch-ports-{block}.lock")
    lock = os.open(path, os.O_RDWR | os.O_CREAT)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return False
    _reserved_blocks[block] = lock
    return True


def _reserved_ports() -> Iterator[int]:
    """Yield ports that no other run uses, for ever, from a random block on."""
    blocks = range(FIRST_PORT // PORT_BLOCK, LAST_PORT // PORT_BLOCK)
    start = secrets.randbelow(len(blocks))
    for block in itertools.cycle([*blocks[start:], *blocks[:start]]):
        if _reserve(block):
            yield from range(block * PORT_BLOCK, (block + 1) * PORT_BLOCK)


_ports = _reserved_ports()


def find_free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive free ports.

    Raises:
        RuntimeError: If there is no such range.
    """
    first, length = 0, 0
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        if not _is_free(port):
            length = 0
            continue
        if port != first + length:
            first, length = port, 0
        length += 1
        if length == count:
            return first
    raise RuntimeError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def declared_state(groups: int = 2) -> dict[str, Any]:
    """Return the example file with a few groups whose model loads fast."""
    document = json.loads(EXAMPLE.read_text())
    document["model_services"][0]["groups"] = groups
    document["accelerators"][0]["models"][0].update({"load_s": 0.5, "warm_s": 0.2})
    return document


@attrs.define(eq=False, repr=False)
class ChildProcess:
    """A child process with its name and command."""

    name: str
    command: list[str]
    process: asyncio.subprocess.Process

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process.returncode is None:
            self.process.send_signal(number)


@attrs.define(eq=False, repr=False)
class NodeProcess(ChildProcess):
    """Process of a node, with its URLs for callers and operators."""

    url: str = ""
    operators_url: str = ""
    link_cut: Path | None = None
    """File that says how its links to backend servers are cut, see ``cut_links``."""
    up_url: str = ""
    """Answers as soon as the process serves."""
    ready_url: str = ""
    """Answers with a success status while the node takes callers."""
    env: dict[str, str] | None = None
    """Environment variables; None for those of this process."""

    def cut_links(self, kind: LinkCut) -> None:
        """Cut the node's links to all backend servers, or restore them."""
        self.link_cut.write_text(kind)


@attrs.define(eq=False, repr=False)
class Fleet:
    """Stand-ins and nodes as separate processes."""

    directory: Path
    session: aiohttp.ClientSession | None = None
    nodes: list[NodeProcess] = attrs.field(factory=list)
    control_url: str = ""
    store_port: int = 0
    spare_port: int = 0
    """First of the ports for engines that are added later."""
    first_backend_port: int = 0
    last_backend_port: int = 0
    """Last of the ports of backend servers, those of later ones included."""
    can_cut_links: bool = False
    """Whether the links of nodes to backend servers can be cut."""
    _spawned: list[asyncio.subprocess.Process] = attrs.field(factory=list)

    @classmethod
    def create(cls, *, can_cut_links: bool = False) -> Fleet:
        """Return an empty fleet that logs to a new temporary folder."""
        directory = Path(tempfile.mkdtemp(prefix="fordhatch-"))
        return cls(directory, can_cut_links=can_cut_links)

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

    async def spawn(
        self, name: str, command: list[str], env: dict[str, str] | None = None
    ) -> asyncio.subprocess.Process:
        """Start a process, which is killed when the fleet closes."""
        with (self.directory / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=env
            )
        self._spawned.append(process)
        return process

    async def start_standins(
        self, *, engines: int = 9, spare: int = 8, step_s: float = 0.01
    ) -> None:
        """Start the store, engines of one fabric domain and a plain service.

        Args:
            engines: Number of engines.
            spare: Number of ports to reserve for engines that are added later.
            step_s: Time of a token step of an engine, in seconds.
        """
        first = find_free_ports(engines + spare + 3)
        self.store_port, control = first, first + 1
        self.spare_port = first + 3 + engines
        self.first_backend_port = first + 2
        self.last_backend_port = first + 2 + engines + spare
        command = [
            str(BIN / "fordhatch-standin"),
            f"--store-port={self.store_port}",
            f"--control-port={control}",
            f"--first-port={first + 2}",
            f"--per-domain={engines}",
            f"--step-s={step_s}",
        ]
        await self.spawn("standins", command)
        self.control_url = f"http://127.0.0.1:{control}"
        await self.wait_until_up(f"{self.control_url}/counts")

    def settings(
        self, index: int, store_port: int | None = None, **timing: float
    ) -> dict[str, Any]:
        """Return the settings of a node with newly allocated ports."""
        first = find_free_ports(3)
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

    async def start_node(self, settings: dict[str, Any]) -> NodeProcess:
        """Start a node and wait until it serves its metrics."""
        name = settings["node_name"]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        url = f"http://127.0.0.1:{settings['callers']['port']}"
        operators_url = f"http://127.0.0.1:{settings['operators']['port']}"
        return await self.launch_node(
            name,
            str(path),
            url=url,
            operators_url=operators_url,
            up_url=f"{operators_url}/metrics",
            ready_url=f"{url}/ready",
        )

    async def launch_node(self, name: str, argument: str, **fields: Any) -> NodeProcess:
        """Start a node's process and wait until it serves its metrics.

        Args:
            name: Name of the node and of its log.
            argument: Argument of the command, such as the path of the settings.
            **fields: Fields of the ``NodeProcess``.
        """
        link_cut = self.directory / f"{name}.cut"
        command = [*self._program(link_cut), argument]
        process = await self.spawn(name, command, fields.get("env"))
        node = NodeProcess(name, command, process, link_cut=link_cut, **fields)
        self.nodes.append(node)
        await self.wait_until_up(node.up_url)
        return node

    def _program(self, link_cut: Path) -> list[str]:
        """Return the command of a node, without its settings."""
        if not self.can_cut_links:
            return [str(BIN / "fordhatchd")]
        link_cut.write_text(LinkCut.NONE)
        wrapper = Path(__file__).parent / "cut_links.py"
        ports = [str(self.first_backend_port), str(self.last_backend_port)]
        return [sys.executable, str(wrapper), str(link_cut), *ports]

    async def restart(self, node: NodeProcess) -> None:
        """Start the process of a terminated node again."""
        node.process = await self.spawn(node.name, node.command, node.env)

    async def wait_until_up(self, url: str) -> None:
        """Wait until a URL answers with a success status."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    async with self.session.get(url) as reply:
                        if reply.ok:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def act(self, do: str, **fields: Any) -> None:
        """Send a control command to the stand-ins, such as to start or end a fault."""
        url = f"{self.control_url}/act"
        async with self.session.post(url, json={"do": do, **fields}) as reply:
            reply.raise_for_status()

    async def counts(self) -> dict[str, Any]:
        """Return the counts of the stand-ins and the violations that they detected."""
        async with self.session.get(f"{self.control_url}/counts") as reply:
            return await reply.json()

    async def attempts(self) -> list[dict[str, Any]]:
        """Return all attempts that reached backend servers."""
        async with self.session.get(f"{self.control_url}/attempts") as reply:
            return await reply.json()

    async def read(self, node: NodeProcess, path: str) -> dict[str, Any]:
        """Return the answer of a node to an operator's GET request."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = node.operators_url + path
        async with self.session.get(url, headers=headers) as reply:
            return await reply.json()

    async def apply(
        self, node: NodeProcess, document: dict[str, Any], base: int, apply_id: str
    ) -> tuple[int, dict[str, Any]]:
        """Apply a configuration file through a node.

        Returns:
            The status and the body of the answer.
        """
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        query = {"base_revision": str(base), "apply_id": apply_id}
        url = f"{node.operators_url}/config"
        async with self.session.put(
            url, params=query, data=json.dumps(document), headers=headers
        ) as reply:
            return reply.status, await reply.json()

    async def until_converged(self, node: NodeProcess, nodes: int) -> None:
        """Wait until the declared state is active on all nodes and served.

        Args:
            node: Node to query.
            nodes: Number of nodes on which the state must be active.

        Raises:
            TimeoutError: If the state does not converge in time; contains the last
                status.
        """
        found: dict[str, Any] = {}
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while True:
                    found = await self.read(node, "/status")
                    if found.get("converged") and found["nodes_in_force"] >= nodes:
                        return
                    await asyncio.sleep(0.1)
        except TimeoutError as error:
            groups = await self.read(node, "/groups")
            text = f"{found}, {groups}, logs in {self.directory}"
            raise TimeoutError(f"not converged: {text}") from error
