"""The daemon's life: start, serve, drain, stop."""

from __future__ import annotations

import asyncio
import signal

import attrs
from sanic import Sanic

from fordhatch.config import Address, Settings
from fordhatch.core import log_event

from ._callers import CallersApp
from ._node import Node
from ._operators import OperatorsApp

DRAIN_POLL_S = 0.05
"""How often a leaving daemon looks whether its last request has ended."""


@attrs.define(eq=False)
class Daemon:
    """A node with its two HTTP interfaces."""

    node: Node
    callers: CallersApp
    operators: OperatorsApp

    @classmethod
    def from_settings(cls, settings: Settings) -> Daemon:
        """Build a daemon that has not been started."""
        node = Node.from_settings(settings)
        return cls(node, CallersApp.from_node(node), OperatorsApp.from_node(node))

    async def run(self) -> None:
        """Serve until a signal to stop arrives, then drain."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self.node.start()
        settings = self.node.settings
        callers = await _listen(self.callers.app, settings.callers)
        operators = await _listen(self.operators.app, settings.operators)
        log_event(
            "listening",
            callers=str(settings.callers),
            operators=str(settings.operators),
        )
        await stop.wait()
        await self._drain(callers)
        operators.close()
        await self.node.close()

    async def _drain(self, callers: asyncio.Server) -> None:
        """Take part in no new work, but finish all that was taken on."""
        timing = self.node.settings.timing
        timer = self.node.timer
        await self.node.leave()
        # The balancer needs a moment to see that the node is not ready; what it
        # sends until then is still served.
        await timer.sleep(timing.drain_grace_s)
        callers.close()
        deadline_s = timer.now_s() + timing.drain_limit_s
        while self._in_flight() and timer.now_s() < deadline_s:
            await timer.sleep(DRAIN_POLL_S)
        log_event("drained", left=self._in_flight())

    def _in_flight(self) -> int:
        return self.callers.open_requests + self.node.home.total_in_flight()


async def _listen(app: Sanic, address: Address) -> asyncio.Server:
    server = await app.create_server(
        address.host, address.port, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.start_serving()
    return server
