"""Stand-ins of the second review: store, plain runners, clients and the platform.

They follow the users' pages. Everything listens on loopback addresses, with free ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import attrs
from aiohttp import web
from multidict import CIMultiDict

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
READY_TIMEOUT_S = 30.0
HOST = "yard.example"
SERVICE = "yard-app"
KEPT, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case: the rule held, it was broken, the case could not run."""

SETTINGS = """
node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "gulf-south"
port-range = [{peer_port},{peer_port}]
seeds = []
bootstrap = {bootstrap}
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","tenants","platform"]
[zones]
mobile-yard = "gulf-south"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = {config_apply_ms}
rollback-slack-ms = 250
outer-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 136
recover-s = 12
pass-ms = 120
retry-after-s = 0
stall-ms = 5000
require-fence = false
ceiling-window-s = 5
ceiling-over = 1.1
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"""


@attrs.define(eq=False)
class Record:
    """The lines of ``record.txt``: what was sent, answered and run, and when."""

    path: Path
    began_s: float = attrs.field(factory=time.monotonic)
    lines: list[str] = attrs.field(factory=list)

    def add(self, *words: object) -> None:
        """Add a line with the time since the start."""
        now_s = time.monotonic() - self.began_s
        self.lines.append(f"{now_s:8.3f} " + " ".join(map(str, words)))

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


# The store.


@attrs.define(eq=False)
class Store:
    """The platform's store: rows in tables, one counter, linearizable answers."""

    rows: dict[tuple[str, str], tuple[int, bytes]] = attrs.field(factory=dict)
    history: list[tuple[int, str, str, bytes | None]] = attrs.field(factory=list)
    ver: int = 1
    address: str = ""
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def listen(self) -> None:
        """Begin to serve."""
        self.address = await serve(self.handle, "127.0.0.1")

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove one row, as the operator or a runner does."""
        self._apply([(table, key, value)])

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self.ver += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = self.ver, value
            self.history.append((self.ver, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        await asyncio.sleep(STORE_ANSWER_S)
        if request.path == "/v1/rows-tx":
            return self._transact(json.loads(await request.read()))
        if request.path == "/v1/rows-get":
            return self._get(request)
        if request.path == "/v1/rows-feed":
            return await self._feed(request)
        return web.Response(status=404)

    def _transact(self, body: dict[str, Any]) -> web.Response:
        failed = False
        for row in body["expected-rev"]:
            known = self.rows.get((row["table"], row["key"]), (0, b""))
            failed = failed or known[0] != row["ver"]
        if failed:
            keys = [(row["table"], row["key"]) for row in body["expected-rev"]]
            found = [self._row(*key) for key in keys if key in self.rows]
            return self._answer(412, rows=found)
        changes: list[tuple[str, str, bytes | None]] = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in body["set-keys"]
        ]
        changes += [(row["table"], row["key"], None) for row in body["remove"]]
        if any(table in ("op", "servers") for table, _, _ in changes):
            return web.Response(status=403)
        self._apply(changes)
        return self._answer(200)

    def _get(self, request: web.BaseRequest) -> web.Response:
        table, first = request.query["table"], request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        keys = sorted(k for t, k in self.rows if t == table and k >= first)
        rows = [self._row(table, key) for key in keys[:limit]]
        return self._answer(200, rows=rows, **{"has-more": len(keys) > limit})

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        ends_s = time.monotonic() + int(request.query["wait-ms"]) / 1000.0
        while not any(v > after and t == table for v, t, _, _ in self.history):
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        rows = []
        for ver, found, key, value in self.history:
            if ver <= after or found != table:
                continue
            row = {"table": table, "part": "", "key": key, "ver": ver}
            if value is None:
                rows.append({**row, "removed": True})
            else:
                rows.append({**row, "value": base64.b64encode(value).decode()})
        return self._answer(200, rows=rows)

    def _row(self, table: str, key: str) -> dict[str, object]:
        ver, value = self.rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": ver}

    def _answer(self, status: int, **fields: object) -> web.Response:
        now_ms = int(time.monotonic() * 1000)
        body = {"ver": self.ver, "now-ms": now_ms, **fields}
        return web.json_response(body, status=status)


def configuration(routes: list[dict[str, object]], version: int = 7) -> bytes:
    """Return a configuration of one plain service without API keys."""
    service = {"name": SERVICE, "health-path": "/health", "max-conns": 500}
    service |= {"protocol": "h1", "tls": False}
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 4 * 1024 * 1024,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    document = {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }
    return json.dumps(document).encode()


def route(prefix: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of the configuration to the plain service."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 2000,
        "goal-ms": 300,
        "priority": 2,
        "service": SERVICE,
        "attempts": 1,
        "public": True,
        "sticky": False,
        "resumable": False,
        **fields,
    }


# Runners.

Work = Callable[["Runner", web.BaseRequest, int], Awaitable[web.Response]]
"""Answers a request; gets the runner, the request and its number at this runner."""


@attrs.define(eq=False)
class Runner:
    """One start of a plain runner, registered in the store."""

    store: Store
    record: Record
    work: Work
    slots: int = 6
    runner_id: str = attrs.field(factory=lambda: f"i-{os.urandom(5).hex()}")
    address: str = ""
    runs: int = 0
    _busy: asyncio.Semaphore = attrs.field(init=False)
    _server: asyncio.Server | None = None

    def __attrs_post_init__(self) -> None:
        self._busy = asyncio.Semaphore(self.slots)

    async def start(self) -> None:
        """Listen and register."""
        self.address = await serve(self.handle, "127.0.0.1")
        self.register()
        self.record.add("runner", self.runner_id, "starts")

    def register(self, state: str = "ready") -> None:
        """Write the entry."""
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": "mobile-yard",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
        }
        self.store.put("servers", self.runner_id, json.dumps(entry).encode())

    def unlist(self) -> None:
        """Remove the entry."""
        self.store.put("servers", self.runner_id, None)
        self.record.add("entry of", self.runner_id, "is removed")

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a request, a health check or a query."""
        headers = {"X-Runner-Id": self.runner_id}
        if request.path == "/health":
            return web.Response(status=200, headers=headers)
        if request.path == "/v1/report":
            report = {"stage": "", "models": [], "busy": False, "seq": 1}
            report |= {"queued": 0, "active": 0, "kv-used": 0, "kv-total": 0}
            return web.json_response({**report, "handles": 0})
        wanted = request.headers.get("X-Expect-Instance", self.runner_id)
        if wanted != self.runner_id:
            return web.Response(status=421, headers=headers)
        async with self._busy:
            number, self.runs = self.runs, self.runs + 1
            attempt = request.headers["X-Attempt-Id"]
            self.record.add("runs", attempt, "at", self.runner_id)
            return await self.work(self, request, number)

    def answer(
        self, request: web.BaseRequest, status: int, body: bytes = b""
    ) -> web.Response:
        """Return a signed answer."""
        attempt = request.headers["X-Attempt-Id"]
        self.record.add("answers", attempt, "at", self.runner_id, status)
        seal = f"{self.runner_id}.{attempt}"
        headers = {"X-Attempt-Id": attempt, "X-Server-Seal": seal}
        return web.Response(status=status, headers=headers, body=body)


# The platform's nodes.


@attrs.define(eq=False)
class Node:
    """A machine with its process, started with the command of the deploy file."""

    name: str
    ip: str
    front_port: int
    ready_port: int
    peer_port: int
    directory: Path
    record: Record
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    def write_settings(self, store: Store, **changes: object) -> None:
        """Write the settings file."""
        fields = {"memory_mb": 300, "config_apply_ms": 2000, "bootstrap": "true"}
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone="mobile-yard",
            front_port=self.front_port,
            ready_port=self.ready_port,
            peer_port=self.peer_port,
            store=store.address,
            **{**fields, **changes},
        )
        (self.directory / f"{self.name}.toml").write_text(text)

    async def start(self) -> None:
        """Start the process."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FORDHATCH_SETTINGS": str(self.directory / f"{self.name}.toml"),
        }
        command = ["python3", "-S", "deploy/entry.py"]
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=env, cwd=ROOT
            )
        self.starts += 1
        self.record.add("node", self.name, "is started, start", self.starts)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self.process.send_signal(number)
            self.record.add("node", self.name, "gets", number.name)

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Ask as the balancer does."""
        url = f"http://{self.ip}:{self.ready_port}/v1/readiness"
        try:
            async with session.get(url) as reply:
                return reply.status == web.HTTPOk.status_code
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def until_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the node takes callers.

        Raises:
            RuntimeError: If it does not within ``READY_TIMEOUT_S``.
        """
        ends_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready(session):
            if time.monotonic() > ends_s or not self.is_running:
                raise RuntimeError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)


@attrs.define(eq=False)
class Site:
    """A small deployment on this machine."""

    record: Record
    directory: Path
    store: Store = attrs.field(factory=Store)
    nodes: list[Node] = attrs.field(factory=list)
    session: aiohttp.ClientSession | None = None

    @classmethod
    def create(cls, folder: Path) -> Site:
        """Return a site whose record is written into the folder of a case."""
        directory = Path(tempfile.mkdtemp(prefix="fordhatch-review-"))
        return cls(Record(folder / "record.txt"), directory)

    async def __aenter__(self) -> Site:
        timeout = aiohttp.ClientTimeout(total=30.0)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        await self.store.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            if node.is_running:
                node.process.kill()
                await node.process.wait()
        await self.session.close()
        self.record.write()

    async def add_node(self, **settings: object) -> Node:
        """Start a node on an address of its own."""
        # Other runs on this machine use other addresses: the metrics port is fixed.
        pid = os.getpid()
        index = len(self.nodes) + 1
        ip = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{index}"
        ports = [free_port(ip) for _ in range(3)]
        node = Node(f"front-{index}", ip, *ports, self.directory, self.record)
        node.write_settings(self.store, **settings)
        self.nodes.append(node)
        await node.start()
        return node

    async def call(
        self,
        node: Node,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 4000,
    ) -> tuple[str, int | None]:
        """Send one request of a client.

        Returns:
            Its id, and the status of the answer; None if there was no whole answer.
        """
        attempt = os.urandom(8).hex()
        headers = {"Host": HOST, "X-Attempt-Id": attempt}
        headers["X-Deadline-Ms"] = str(deadline_ms)
        self.record.add("client sends", attempt, method, path, "to", node.name)
        url = f"http://{node.ip}:{node.front_port}{path}"
        status: int | None = None
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                async with self.session.request(
                    method, url, headers=CIMultiDict(headers), data=body or None
                ) as reply:
                    await reply.read()
                    status = reply.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.add("client gets nothing for", attempt, repr(error))
            return attempt, None
        self.record.add("client gets", attempt, status)
        return attempt, status


async def serve(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], host: str
) -> str:
    """Serve HTTP on a free port and return the address."""
    # Most runners drop a request when its connection closes.
    server = web.Server(handler, access_log=None, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, 0, backlog=1024)
    name = listener.sockets[0].getsockname()
    return f"{name[0]}:{name[1]}"


def free_port(ip: str) -> int:
    """Return a free port below the kernel's range for outgoing connections."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: str, play: Callable[[Site], Awaitable[int]]) -> None:
    """Play a case and exit with its result."""

    async def run() -> int:
        # The processes that the case started end also if the case is terminated.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        async with Site.create(Path(folder)) as site:
            try:
                async with asyncio.timeout(115.0):
                    return await play(site)
            except asyncio.CancelledError:
                site.record.add("the case was terminated")
                return NOT_RUN
            except (RuntimeError, TimeoutError, OSError) as error:
                site.record.add("the case could not run:", repr(error))
                return NOT_RUN

    sys.exit(asyncio.run(run()))
