"""Large proper requests make a node exceed its memory once it has more callers.

Twelve clients send bodies of the configured maximum, each on a kept connection, to
four nodes. Three nodes are removed for good and their clients go to the fourth. The
platform ends a process that exceeds ``memory-mb``, as it does on every machine.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import aiohttp
import attrs
from aiohttp import web

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as standins

MEMORY_MB = 300
BODY_BYTES = 4 * 1024 * 1024
"""The configured ``max-body-bytes``."""
NODES, RUNNERS, CLIENTS = 4, 3, 12
CLIENT_INTERVAL_S = 0.6
"""Time between two requests of a client. All clients together send 20 bodies a second,
which is 0.68 of the 1,000 Mbit/s of one machine's link."""
WORK_S = 0.25
DEADLINE_MS = 4000
CALM_S = 10.0
"""Time before the three nodes are removed."""
WATCHED_S = 35.0
"""Time after it."""
LAST_ANSWERS_S = 6.0
"""Time in which the last requests end."""
RESTART_DELAY_S = 0.5
MEMORY_POLL_S = 0.02
MAX_LOST = 3
"""Requests that the rule LOST allows."""


@attrs.define(eq=False)
class Sent:
    """A client's request to a node."""

    attempt: str
    node: str
    is_kept: bool
    """Whether its connection had carried another request before."""
    is_answered: bool = False
    is_closed: bool = False
    """Whether its connection was closed without an answer."""


@attrs.define(eq=False)
class Case:
    """The deployment with its clients and its platform."""

    site: standins.Site
    ran: set[str] = attrs.field(factory=set)
    """Requests that a runner has begun to work on."""
    sent: list[Sent] = attrs.field(factory=list)
    removed: set[str] = attrs.field(factory=set)
    memory_ends: int = 0
    is_ending: bool = False
    """Whether clients send no further requests."""
    peak_mb: dict[str, float] = attrs.field(factory=dict)

    async def work(
        self, runner: standins.Runner, request: web.BaseRequest, _: int
    ) -> web.Response:
        """Run a request: read its body and answer after a quarter of a second."""
        self.ran.add(request.headers["X-Attempt-Id"])
        while await request.content.readany():
            pass
        await asyncio.sleep(WORK_S)
        return runner.answer(request, 200, b"x" * 800)

    # The platform.

    async def enforce_memory(self, node: standins.Node) -> None:
        """End the process of a node when it exceeds its memory, and restart it."""
        while node.name not in self.removed:
            await asyncio.sleep(MEMORY_POLL_S)
            used_mb = memory_mb(node)
            self.peak_mb[node.name] = max(self.peak_mb.get(node.name, 0.0), used_mb)
            if used_mb <= MEMORY_MB:
                continue
            self.memory_ends += 1
            words = f"exceeds its memory: {used_mb:.0f} MB of {MEMORY_MB}"
            self.site.record.add("node", node.name, words)
            node.send(signal.SIGKILL)
            await node.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()

    def remove(self, node: standins.Node) -> None:
        """Remove a machine for good."""
        self.removed.add(node.name)
        node.send(signal.SIGKILL)

    def in_rotation(self) -> list[standins.Node]:
        """Return the nodes that get new connections."""
        return [n for n in self.site.nodes if n.name not in self.removed]

    # The clients.

    async def run_client(self, index: int) -> None:
        """Send large requests, one after the other, on one connection while it lasts.

        The balancer gives a client's next connection to a node in rotation.
        """
        body = os.urandom(BODY_BYTES)
        await asyncio.sleep(CLIENT_INTERVAL_S * index / CLIENTS)
        while not self.is_ending:
            nodes = self.in_rotation()
            await self.use_connection(nodes[index % len(nodes)], body)
            await asyncio.sleep(CLIENT_INTERVAL_S)

    async def use_connection(self, node: standins.Node, body: bytes) -> None:
        """Send requests on one connection until one gets no answer."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(note_reuse)
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=10.0)
        async with aiohttp.ClientSession(
            connector=connector, trace_configs=[trace]
        ) as session:
            is_answered = True
            while is_answered and not self.is_ending:
                if node.name in self.removed:
                    return
                began_s = time.monotonic()
                is_answered = await self.call(session, node, body)
                took_s = time.monotonic() - began_s
                await asyncio.sleep(max(CLIENT_INTERVAL_S - took_s, 0.0))

    async def call(
        self, session: aiohttp.ClientSession, node: standins.Node, body: bytes
    ) -> bool:
        """Send one request; return whether it got a whole answer."""
        record = self.site.record
        sent = Sent(os.urandom(8).hex(), node.name, is_kept=False)
        self.sent.append(sent)
        headers = {"Host": standins.HOST, "X-Attempt-Id": sent.attempt}
        headers["X-Deadline-Ms"] = str(DEADLINE_MS)
        url = f"http://{node.ip}:{node.front_port}/photos/1"
        record.add("client sends", sent.attempt, "to", node.name)
        try:
            async with (
                asyncio.timeout(DEADLINE_MS / 1000.0),
                session.post(
                    url,
                    data=body,
                    headers=headers,
                    trace_request_ctx=SimpleNamespace(sent=sent),
                ) as reply,
            ):
                await reply.read()
                record.add("client gets", sent.attempt, reply.status)
                sent.is_answered = True
                return True
        except TimeoutError:
            record.add("client gives up on", sent.attempt)
            return False
        except (aiohttp.ClientError, OSError) as error:
            sent.is_closed = True
            record.add("client gets nothing for", sent.attempt, repr(error))
            return False

    # The rule.

    def lost(self) -> list[Sent]:
        """Return the requests that count as lost.

        Each came on a kept connection to a machine in touch, was passed on to a sound
        runner, and its connection was closed without an answer.
        """
        return [
            s
            for s in self.sent
            if s.is_kept
            and s.is_closed
            and s.attempt in self.ran
            and s.node not in self.removed
        ]


async def note_reuse(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: object
) -> None:
    """Note that a request uses a kept connection."""
    context.trace_request_ctx.sent.is_kept = True


def memory_mb(node: standins.Node) -> float:
    """Return the anonymous memory of a node's process, in MB of 1,048,576 bytes."""
    try:
        lines = Path(f"/proc/{node.process.pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    found = [line.split()[1] for line in lines if line.startswith("RssAnon")]
    return int(found[0]) / 1024 if found else 0.0


async def play(site: standins.Site) -> int:
    """Play the case and return its result."""
    case = Case(site)
    routes = [standins.route("/photos/", "non_idempotent")]
    site.store.put("op", "config", standins.configuration(routes))
    for _ in range(RUNNERS):
        await standins.Runner(site.store, site.record, case.work).start()
    for _ in range(NODES):
        await site.add_node(memory_mb=MEMORY_MB)
    for node in site.nodes:
        await node.until_ready(site.session)
    tasks = [asyncio.ensure_future(case.enforce_memory(n)) for n in site.nodes]
    tasks += [asyncio.ensure_future(case.run_client(i)) for i in range(CLIENTS)]
    await asyncio.sleep(CALM_S)
    if standins.has_trouble():
        for node in site.nodes[1:]:
            case.remove(node)
    await asyncio.sleep(WATCHED_S)
    case.is_ending = True
    await asyncio.sleep(LAST_ANSWERS_S)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    lost = case.lost()
    for one in lost:
        site.record.add("lost:", one.attempt, "at", one.node)
    peaks = {name: round(mb) for name, mb in case.peak_mb.items()}
    answered = sum(s.is_answered for s in case.sent)
    site.record.add("requests", len(case.sent), "answered", answered)
    site.record.add("peak memory in MB", peaks)
    site.record.add("ends for memory:", case.memory_ends, "requests lost:", len(lost))
    is_broken = len(lost) > MAX_LOST
    print(f"ends for memory: {case.memory_ends}, lost: {len(lost)}, peaks: {peaks}")
    return standins.BROKEN if is_broken else standins.KEPT


if __name__ == "__main__":
    standins.main(str(Path(__file__).resolve().parent), play)
