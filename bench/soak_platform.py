"""Nodes and operator of the soak test as on the platform."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tomllib
from collections.abc import Callable
from pathlib import Path

import attrs
from fleet import ZONES, Fleet, NodeProcess, find_free_ports
from soak_dialects import platform_configuration
from soak_ledger import RETRY_RULE, Ledger
from soak_node_faults import GRACE_S
from soak_timeline import ProcessLife

from fordhatch.adapter import READY_PATH, SETTINGS_VARIABLE

METRICS_PORT = 9464
"""Port of the metrics page, which is the same on every node."""

FORM_TIMEOUT_S, FORM_POLL_INTERVAL_S = 30.0, 0.1

_SETTINGS = """
node-name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "gulf-south"
port-range = [{peer_port},{peer_port}]
heartbeat-ms = 1200
[listen]
front = "{ip}:{caller_port}"
ready = "{ip}:{ready_port}"
[limits]
memory-mb = 300
max-fds = 4100
[bounds]
stable-ms = 3000
drain-ms = 2000
grace-s = {grace_s}
config-apply-ms = 2000
outer-ms = 5000
strict-revoke = false
revoke-ms = {revoke_ms}
retry-budget-ratio = {ratio}
retry-window-s = {window_s}
retry-slack = {slack}
stall-ms = 5000
ceiling-window-s = 5
ceiling-over = 1.1
pass-ms = 120
[platform]
address = "127.0.0.1:{store_port}"
writes-per-s = 400
reads-per-s = 4000
row-bytes = 65536
history-s = 20
"""


def _node_address(index: int) -> str:
    """Return an address for one node; runs side by side use others."""
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{index + 1}"


async def start_platform_node(fleet: Fleet, index: int, store_port: int) -> NodeProcess:
    """Start a node with a settings file as the platform writes it."""
    ip, first = _node_address(index), find_free_ports(3)
    text = _SETTINGS.format(
        name=f"node-{index + 1}",
        ip=ip,
        zone=ZONES[index % len(ZONES)],
        caller_port=first,
        ready_port=first + 1,
        peer_port=first + 2,
        grace_s=GRACE_S,
        revoke_ms=5000,
        ratio=RETRY_RULE.ratio,
        window_s=RETRY_RULE.window_s,
        slack=RETRY_RULE.slack,
        store_port=store_port,
    )
    path = fleet.directory / f"node-{index + 1}.toml"
    path.write_text(text)
    return await fleet.launch_node(
        f"node-{index + 1}",
        "on-platform",
        url=f"http://{ip}:{first}",
        up_url=f"http://{ip}:{METRICS_PORT}/metrics",
        ready_url=f"http://{ip}:{first + 1}{READY_PATH}",
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
    )


@attrs.define(eq=False, repr=False)
class PlatformOperator:
    """Writes changed configurations, and has nodes read their settings again."""

    fleet: Fleet
    rng: random.Random
    ledger: Ledger
    lives: Callable[[], list[ProcessLife]]
    """Returns the present processes of all nodes."""
    version: int = 0

    async def run(self, is_stopping: Callable[[], bool]) -> None:
        """Write changed configurations at random intervals until the run stops."""
        while not is_stopping():
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            await self.apply()

    async def apply_often(self) -> None:
        """Write a few configurations, one soon after the other, and reload settings."""
        for _ in range(self.rng.randrange(1, 6)):
            await self.apply()
            self._reload(self.rng.choice(self.lives()))
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    def _reload(self, life: ProcessLife) -> None:
        """Change the settings of a node and send it SIGHUP, if it handles that."""
        path = Path(self.fleet.directory, f"{life.node}.toml")
        text = path.read_text()
        old_ms = tomllib.loads(text)["bounds"]["revoke-ms"]
        new_ms = self.rng.randrange(4000, 6000)
        path.write_text(text.replace(f"revoke-ms = {old_ms}", f"revoke-ms = {new_ms}"))
        if life.is_up:
            life.send(signal.SIGHUP)
            self.ledger.outcomes["settings reloaded"] += 1

    async def apply(self) -> None:
        """Write a changed configuration."""
        self.version += 1
        document = platform_configuration(self.version)
        await self.fleet.act("put_configuration", document=document)
        self.ledger.outcomes["applied"] += 1

    async def until_converged(self, nodes: int) -> None:
        """Wait until all nodes are ready and a group serves.

        Raises:
            TimeoutError: If no group has formed in time.
        """
        for node in self.fleet.nodes[:nodes]:
            await self.fleet.wait_until_up(node.ready_url)
        for _ in range(round(FORM_TIMEOUT_S / FORM_POLL_INTERVAL_S)):
            if (await self.fleet.counts())["groups"]:
                return
            await asyncio.sleep(FORM_POLL_INTERVAL_S)
        raise TimeoutError("no group has formed")

    async def check_active(self) -> None:
        """Check that every node is ready, which the balancer asks for."""
        for node in self.fleet.nodes:
            await self.fleet.wait_until_up(node.ready_url)
