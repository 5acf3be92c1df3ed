"""Listeners of a node for callers, the load balancer and the metrics scraper."""

from __future__ import annotations

import socket

import attrs
from aiohttp import web

from fordhatch.adapter import READY_PATH
from fordhatch.core import log_event, metrics
from fordhatch.serving import CallerServer, HttpHandler, HttpServer

from ._node import Node

METRICS_PORT = 9464
"""Port of the metrics page on every node; the deployment file names it as well."""

METRICS_PATH = "/metrics"


@attrs.define(eq=False, repr=False)
class PlatformEdge:
    """The listeners of a node on the platform."""

    node: Node
    callers: CallerServer
    _servers: list[HttpServer] = attrs.field(factory=list)
    _was_ready: bool | None = None
    """What the balancer was last told; None before its first question."""

    @classmethod
    def from_node(cls, node: Node) -> PlatformEdge:
        """Return the edge of a node, which does not listen yet."""
        return cls(node, CallerServer.from_path(node.path, node.timer))

    async def listen(self, callers_socket: socket.socket | None = None) -> None:
        """Listen at the addresses given in the settings.

        Args:
            callers_socket: A socket that already listens at the callers' address.
        """
        settings = self.node.settings
        await self._listen(settings.ready_address, self._answer_ready)
        metrics_address = f"{settings.instance_address}:{METRICS_PORT}"
        await self._listen(metrics_address, self._answer_metrics)
        await self._listen(settings.caller_address, self.callers.handle, callers_socket)
        memory = self.node.state.memory
        memory.add_buffers("callers", self.callers_server.buffered_bytes)
        log_event(
            "listening",
            callers=settings.caller_address,
            early=callers_socket is not None,
        )

    async def _listen(
        self, address: str, handler: HttpHandler, port: socket.socket | None = None
    ) -> None:
        head_timeout_s = self.callers.admission.head_timeout_s
        server = await HttpServer.listen(address, handler, port, head_timeout_s)
        self._servers.append(server)

    @property
    def callers_server(self) -> HttpServer:
        """The listener for callers, once it listens."""
        return self._servers[-1]

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.raw_path != READY_PATH:
            return web.Response(status=404)
        is_ready = self.node.state.is_ready()
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            metrics.NODE_READY.set(is_ready)
            log_event("readiness_changed", ready=is_ready)
        return web.Response(status=200 if is_ready else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.raw_path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=render(self.node), content_type="text/plain")

    async def close(self) -> None:
        """Close every listener and connection."""
        for server in self._servers:
            await server.close()


def render(node: Node) -> bytes:
    """Return the metrics page of a node with current gauge values."""
    view = node.view
    metrics.CONFIGURATION_VERSION.set(view.configuration.version)
    metrics.CONFIGURATION_AGE_SECONDS.set(view.configuration_age_s())
    for kind, size_bytes in node.state.memory.by_kind().items():
        metrics.HELD_BYTES.labels(kind).set(size_bytes)
    backends = view.directory.backends.values()
    in_use = view.evacuations.exclude(backends)
    metrics.OPEN_GROUPS.set(sum(b.is_open_head for b in in_use))
    engines = [b for b in backends if b.domain]
    metrics.STRANDED_BACKENDS.set(sum(b.membership is None for b in engines))
    return metrics.render_metrics()
