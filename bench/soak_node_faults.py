"""Faults of nodes' processes in the soak test: kills, pauses, stops and restarts."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs
from fleet import Fleet, NodeProcess
from soak_engine_faults import EngineFaults
from soak_ledger import Ledger
from soak_processes import was_slowed
from soak_timeline import ProcessLife, Timeline

GRACE_S = 8.0
"""Time from a signal to stop after which the platform kills a process."""

EXIT_SLACK_S = 0.2
"""Uncertainty of the time at which the end of a process is noticed."""

LISTEN_S = 1.0
"""How long a stopping node accepts connections."""


@attrs.define(eq=False, repr=False)
class NodeFaults:
    """Brings about faults of random nodes' processes, and ends them."""

    fleet: Fleet
    rng: random.Random
    ledger: Ledger
    timeline: Timeline
    engines: EngineFaults
    busy: set[str] = attrs.field(factory=set)
    """Names of nodes with a process fault in progress."""

    def choose_healthy(self) -> NodeProcess:
        """Return a random node without a known fault, as a load balancer would."""
        free = [n for n in self.fleet.nodes if n.name not in self.busy]
        return self.rng.choice(free or self.fleet.nodes)

    def reserve(self) -> NodeProcess | None:
        """Return a random node without a fault, None if only one is left."""
        free = [n for n in self.fleet.nodes if n.name not in self.busy]
        if len(free) <= 1:
            return None
        node = self.rng.choice(free)
        self.busy.add(node.name)
        return node

    def lives(self) -> list[ProcessLife]:
        """Return the present process of each node."""
        return [self.timeline.life(node) for node in self.fleet.nodes]

    def continue_all(self) -> None:
        """End all pauses."""
        for life in self.lives():
            life.send(signal.SIGCONT)

    async def kill_node(self) -> None:
        """Kill a node and restart it."""
        node = self.reserve()
        if node is None:
            return
        await self.kill(node)
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        await self.restart(node)

    async def kill(self, node: NodeProcess) -> None:
        """Kill a node's process and wait for its end."""
        self.timeline.life(node).send(signal.SIGKILL)
        await node.process.wait()

    async def pause_node(self) -> None:
        """Pause a node for some seconds."""
        node = self.reserve()
        if node is None:
            return
        life = self.timeline.life(node)
        life.send(signal.SIGSTOP)
        # Callers connected to the node cannot detect the pause: keep choosing it.
        self.busy.discard(node.name)
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        life.send(signal.SIGCONT)
        await self.fleet.act("excuse")

    async def restart_within_a_pause(self) -> None:
        """Pause a node, and crash and restart the plain servers meanwhile."""
        node = self.reserve()
        if node is None:
            return
        life = self.timeline.life(node)
        await self.fleet.act("lengthless", share=1.0)
        # Answers without a length begin, and the node reads their first halves.
        await asyncio.sleep(self.rng.uniform(0.3, 1.0))
        life.send(signal.SIGSTOP)
        self.busy.discard(node.name)
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        await self.engines.restart_plain_servers()
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        life.send(signal.SIGCONT)
        await self.fleet.act("lengthless", share=0.0)
        await self.fleet.act("excuse")

    async def stop_node(self) -> None:
        """Stop a node and restart it."""
        node = self.reserve()
        if node is not None:
            await self._stop_and_restart(node)

    async def stop_node_twice(self) -> None:
        """Send two signals to stop to one process."""
        node = self.reserve()
        if node is None:
            return
        life = self.timeline.life(node)
        again = asyncio.ensure_future(self._stop_again(life))
        await self._stop_and_restart(node)
        await again

    async def _stop_again(self, life: ProcessLife) -> None:
        await asyncio.sleep(self.rng.choice([0.0, self.rng.uniform(0.0, 4.0)]))
        life.send(signal.SIGTERM)

    async def stop_starting_node(self) -> None:
        """Stop a node, and the process after it while that one starts."""
        node = self.reserve()
        if node is None:
            return
        await self.stop(node)
        await self._start(node)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self._stop_and_restart(node)

    async def stop_nodes_in_series(self) -> None:
        """Stop nodes one after another, as a rollout does, before the last are back."""
        stops = []
        for _ in range(self.rng.randrange(2, len(self.fleet.nodes) + 1)):
            node = self.reserve()
            if node is not None:
                stops.append(asyncio.ensure_future(self._stop_and_restart(node)))
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        await asyncio.gather(*stops)

    def stop_beside(
        self, act: Callable[[], Awaitable[None]], name: str
    ) -> Callable[[], Awaitable[None]]:
        """Return a fault that stops a node while something else happens."""

        async def stop_beside() -> None:
            node = self.reserve()
            acts = asyncio.ensure_future(act())
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            if node is not None:
                await self._stop_and_restart(node)
            await acts

        stop_beside.__name__ = name
        return stop_beside

    async def _stop_and_restart(self, node: NodeProcess) -> None:
        await self.stop(node)
        await self.restart(node)

    async def stop(self, node: NodeProcess) -> None:
        """Send the signal to stop and check that the process ends in time."""
        life = self.timeline.life(node)
        life.send(signal.SIGCONT)
        life.read_memory()
        life.send(signal.SIGTERM)
        signal_s = time.monotonic()
        try:
            async with asyncio.timeout(GRACE_S + EXIT_SLACK_S):
                await life.wait()
        except TimeoutError:
            self._kill_overdue(life)
            await life.wait()
        took_s = life.ended_s - signal_s
        self.ledger.stop_times_s.append(took_s)
        if took_s > GRACE_S + EXIT_SLACK_S:
            text = f"pid {node.process.pid} did not end within {GRACE_S} s"
            way = "slowed" if was_slowed(life, GRACE_S) else "not slowed"
            self.ledger.outcomes[f"ended after the grace period, {way}"] += 1
            self.ledger.add_violation(
                f"{node.name} {text} of SIGTERM, {way} by the soak: {took_s:.2f} s"
            )

    def _kill_overdue(self, life: ProcessLife) -> None:
        """Kill a process as the platform does; this excuses no cut answer."""
        if life.ended_s is None:
            life.is_overdue = True
            life.process.kill()

    async def _start(self, node: NodeProcess) -> None:
        await self.fleet.restart(node)
        self.timeline.record_start(node)

    async def restart(self, node: NodeProcess) -> None:
        """Restart a node and make it available for faults once it handles signals."""
        await self._start(node)
        await self.fleet.wait_until_up(node.up_url)
        self.timeline.life(node).is_up = True
        await self.fleet.act("excuse")
        self.busy.discard(node.name)
