"""A plain runner crashes in the middle of an answer while a node is frozen."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from deployment import (  # noqa: E402
    PLAIN,
    RUNNER_PORT,
    ZONES,
    Deployment,
    Node,
    is_trouble_on,
    run,
)
from lengthless import whole_body  # noqa: E402

FREEZE_S = 3.0
"""For how long the node is frozen; the site's list of troubles has 3.5 s."""

MAX_CRASH_AFTER_S = 0.5
"""Latest moment of the crash after the beginning of the freeze."""

RESTART_S = 1.0
"""Time after which the crashed runner is started again."""

HEARTBEATS_S = 3.6
"""Time after which the entry of a crashed runner is gone."""

ORDERS_PER_S = 25.0
ROUNDS = 4


class LengthlessRunner:
    """The runner's process, and its entry in the store."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        """Create a runner that has not been started."""
        self.deployment = deployment
        self.address = f"{deployment.address(number)}:{RUNNER_PORT}"
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        self.runner_id = ""

    async def start(self) -> None:
        """Start the process under a new id and list it."""
        self.starts += 1
        self.runner_id = f"i-plain-{self.starts}"
        program = CASE.parent / "standins" / "lengthless.py"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            self.address,
            self.runner_id,
            stdout=asyncio.subprocess.PIPE,
        )
        self.deployment.spawn(self._follow(self.process.stdout))
        entry = {
            "service": PLAIN,
            "address": self.address,
            "zone": ZONES[0],
            "version": "v1",
            "slots": 13,
            "state": "ready",
            "cold-left-ms": 0,
            "born": self.starts,
            "seq": 1,
        }
        self.deployment.store.put("servers", self.runner_id, json.dumps(entry).encode())
        self.deployment.record("runner_started", runner=self.runner_id)

    async def _follow(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.deployment.record(line.decode().strip(), runner=self.runner_id)

    async def crash(self) -> None:
        """Kill the process; its entry stays until the heartbeats are missed."""
        self.deployment.record("runner_killed", runner=self.runner_id)
        self.process.kill()
        await self.process.wait()


async def load(deployment: Deployment) -> None:
    """Send orders to random nodes until cancelled."""
    while True:
        node = random.choice(deployment.nodes)
        deployment.spawn(deployment.order(node, whole_body))
        await asyncio.sleep(1.0 / ORDERS_PER_S)


async def scenario(deployment: Deployment) -> None:
    """Send orders; now and then a node is frozen, and the runner crashes meanwhile."""
    await deployment.start(nodes=8, engines=2, plain=0)
    runner = LengthlessRunner(deployment, 200)
    await runner.start()
    await asyncio.sleep(2.0)
    sending = deployment.spawn(load(deployment))
    try:
        for _ in range(ROUNDS):
            await asyncio.sleep(6.0)
            if is_trouble_on():
                await one_round(deployment, runner, random.choice(deployment.nodes))
        sending.cancel()
        await asyncio.sleep(4.5)
    finally:
        await runner.crash()


async def one_round(
    deployment: Deployment, runner: LengthlessRunner, node: Node
) -> None:
    """Freeze a node for a while, and crash and restart the runner meanwhile."""
    crash_after_s = random.uniform(0.0, MAX_CRASH_AFTER_S)
    node.send(signal.SIGSTOP)
    deployment.record("node_frozen", node=node.name)
    await asyncio.sleep(crash_after_s)
    gone = runner.runner_id
    await runner.crash()
    await asyncio.sleep(RESTART_S)
    await runner.start()
    await asyncio.sleep(FREEZE_S - RESTART_S - crash_after_s)
    node.send(signal.SIGCONT)
    deployment.record("node_wakes", node=node.name)
    await asyncio.sleep(HEARTBEATS_S - FREEZE_S + crash_after_s)
    deployment.store.remove("servers", gone)


run(CASE, scenario)
