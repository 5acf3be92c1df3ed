"""A node's process that is stopped while its backend server ends an answer."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import attrs
import lengthless_server
import pytest
import pytest_asyncio
from planning_site import BOUNDS
from serving_site import CALL_HEADERS, configuration
from test_node_process import (
    OWN_IP,
    free_ports,
    start_node,
    start_store,
    wait_until_ready,
)

from fordhatch.adapter import BACKENDS_TABLE, CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch_standins import StoreModel, entry_fields

REQUESTS = 4
PAUSE_S = 0.6
"""Time from the first half of an answer to the second."""
WAIT_LIMIT_S = 20.0


@attrs.define(eq=False, repr=False)
class NodeSite:
    """A node's process, a store in memory and a backend server's process."""

    model: StoreModel
    node: asyncio.subprocess.Process
    front: int
    session: aiohttp.ClientSession
    address: str
    server: asyncio.subprocess.Process | None = None

    async def start_server(self, runner_id: str, **entry: object) -> None:
        """Start the backend server's process and write its entry."""
        program = Path(lengthless_server.__file__)
        self.server = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            self.address,
            runner_id,
            str(PAUSE_S),
            stdout=asyncio.subprocess.PIPE,
        )
        await self.said(b"listens")
        fields = {**entry_fields("app", self.address), **entry}
        self.model.put(BACKENDS_TABLE, runner_id, json.dumps(fields).encode())

    async def said(self, word: bytes) -> None:
        """Wait for a line of the backend server."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            assert (await self.server.stdout.readline()).startswith(word)

    async def kill_server(self) -> None:
        """Kill the backend server's process."""
        self.server.kill()
        await self.server.wait()

    async def ask(self, number: int) -> tuple[int, bytes]:
        """Send a request that is not idempotent; returns status and body."""
        url = f"http://{OWN_IP}:{self.front}/once/1"
        headers = {**CALL_HEADERS, "X-Attempt-Id": f"r{number}"}
        async with self.session.post(url, headers=headers) as answer:
            return answer.status, await answer.read()

    async def begin_requests(self) -> list[asyncio.Task[tuple[int, bytes]]]:
        """Send requests and wait until the backend server runs all of them."""
        requests = [asyncio.create_task(self.ask(n)) for n in range(REQUESTS)]
        for _ in requests:
            await self.said(b"runs")
        # The first halves are on their way.
        await asyncio.sleep(0.2)
        return requests


@pytest_asyncio.fixture
async def site(tmp_path: Path) -> AsyncIterator[NodeSite]:
    model = StoreModel()
    model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration())
    listener, store_port = await start_store(model)
    front, ready, inner, server = free_ports(4)
    path = tmp_path / "node.toml"
    path.write_text(
        BOUNDS.replace('ip = "10.0.0.1"', f'ip = "{OWN_IP}"')
        .replace("10.0.0.1:1", f"{OWN_IP}:{front}")
        .replace("10.0.0.1:2", f"{OWN_IP}:{ready}")
        .replace("[1,2]", f"[{inner},{inner}]")
        .replace("10.0.0.9:1", f"127.0.0.1:{store_port}")
    )
    node = await start_node(path)
    async with aiohttp.ClientSession() as session:
        await wait_until_ready(session, ready)
        started = NodeSite(model, node, front, session, f"127.0.0.1:{server}")
        try:
            yield started
        finally:
            node.kill()
            await node.communicate()
            if started.server is not None and started.server.returncode is None:
                await started.kill_server()
            listener.close()


# Guards against half of an answer that passes as a whole one: the server is killed and
# starts again, under another id or its own, while the node is stopped.
@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"runner_id": "i-1"}, {"runner_id": "i-2"}),
        ({"runner_id": "i-1", "born": 5}, {"runner_id": "i-1", "born": 6}),
    ],
    ids=["another id", "same id"],
)
async def test_a_server_that_starts_again_while_the_node_is_stopped(
    site, first, second
) -> None:
    await site.start_server(**first)
    await wait_until_served(site)
    requests = await site.begin_requests()
    site.node.send_signal(signal.SIGSTOP)
    await site.kill_server()
    await site.start_server(**second)
    site.node.send_signal(signal.SIGCONT)
    answers = await asyncio.gather(*requests)

    assert [status for status, _ in answers] == REQUESTS * [502]


async def test_answers_that_end_while_the_node_is_stopped_are_delivered(site) -> None:
    await site.start_server("i-1")
    await wait_until_served(site)
    requests = await site.begin_requests()
    site.node.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    site.node.send_signal(signal.SIGCONT)
    assert await asyncio.gather(*requests) == REQUESTS * [
        (200, lengthless_server.WHOLE)
    ]


async def wait_until_served(site: NodeSite) -> None:
    """Wait until the node knows the backend server."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        number = REQUESTS
        while (await site.ask(number))[0] != 200:
            number += 1
            await asyncio.sleep(0.05)
    await site.said(b"runs")
