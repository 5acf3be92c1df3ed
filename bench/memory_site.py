"""Whole nodes on a virtual clock, with small fakes at their edges."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import attrs
import looptime
import pytest

from fordhatch.config import ApplyRequest, Settings, hash_key
from fordhatch.core import Timer
from fordhatch.daemon import Edges, Node
from fordhatch.platform import Instance
from fordhatch.routing import CallerRequest
from fordhatch_standins import (
    Engine,
    EngineProfile,
    MemoryEngines,
    MemoryNetwork,
    MemoryPlatform,
    PlainServer,
    token_text,
)

REGION = "gulf-south"
EXAMPLE = Path(__file__).parents[1] / "examples" / "pruitt.json"


@attrs.define(eq=False)
class Site:
    """A region with a few nodes and backend servers."""

    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    engines: MemoryEngines = attrs.field(factory=MemoryEngines)
    nodes: list[Node] = attrs.field(factory=list)
    platforms: dict[str, MemoryPlatform] = attrs.field(factory=dict)
    revision: int = 0

    async def add_engine(
        self,
        name: str,
        *,
        domain: str = "fabric-1",
        checks: bool = True,
        **profile: Any,
    ) -> Engine:
        address = f"{name}:80"
        engine = await self.engines.add_engine(
            address, EngineProfile(name, checks, **profile)
        )
        self.platform.listed[name] = Instance(
            name, address, REGION, "mobile-yard", domain, "a100", checks_orders=checks
        )
        return engine

    def add_plain(self, name: str, service: str = "yard-app") -> PlainServer:
        address = f"{name}:80"
        server = PlainServer(name)
        self.engines.servers[address] = server
        self.platform.listed[name] = Instance(
            name, address, REGION, "mobile-yard", "", "", service=service
        )
        return server

    async def add_node(self, index: int, *, platform: Any = None) -> Node:
        document = {
            "node_id": f"node-{index}",
            "region": REGION,
            "zone": ["mobile-yard", "savannah-yard", "houston-yard"][index % 3],
            "callers": {"host": "n", "port": 0},
            "operators": {"host": "n", "port": 0},
            "peers": {"host": "n", "port": 7000 + index},
            "shared_key": "a-shared-key-for-tests",
            "operator_tokens": {"ops": hash_key("token")},
            "platform_url": "http://platform",
            "seeds": ["n:7001", "n:7002"],
        }
        settings = Settings.from_json(json.dumps(document).encode()).unwrap()
        timer = Timer.from_seed(index)
        timer.wall_clock = lambda: 1e9 + asyncio.get_running_loop().time()
        edges = Edges(
            platform or self.platform,
            self.engines,
            self.network.pool(settings.node_id, str(settings.peers)),
            self.network.open_endpoint,
        )
        node = Node.from_edges(settings, timer, edges)
        await node.start()
        self.nodes.append(node)
        return node

    def declared(self, **service: Any) -> dict[str, Any]:
        document = json.loads(EXAMPLE.read_text())
        document["model_services"][0].update({"groups": 2, **service})
        document["plain_services"][0]["runners"] = 1
        return document

    async def apply(self, document: dict[str, Any], node: int = 0) -> None:
        content = json.dumps(document).encode()
        request = ApplyRequest(content, self.revision, f"a{self.revision}", "ops")
        done = await self.nodes[node].applier.apply(request)
        self.revision = done.unwrap().revision

    async def until(self, holds: Callable[[], bool], limit_s: float = 30.0) -> float:
        """Wait until something holds; return the virtual seconds it took."""
        start_s = asyncio.get_running_loop().time()
        while not holds():
            passed_s = asyncio.get_running_loop().time() - start_s
            assert passed_s < limit_s, "did not happen in time"
            await asyncio.sleep(0.05)
        return asyncio.get_running_loop().time() - start_s

    def serving(self) -> set[tuple[str, int]]:
        """Return the groups and epochs for which some node holds a permit."""
        return {
            (group_id, node.groups.rows[group_id].epoch)
            for node in self.nodes
            for group_id in node.permits.held()
        }

    def planner(self) -> Node | None:
        leaders = [node for node in self.nodes if node.planner.is_leader()]
        assert len(leaders) <= 1, "two nodes hold the lease"
        return leaders[0] if leaders else None

    def violations(self) -> list[str]:
        return [
            name
            for node in self.nodes
            for guard in (
                node.config.guard,
                node.groups.guard,
                node.permits.guard,
                node.planner.lease.guard,
                node.planner.state.guard,
            )
            for name in guard.violations
        ]

    def request(
        self,
        text: str = "dent",
        *,
        key: str = "",
        repeatable: bool = True,
        tokens: int = 16,
        timeout_s: float = 30.0,
        application: str = "estimates",
        path: str = "/v1/chat/completions",
    ) -> CallerRequest:
        declared = self.nodes[0].config.current.declared
        app = declared.application(application)
        is_model = application == "estimates"
        body: dict[str, Any] = {"text": text}
        if is_model:
            message = {"role": "user", "content": text}
            body = {"messages": [message], "max_tokens": tokens}
        return CallerRequest(
            workspace=declared.workspaces[0],
            application=app,
            method="POST",
            path=path,
            headers={},
            body=json.dumps(body).encode(),
            timeout_s=timeout_s,
            repeatable=repeatable and app.may_repeat("POST", path),
            is_model=is_model,
            idempotency_key=key,
            prefix=text,
        )

    async def ask(self, request: CallerRequest, node: int = 0) -> Any:
        """Run a request through a node; delivered tokens must be in order."""
        got: list[str] = []

        async def deliver(index: int, text: str) -> None:
            assert index == len(got), "a token out of order reached the caller"
            got.append(text)

        done = await self.nodes[node].entry.run(request, deliver)
        if done.is_ok() and request.is_model:
            assert "".join(got) == done.unwrap().text
        return done

    async def kill_node(self, index: int) -> None:
        node = self.nodes.pop(index)
        self.network.drop(str(node.settings.peers))
        # A killed process hands nothing over and cancels nothing.
        node.home.engines = MemoryEngines()
        for part in (node._tasks, node.watcher._tasks, node.home._tasks):
            await part.close()
        for part in (node.claims._tasks, node.planner.orders._tasks):
            await part.close()
        await node.membership.close()

    async def close(self) -> None:
        for node in self.nodes:
            await node.close()
        await self.engines.close()


def expected_text(text: str, tokens: int = 16) -> str:
    return "".join(token_text(text, "", index) for index in range(tokens))


def virtual_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose clock jumps to the next timer as soon as nothing is due."""
    return looptime.new_event_loop(start=1000.0, noop_cycles=0)


@pytest.fixture
def virtual() -> Iterator[Callable[[Callable[[Site], Awaitable[None]]], None]]:
    """Run a scenario on a virtual clock and check the program's own invariants."""

    def run(scenario: Callable[[Site], Awaitable[None]]) -> None:
        loop = virtual_loop()

        async def whole() -> None:
            site = Site()
            try:
                await scenario(site)
                assert site.violations() == []
            finally:
                await site.close()

        try:
            loop.run_until_complete(whole())
        finally:
            loop.close()

    yield run


async def small_site(
    site: Site, *, nodes: int = 3, engines: int = 9, **service: Any
) -> None:
    """Start nodes, engines and a plain service, and wait until all serves."""
    for index in range(engines):
        await site.add_engine(f"gpu-{index + 1}")
    site.add_plain("yard-1")
    for index in range(nodes):
        await site.add_node(index + 1)
    document = site.declared(**service)
    await site.apply(document)
    wanted = document["model_services"][0]["groups"] + 1
    await site.until(lambda: len(site.serving()) == wanted)
