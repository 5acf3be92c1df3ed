"""A small deployment on loopback addresses: nodes as processes, and their stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from runners import HEARTBEAT_S, Engine, Runner, Site
from store import Store

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8227, 8220, 8229, 7340
RUNNER_PORT, STORE_PORT = 8080, 8223
ZONES = ("zone-a", "zone-b", "zone-c")
HOST_NAME = "chat.example"
API_KEY = "key-of-tenant-one"
TENANT = "tenant-one"
ENGINES, PLAIN, MODEL = "engines", "app", "model-m1"
OK = 200
POLL_S = 0.1
START_TIMEOUT_S = 25.0
FREE_ADDRESS_TRIES = 100

BOUNDS = """
stable-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
outer-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 134
stall-ms = 5000
require-fence = false
ceiling-window-s = 5
ceiling-over = 1.1
pass-ms = 120
"""

ROUTE = {"host": HOST_NAME, "priority": 1, "public": False}


def configuration(order_timeout_ms: int) -> dict[str, Any]:
    """Return the operator's configuration.

    Args:
        order_timeout_ms: ``timeout-ms`` of the route of orders.
    """
    return {
        "version": 7,
        "routes": [
            {
                **ROUTE,
                "name": "stream",
                "prefix": "/stream/",
                "kind": "streaming",
                "service": ENGINES,
                "timeout-ms": 8000,
                "goal-ms": 500,
                "attempts": 2,
                "sticky": True,
                "resumable": True,
                "max-gap-ms": 300,
            },
            {
                **ROUTE,
                "name": "order",
                "prefix": "/order/",
                "kind": "non_idempotent",
                "service": PLAIN,
                "timeout-ms": order_timeout_ms,
                "goal-ms": 400,
                "attempts": 1,
            },
        ],
        "services": [
            {
                "name": ENGINES,
                "health-path": "/health",
                "max-conns": 244,
                "engine": {
                    "slots": 13,
                    "kv-capacity": 700_000,
                    "stride": 5,
                    "models": [
                        {
                            "name": MODEL,
                            "size": 2,
                            "share": 1.0,
                            "pace": 0.6,
                            "load-s": 12.0,
                            "warm-s": 1.1,
                        }
                    ],
                    "step_ms": 6.07,
                    "per_seq_ms": 0.482,
                    "context_per_k": 0.00976,
                    "read_per_s": 46_000.0,
                    "pairs_per_m": 0.7,
                    "chunk": 2048,
                    "report_lag_ms": 200.0,
                    "loads-per-s": 4.0,
                    "loads_at_once": 6,
                    "usual": {"prompt": 1076, "answer": 116},
                    "keeps": 1,
                    "far_x": 3.0,
                    "form-ms": 300.0,
                },
            },
            {"name": PLAIN, "health-path": "/health", "max-conns": 51},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 10_000,
            "idle-timeout-ms": 60_000,
        },
        "tenants": [{"name": TENANT, "api-keys": [API_KEY]}],
    }


def is_trouble_on() -> bool:
    """Return whether the run includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Node:
    """A node of the system, as a process started by the deploy file's command."""

    def __init__(self, name: str, address: str, zone: str, folder: Path) -> None:
        """Create a node that has not been started."""
        self.name = name
        self.address = address
        self.zone = zone
        self.folder = folder
        self.settings = folder / f"{name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.ended_itself: list[tuple[float, int]] = []

    def write_settings(self, store: str, *, is_first: bool, comment: str = "") -> None:
        """Write the settings file, as the platform does before each start."""
        text = f"""# {comment}
node-name = "{self.name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "{self.address}"
zone = "{self.zone}"
region = "region-a"
port-range = [{PEER_PORT},{PEER_PORT + 15}]
seeds = []
bootstrap = {str(is_first).lower()}
heartbeat-ms = 1200
[listen]
front = "{self.address}:{FRONT_PORT}"
ready = "{self.address}:{READY_PORT}"
control = "{self.address}:{CONTROL_PORT}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]{BOUNDS}[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
row-bytes = 65536
history-s = 20
"""
        draft = self.settings.with_suffix(".new")
        draft.write_text(text)
        draft.replace(self.settings)

    async def start(self) -> None:
        """Start the process with the command and environment of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = {
            **kept,
            "FORDHATCH_SETTINGS": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Deployment:
    """The stand-ins in this process, and the nodes as processes of their own."""

    def __init__(self, case: Path, order_timeout_ms: int = 4000) -> None:
        """Create an empty deployment that records to a folder."""
        self.configuration = configuration(order_timeout_ms)
        self.folder = Path(tempfile.mkdtemp(prefix="fordhatch-review-"))
        self.started_s = time.monotonic()
        self.lines: list[str] = []
        self.case = case
        self.store = Store()
        models = self.configuration["services"][0]["engine"]["models"]
        self.site = Site(self.store, self.record, {m["name"]: m for m in models})
        self.nodes: list[Node] = []
        self.network = _free_network()
        self.outcomes: dict[str, int] = {}
        self.session: aiohttp.ClientSession | None = None
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def record(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        at_s = time.monotonic() - self.started_s
        shown = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.append(f"{at_s:8.3f} {event} {shown}")

    def address(self, number: int) -> str:
        """Return a loopback address of this run."""
        return f"{self.network}.{number}"

    async def listen(
        self, host: str, port: int, handler: Callable[[Any], Awaitable[Any]]
    ) -> asyncio.Server:
        """Serve HTTP at an address."""
        server = web.Server(handler, handler_cancellation=True, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, host, port)
        self._servers.append(listener)
        return listener

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run work in the background until the deployment closes."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def add_runner(self, kind: type[Runner], number: int, zone: str) -> Runner:
        """Start a runner and list it."""
        host = self.address(number)
        service = ENGINES if issubclass(kind, Engine) else PLAIN
        runner_id = f"i-{number:04d}"
        runner = kind(self.site, runner_id, service, zone, f"{host}:{RUNNER_PORT}")
        runner.listener = await self.listen(host, RUNNER_PORT, runner.handle)
        runner.heart = self.spawn(runner.beat())
        return runner

    async def crash(self, runner: Runner) -> None:
        """End a runner for good; its entry goes after three missed heartbeats."""
        self.record("crash", runner=runner.runner_id)
        runner.end()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers", runner.runner_id)

    async def start(self, *, nodes: int, engines: int, plain: int) -> None:
        """Start everything and wait until the groups are open and nodes are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        store = self.address(1)
        await self.listen(store, STORE_PORT, self.store.handle)
        self.store.put("op", "config", json.dumps(self.configuration).encode())
        for index in range(nodes):
            host = self.address(10 + index)
            node = Node(f"front-{index}", host, ZONES[index % 3], self.folder)
            node.write_settings(f"{store}:{STORE_PORT}", is_first=True)
            self.nodes.append(node)
            await node.start()
        for index in range(engines):
            await self.add_runner(Engine, 100 + index, ZONES[0])
        for index in range(plain):
            await self.add_runner(Runner, 200 + index, ZONES[index % 3])
        await self.until_serving(groups=engines // 2)

    async def until_serving(self, *, groups: int) -> None:
        """Wait until enough groups are open and every node is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._serves(groups):
                pass
        self.record("serving", heads=",".join(h.runner_id for h in self.open_heads()))

    async def _serves(self, groups: int) -> bool:
        """Return, after a moment, whether enough groups are open and nodes ready."""
        await asyncio.sleep(POLL_S)
        return len(self.open_heads()) >= groups and await self.are_ready()

    def open_heads(self) -> list[Engine]:
        """Return the heads that serve, by the runners' own state."""
        runners = self.site.runners.values()
        engines = [r for r in runners if isinstance(r, Engine)]
        return [e for e in engines if e.is_head and e.is_serving(e.key)]

    async def are_ready(self) -> bool:
        """Return whether every node says that it is ready."""
        return all([await self.is_ready(node) for node in self.nodes])

    async def is_ready(self, node: Node) -> bool:
        """Ask a node whether it is ready, as the balancer does."""
        url = f"http://{node.address}:{READY_PORT}/v1/readiness"
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with self.session.get(url, timeout=timeout) as answer:
                return answer.status == OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def stream(self, node: Node, events: int) -> None:
        """Send one streaming request as a client and check its answer."""
        attempt = secrets.token_hex(8)
        headers = _client_headers(attempt, 8000)
        headers |= {
            "X-Model": MODEL,
            "X-Token-Count": f"40,{events}",
            "X-Prompt-Prefix": f"{attempt[:8]}:40",
        }
        self.record("request", attempt=attempt, kind="stream", node=node.name)
        wanted = b"".join(
            b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, events + 1)
        )
        outcome = await self._send(node, "/stream/1", headers, attempt, wanted)
        self._count("stream", outcome)
        self.record("answer", attempt=attempt, outcome=outcome)

    async def order(
        self, node: Node, whole: Callable[[str], bytes] | None = None
    ) -> str:
        """Send one request that is not idempotent and return its outcome.

        Args:
            node: The node that takes it.
            whole: Returns the whole body of the runner's answer, if it is checked.
        """
        attempt = secrets.token_hex(8)
        self.record("request", attempt=attempt, kind="order", node=node.name)
        wanted = whole(attempt) if whole else None
        outcome = await self._send(
            node, "/order/1", _client_headers(attempt, 4000), attempt, wanted
        )
        self._count("order", outcome)
        self.record("answer", attempt=attempt, outcome=outcome)
        return outcome

    def _count(self, kind: str, outcome: str) -> None:
        name = f"{kind} {outcome}"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    async def _send(
        self,
        node: Node,
        path: str,
        headers: dict[str, str],
        attempt: str,
        wanted: bytes | None,
    ) -> str:
        url = f"http://{node.address}:{FRONT_PORT}{path}"
        deadline_s = int(headers["X-Deadline-Ms"]) / 1000
        try:
            timeout = aiohttp.ClientTimeout(total=deadline_s)
            async with self.session.post(
                url, headers=headers, data=b"prompt", timeout=timeout
            ) as answer:
                body = await answer.read()
                if answer.status == OK:
                    self._check_answer(answer, body, attempt, wanted)
                return str(answer.status)
        except TimeoutError:
            return "deadline"
        except aiohttp.ClientError as error:
            return type(error).__name__

    def _check_answer(
        self,
        answer: aiohttp.ClientResponse,
        body: bytes,
        attempt: str,
        wanted: bytes | None,
    ) -> None:
        """Check the rules on answers that a client sees."""
        if not answer.headers.get("X-Server-Seal", "").endswith(attempt):
            self.site.violation("MIXED", f"{attempt} got a success without its seal")
        if wanted is not None and body != wanted:
            text = (
                f"{attempt} got a success with {len(body)} of the {len(wanted)} bytes "
                "of its runner's body"
            )
            self.site.violation("MIXED", text)

    async def load(self, per_s: float, events: int) -> None:
        """Send streams to random nodes until cancelled."""
        while True:
            node = random.choice(self.nodes)
            self.spawn(self.stream(node, events))
            await asyncio.sleep(random.expovariate(per_s))

    async def close(self) -> int:
        """End all processes, write the record and return the exit status."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
        if self.session is not None:
            await self.session.close()
        self.record("outcomes", **dict(sorted(self.outcomes.items())))
        broken = sorted(set(self.site.violations))
        self.record("result", violations=len(broken))
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder)
        for text in broken:
            print(text)
        print("broken" if broken else "held")
        return 1 if broken else 0


def _client_headers(attempt: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Api-Key": API_KEY,
    }


def _free_network() -> str:
    """Return the first three numbers of loopback addresses that are free."""
    for _ in range(FREE_ADDRESS_TRIES):
        network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.1", STORE_PORT))
            except OSError:
                continue
            return network
    raise RuntimeError("no free loopback addresses")


def run(
    case: Path,
    scenario: Callable[[Deployment], Awaitable[None]],
    order_timeout_ms: int = 4000,
) -> None:
    """Run a scenario and exit: 1 a rule was broken, 0 it held, 2 it could not run."""

    async def main() -> int:
        deployment = Deployment(case, order_timeout_ms)
        try:
            async with asyncio.timeout(110.0):
                await scenario(deployment)
        except Exception as error:
            print(f"the case could not run: {error!r}")
            await deployment.close()
            return 2
        return await deployment.close()

    sys.exit(asyncio.run(main()))
