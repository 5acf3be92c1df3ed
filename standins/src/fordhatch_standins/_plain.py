"""A stand-in for a plain service such as a yard application or a payment kiosk."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter

import attrs
from aiohttp import web

from fordhatch.core import new_id, structure, unstructure
from fordhatch.engine import REFUSED_HEADER, BackendStatus


@attrs.define
class PlainFaults:
    """What is wrong with the service now."""

    leaving: bool = False
    refuse: bool = False
    delay_s: float = 0.0


@attrs.define(eq=False)
class PlainServer:
    """The state of one plain service process."""

    instance_id: str
    boot_id: str = attrs.field(factory=lambda: new_id("boot"))
    executions: Counter[str] = attrs.field(factory=Counter)
    faults: PlainFaults = attrs.field(factory=PlainFaults)

    def status(self) -> BackendStatus:
        """Return the service's own report."""
        return BackendStatus(
            self.instance_id, self.boot_id, "ready", leaving=self.faults.leaving
        )

    async def execute(self, method: str, path: str, body: bytes) -> bytes:
        """Run one call and return its answer."""
        digest = hashlib.sha256(body).hexdigest()
        self.executions[digest] += 1
        await asyncio.sleep(self.faults.delay_s)
        answer = {
            "served_by": self.instance_id,
            "method": method,
            "path": path,
            "body_sha256": digest,
        }
        return json.dumps(answer).encode()


def plain_app(server: PlainServer) -> web.Application:
    """Return the HTTP application of the stand-in."""
    app = web.Application(client_max_size=16 * 1024 * 1024)
    routes = web.RouteTableDef()

    @routes.get("/status")
    async def _status(_: web.Request) -> web.Response:
        return web.json_response(unstructure(server.status()))

    @routes.post("/faults")
    async def _faults(request: web.Request) -> web.Response:
        server.faults = structure(await request.json(), PlainFaults)
        return web.json_response({})

    @routes.get("/counts")
    async def _counts(_: web.Request) -> web.Response:
        return web.json_response({"executions": server.executions})

    @routes.route("*", "/{path:.*}")
    async def _serve(request: web.Request) -> web.Response:
        if server.faults.refuse:
            return web.Response(status=503, headers={REFUSED_HEADER: "1"})
        body = await request.read()
        answer = await server.execute(request.method, request.path, body)
        return web.Response(body=answer, content_type="application/json")

    app.add_routes(routes)
    return app
