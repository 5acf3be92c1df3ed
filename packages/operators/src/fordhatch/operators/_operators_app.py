"""The HTTP interface for operators: apply a file and read the active state."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result
from sanic import HTTPResponse, Request, Sanic, json, raw

from fordhatch.config import ApplyRequest, ConfigApplier, Settings, ZoneOperations
from fordhatch.core import Failure, ResultCode
from fordhatch.node import Node, render

from ._http_errors import failure_response, new_app
from ._state_reader import ReadResult, StateReader

MAX_READ_WAIT_S = 8.0
"""Longest wait of a read for the revision that it requires. An accepted file is
active on every node within this time."""

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Largest accepted operators' file."""

RETRY_AFTER_S = 1.0
"""``Retry-After`` of a read whose revision is not active on the node yet."""

_ReadCall = Callable[[], Awaitable[ReadResult]]


@attrs.define(eq=False, repr=False)
class OperatorsApp:
    """HTTP application that authenticates operators, applies files and serves reads."""

    node: Node
    settings: Settings
    applier: ConfigApplier
    zones: ZoneOperations
    reader: StateReader
    app: Sanic

    @classmethod
    def from_node(cls, node: Node, settings: Settings) -> OperatorsApp:
        """Return the application of a node, with its routes."""
        # Sanic requires a unique name for each application in a process.
        app = new_app(f"operators-{secrets.token_hex(4)}", MAX_FILE_BYTES)
        row_bytes = settings.limits.row_bytes
        applier = ConfigApplier(node.clients.store, node.timer, row_bytes)
        zones = ZoneOperations(node.clients.store, node.timer)
        operators = cls(node, settings, applier, zones, StateReader(node), app)
        app.add_route(operators.apply, "/config", methods=["PUT"])
        app.add_route(operators.change_zone, "/zones", methods=["PUT"])
        reader = operators.reader
        reads: dict[str, _ReadCall] = {
            "/config": reader.config,
            "/services": reader.services,
            "/groups": reader.groups,
            "/backends": reader.backends,
            "/nodes": reader.nodes,
            "/zones": reader.zones,
            "/status": reader.status,
        }
        for path, read in reads.items():
            handler = operators._read_handler(read)
            app.add_route(handler, path, methods=["GET"], name=f"read-{path[1:]}")
        app.add_route(operators.audit, "/audit", methods=["GET"])
        app.add_route(operators.metrics, "/metrics", methods=["GET"])
        return operators

    def _authenticate(self, request: Request) -> Result[str, Failure]:
        name = self.settings.operator_of(request.token or "")
        if name is None:
            return Err(Failure.from_code(ResultCode.UNAUTHENTICATED))
        return Ok(name)

    async def metrics(self, request: Request) -> HTTPResponse:
        """Return every metric as text; scrapers need no token."""
        metrics_text = render(self.node)
        return raw(metrics_text, content_type="text/plain; version=0.0.4")

    async def apply(self, request: Request) -> HTTPResponse:
        """Apply the operators' file in the request body."""
        operator = self._authenticate(request)
        if operator.is_err():
            return failure_response(operator.unwrap_err())
        base_revision = request.args.get("base_revision", "")
        if not base_revision.isdigit():
            text = "base_revision must be a number"
            return failure_response(Failure.from_code(ResultCode.BAD_REQUEST, text))
        apply_id = request.args.get("apply_id") or f"apply-{secrets.token_hex(10)}"
        apply_request = ApplyRequest(
            request.body, int(base_revision), apply_id, operator.unwrap()
        )
        applied = await self.applier.apply(apply_request)
        if applied.is_err():
            return failure_response(applied.unwrap_err())
        return json({"apply_id": apply_id, **attrs.asdict(applied.unwrap())})

    async def change_zone(self, request: Request) -> HTTPResponse:
        """Evacuate or restore the availability zone that the query names."""
        operator = self._authenticate(request)
        if operator.is_err():
            return failure_response(operator.unwrap_err())
        zone, state = request.args.get("zone", ""), request.args.get("state", "")
        if state not in ("evacuated", "in_use"):
            text = "state must be evacuated or in_use"
            return failure_response(Failure.from_code(ResultCode.BAD_REQUEST, text))
        is_evacuated = state == "evacuated"
        if is_evacuated and zone not in self.node.view.known_zones():
            text = f"no node and no backend server is known in zone {zone!r}"
            return failure_response(Failure.from_code(ResultCode.ZONE_UNKNOWN, text))
        changed = await self.zones.change(
            zone, operator.unwrap(), is_evacuated=is_evacuated
        )
        if changed.is_err():
            return failure_response(changed.unwrap_err())
        return json(attrs.asdict(changed.unwrap()))

    async def audit(self, request: Request) -> HTTPResponse:
        """Return a page of the audit trail."""
        operator = self._authenticate(request)
        if operator.is_err():
            return failure_response(operator.unwrap_err())
        result = await self.reader.audit(request.args.get("after", ""))
        return self._respond(result)

    def _read_handler(
        self, read: _ReadCall
    ) -> Callable[[Request], Awaitable[HTTPResponse]]:
        """Return a handler for a read.

        The handler checks the operator's token and waits until the revision given as
        ``min_revision`` is active.
        """

        async def handler(request: Request) -> HTTPResponse:
            operator = self._authenticate(request)
            if operator.is_err():
                return failure_response(operator.unwrap_err())
            min_revision = request.args.get("min_revision", "0")
            if not min_revision.isdigit():
                text = "min_revision must be a number"
                return failure_response(Failure.from_code(ResultCode.BAD_REQUEST, text))
            configuration = self.node.view.configuration
            if not await configuration.wait_for(int(min_revision), MAX_READ_WAIT_S):
                text = (
                    f"revision {configuration.version} is in force, "
                    f"not yet {min_revision}"
                )
                failure = Failure.from_code(
                    ResultCode.REVISION_NOT_REACHED, text, retry_after_s=RETRY_AFTER_S
                )
                return failure_response(failure)
            return self._respond(await read())

        return handler

    def _respond(self, result: ReadResult) -> HTTPResponse:
        if result.is_err():
            return failure_response(result.unwrap_err())
        revision = self.node.view.configuration.version
        return json({"revision": revision, **result.unwrap()})
