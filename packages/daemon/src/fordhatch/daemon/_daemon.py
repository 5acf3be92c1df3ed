"""A node with fordhatch's own edges: its callers and its operators."""

from __future__ import annotations

import asyncio

import attrs
from sanic import Sanic

from fordhatch.chat import ChatServer, ClaimService
from fordhatch.config import DECLARED_ROW, Address, Settings
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.node import Clients, Node, close_in_time, stop_event
from fordhatch.operators import OperatorsApp
from fordhatch.serving import HttpServer

CLEAN_INTERVAL_S = 10.0
"""Time between passes of the claim cleaner, on the planner's node."""


@attrs.define(eq=False, repr=False)
class Daemon:
    """A node and its two HTTP interfaces."""

    settings: Settings
    node: Node
    claims: ClaimService
    callers: ChatServer
    operators: OperatorsApp
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_settings(cls, settings: Settings) -> Daemon:
        """Build a daemon that has not been started; a running loop is needed."""
        node_settings = settings.to_node_settings()
        timer = Timer.from_seed(settings.node_name)
        clients = Clients.from_settings(node_settings, timer)
        return cls.from_clients(settings, timer, clients)

    @classmethod
    def from_clients(cls, settings: Settings, timer: Timer, clients: Clients) -> Daemon:
        """Build a daemon on clients of one's own.

        Args:
            settings: The checked settings.
            timer: The process's timer.
            clients: How the node reaches others; closed with the daemon.
        """
        node = Node.create(settings.to_node_settings(), timer, clients, DECLARED_ROW)
        claims = ClaimService(
            settings.node_name,
            node.start_id,
            clients.store,
            clients.pool,
            lambda: node.view.shared.nodes,
            timer,
            settings.limits.claim_expiry_s,
            settings.limits.row_bytes,
        )
        callers = ChatServer.create(node.path, claims, settings.limits, timer)
        operators = OperatorsApp.from_node(node, settings)
        return cls(settings, node, claims, callers, operators)

    async def start(self) -> None:
        """Start the node's parts; nothing listens yet."""
        await self.node.start()
        clean = self.node.timer.every(CLEAN_INTERVAL_S, self._clean, name="clean")
        self._tasks.spawn(clean, "clean")
        keep = self.node.timer.keep(self.claims.kept.run, name="kept-claims")
        self._tasks.spawn(keep, "kept-claims")

    async def _clean(self) -> None:
        if self.node.lease.is_held():
            await self.claims.clean()

    async def run(self) -> None:
        """Serve until a signal to stop arrives, then drain."""
        stop = stop_event()
        await self.start()
        operators = await _listen(self.operators.app, self.settings.operators)
        callers = await HttpServer.listen(
            str(self.settings.callers), self.callers.handle
        )
        log_event("listening", callers=str(self.settings.callers))
        await stop.wait()
        await self.node.leave(
            callers.stop_listening,
            listen_for_s=self.settings.timing.drain_grace_s,
        )
        operators.close()
        await close_in_time(callers.close, self.close)

    async def close(self) -> None:
        """End every part."""
        await self._tasks.close()
        await self.claims.close()
        await self.node.close()


async def _listen(app: Sanic, address: Address) -> asyncio.Server:
    server = await app.create_server(
        address.host, address.port, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.start_serving()
    return server
