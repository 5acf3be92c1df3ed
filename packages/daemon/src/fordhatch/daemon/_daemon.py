"""A node with the HTTP interfaces for its callers and its operators."""

from __future__ import annotations

import asyncio
import signal

import attrs
from sanic import Sanic

from fordhatch.chat import ChatServer, ClaimService
from fordhatch.config import DECLARED_ROW, Address, Settings
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.node import STOP_SIGNALS, Clients, Node, ProcessEnd, StopSignal
from fordhatch.operators import OperatorsApp
from fordhatch.serving import HttpServer

CLAIM_CLEANUP_INTERVAL_S = 10.0
"""Time between two runs of the claim clean-up, on the planner's node only."""


@attrs.define(eq=False, repr=False)
class Daemon:
    """A node and its HTTP interfaces for callers and operators."""

    settings: Settings
    node: Node
    claims: ClaimService
    callers: ChatServer
    operators: OperatorsApp
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_settings(cls, settings: Settings) -> Daemon:
        """Build a daemon without starting it; requires a running event loop."""
        node_settings = settings.to_node_settings()
        timer = Timer.from_seed(settings.node_name)
        clients = Clients.from_settings(node_settings, timer)
        return cls.from_clients(settings, timer, clients)

    @classmethod
    def from_clients(cls, settings: Settings, timer: Timer, clients: Clients) -> Daemon:
        """Build a daemon on given clients, without starting it.

        Args:
            settings: The validated settings.
            timer: The timer that every part of the process uses.
            clients: Clients for the store, the backend servers and the other nodes;
                closed with the daemon.
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
            node.view.own.copy,
        )
        callers = ChatServer.create(node.path, claims, settings.limits, timer)
        operators = OperatorsApp.from_node(node, settings)
        return cls(settings, node, claims, callers, operators)

    async def start(self) -> None:
        """Start the node and the background tasks, without listening for requests."""
        await self.node.start()
        cleanup_loop = self.node.timer.every(
            CLAIM_CLEANUP_INTERVAL_S, self._clean_claims, name="clean"
        )
        self._tasks.spawn(cleanup_loop, "clean")
        kept_claims_loop = self.node.timer.supervise(
            self.claims.restorer.run, name="kept-claims"
        )
        self._tasks.spawn(kept_claims_loop, "kept-claims")

    async def _clean_claims(self) -> None:
        if self.node.lease.is_held():
            await self.claims.clean()

    async def run(self, end: ProcessEnd) -> None:
        """Serve until a stop signal arrives, then drain and close.

        Args:
            end: The end of the process.
        """
        # Nothing is reloaded, and a closed terminal would end the process at once.
        numbers = (*STOP_SIGNALS, signal.SIGHUP)
        stop = StopSignal.listen(self.node.timer, numbers)
        end.observe(self.node.state.requests)
        await self.start()
        operators = await _listen(self.operators.app, self.settings.operators)
        callers = await HttpServer.listen(
            str(self.settings.callers), self.callers.handle
        )
        self.node.state.memory.add_buffers("callers", callers.buffered_bytes)
        log_event("listening", callers=str(self.settings.callers))
        since_s = await stop.wait()
        await self.node.leave(
            callers,
            listen_for_s=self.settings.timing.drain_grace_s,
            since_s=since_s,
            lateness_s=stop.lateness_s(),
            on_plan=lambda plan: end.limit(self.node.state, plan),
        )
        operators.close()
        await end.close(self.node.state, callers.close, self.close, stop.close)

    async def close(self) -> None:
        """Stop the background tasks, the claim service and the node."""
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
