"""The HTTP interface for operators: applying a file and reading back."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result
from sanic import HTTPResponse, Request, Sanic, json, raw

from fordhatch.config import ApplyRequest, ConfigApplier, Settings
from fordhatch.core import Failure, ResultCode
from fordhatch.node import Node, render

from ._http_errors import failure_response, new_app
from ._reader import Found, Reader

READ_WAIT_S = 8.0
"""Longest wait for a revision that an operator wants to read back; an accepted file
is in force everywhere within it."""

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Longest operators' file."""

RETRY_AFTER_S = 1.0
"""When to ask again for a revision that has not come yet."""

_Read = Callable[[], Awaitable[Found]]


@attrs.define(eq=False, repr=False)
class OperatorsApp:
    """Checks operators' tokens, applies files and reads back."""

    node: Node
    settings: Settings
    applier: ConfigApplier
    reader: Reader
    app: Sanic

    @classmethod
    def from_node(cls, node: Node, settings: Settings) -> OperatorsApp:
        """Return the application with its routes."""
        # The library wants another name for each application of a process.
        app = new_app(f"operators-{secrets.token_hex(4)}", MAX_FILE_BYTES)
        row_bytes = settings.limits.row_bytes
        applier = ConfigApplier(node.clients.store, node.timer, row_bytes)
        operators = cls(node, settings, applier, Reader(node), app)
        app.add_route(operators.apply, "/config", methods=["PUT"])
        reader = operators.reader
        reads: dict[str, _Read] = {
            "/config": reader.config,
            "/services": reader.services,
            "/groups": reader.groups,
            "/backends": reader.backends,
            "/nodes": reader.nodes,
            "/status": reader.status,
        }
        for path, read in reads.items():
            handler = operators.reading(read)
            app.add_route(handler, path, methods=["GET"], name=f"read-{path[1:]}")
        app.add_route(operators.audit, "/audit", methods=["GET"])
        app.add_route(operators.metrics, "/metrics", methods=["GET"])
        return operators

    def _operator(self, request: Request) -> Result[str, Failure]:
        name = self.settings.operator_of(request.token or "")
        if name is None:
            return Err(Failure.from_code(ResultCode.UNAUTHENTICATED))
        return Ok(name)

    async def metrics(self, request: Request) -> HTTPResponse:
        """Return every metric as text; no token, for the scraper's sake."""
        page = render(self.node)
        return raw(page, content_type="text/plain; version=0.0.4")

    async def apply(self, request: Request) -> HTTPResponse:
        """Accept an operators' file."""
        operator = self._operator(request)
        if operator.is_err():
            return failure_response(operator.unwrap_err())
        base = request.args.get("base_revision", "")
        if not base.isdigit():
            text = "base_revision must be a number"
            return failure_response(Failure.from_code(ResultCode.BAD_REQUEST, text))
        apply_id = request.args.get("apply_id") or f"apply-{secrets.token_hex(10)}"
        wanted = ApplyRequest(request.body, int(base), apply_id, operator.unwrap())
        done = await self.applier.apply(wanted)
        if done.is_err():
            return failure_response(done.unwrap_err())
        return json({"apply_id": apply_id, **attrs.asdict(done.unwrap())})

    async def audit(self, request: Request) -> HTTPResponse:
        """Return a page of the audit trail."""
        operator = self._operator(request)
        if operator.is_err():
            return failure_response(operator.unwrap_err())
        found = await self.reader.audit(request.args.get("after", ""))
        return self._answer(found)

    def reading(self, read: _Read) -> Callable[[Request], Awaitable[HTTPResponse]]:
        """Return a handler that checks the token and the lowest revision wanted."""

        async def handler(request: Request) -> HTTPResponse:
            operator = self._operator(request)
            if operator.is_err():
                return failure_response(operator.unwrap_err())
            lowest = request.args.get("min_revision", "0")
            if not lowest.isdigit():
                text = "min_revision must be a number"
                return failure_response(Failure.from_code(ResultCode.BAD_REQUEST, text))
            configuration = self.node.view.configuration
            if not await configuration.wait_for(int(lowest), READ_WAIT_S):
                text = f"revision {configuration.version} is in force, not yet {lowest}"
                failure = Failure.from_code(
                    ResultCode.REVISION_NOT_REACHED, text, retry_after_s=RETRY_AFTER_S
                )
                return failure_response(failure)
            return self._answer(await read())

        return handler

    def _answer(self, found: Found) -> HTTPResponse:
        if found.is_err():
            return failure_response(found.unwrap_err())
        revision = self.node.view.configuration.version
        return json({"revision": revision, **found.unwrap()})
