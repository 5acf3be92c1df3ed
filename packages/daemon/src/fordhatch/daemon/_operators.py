"""The HTTP interface for operators: apply a file, read back what is in force."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from result import Err, Ok, Result
from sanic import HTTPResponse, Request, Sanic, json, raw

from fordhatch.config import ApplyRequest, ModelService
from fordhatch.core import Failure, ResultCode, metrics, new_id
from fordhatch.groups import GroupRow
from fordhatch.protocol.messages import QueryStatus, StatusReply

from ._http_errors import failure_response, new_app
from ._node import Node

READ_WAIT_S = 8.0
"""Longest wait of a read for the revision that it asks for."""

STATUS_TIMEOUT_S = 2.0
"""How long a node may take to say what it has in force."""

STATUS_AT_ONCE = 32
"""Nodes asked at the same time."""

MOST_FILE_BYTES = 8 * 1024 * 1024
"""Longest operators' file."""

_Read = Callable[[], Awaitable[Result[Any, Failure]]]


@attrs.define(eq=False)
class OperatorsApp:
    """Checks operators' tokens and answers from this node's state."""

    node: Node
    app: Sanic

    @classmethod
    def from_node(cls, node: Node) -> OperatorsApp:
        """Return the application with its routes."""
        name = f"operators-{node.settings.node_id.replace('.', '-')}"
        app = new_app(name, MOST_FILE_BYTES, 60.0)
        operators = cls(node, app)
        app.add_route(operators.apply, "/config", methods=["PUT"])
        reads: dict[str, _Read] = {
            "/config": operators.read_config,
            "/services": operators.read_services,
            "/groups": operators.read_groups,
            "/instances": operators.read_instances,
            "/nodes": operators.read_nodes,
            "/audit": operators.read_audit,
            "/status": operators.read_status,
        }
        for path, read in reads.items():
            app.add_route(
                operators.reading(read),
                path,
                methods=["GET"],
                name=f"read-{path[1:]}",
            )
        app.add_route(operators.metrics, "/metrics", methods=["GET"])
        return operators

    def _operator(self, request: Request) -> Result[str, Failure]:
        name = self.node.settings.operator_of(request.token or "")
        if name is None:
            return Err(Failure.from_code(ResultCode.UNAUTHENTICATED))
        return Ok(name)

    async def metrics(self, request: Request) -> HTTPResponse:
        """Return every metric as text; no token, for the scraper's sake."""
        metrics.NODES_ALIVE.set(len(self.node.membership.table.usable()))
        return raw(metrics.render_metrics(), content_type="text/plain; version=0.0.4")

    async def apply(self, request: Request) -> HTTPResponse:
        """Accept an operators' file."""
        operator = self._operator(request)
        if operator.is_err():
            return failure_response(operator.unwrap_err())
        base = request.args.get("base_revision", "")
        if not base.isdigit():
            text = "base_revision must be a number"
            return failure_response(Failure.from_code(ResultCode.BAD_REQUEST, text))
        apply_id = request.args.get("apply_id") or new_id("apply")
        wanted = ApplyRequest(request.body, int(base), apply_id, operator.unwrap())
        done = await self.node.applier.apply(wanted)
        if done.is_err():
            return failure_response(done.unwrap_err())
        accepted = done.unwrap()
        self.node.config.adopt(accepted.revision, accepted.digest, request.body)
        return json({"apply_id": apply_id, **attrs.asdict(accepted)})

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
            if int(lowest):
                reached = await self.node.config.wait_for(int(lowest), READ_WAIT_S)
                if reached.is_err():
                    return failure_response(reached.unwrap_err())
            found = await read()
            if found.is_err():
                return failure_response(found.unwrap_err())
            return json({"revision": self.node.config.revision, **found.unwrap()})

        return handler

    async def read_config(self) -> Result[dict[str, Any], Failure]:
        """Return the declared state in force."""
        current = self.node.config.current
        if current is None:
            return Ok({"digest": None, "config": None})
        return Ok({"digest": current.digest, "config": current.to_json()})

    async def read_services(self) -> Result[dict[str, Any], Failure]:
        """Return each service with its declared and serving groups."""
        current = self.node.config.current
        if current is None:
            return Ok({"services": []})
        serving = await self._serving()
        declared = current.declared
        services = [
            self._service(service.name, service, serving)
            for service in [*declared.model_services, *declared.plain_services]
        ]
        return Ok({"services": services})

    def _service(self, name: str, service: Any, serving: set[str]) -> dict[str, Any]:
        rows = [r for r in self.node.groups.present() if r.service == name]
        is_model = isinstance(service, ModelService)
        return {
            "name": name,
            "kind": "model" if is_model else "plain",
            "region": service.region,
            "version": service.version if is_model else "",
            "declared": service.groups if is_model else service.runners,
            "formed": len(rows),
            "serving": sum(r.group_id in serving for r in rows),
        }

    async def read_groups(self) -> Result[dict[str, Any], Failure]:
        """Return every group that is not dissolved."""
        serving = await self._serving()
        rows = sorted(self.node.groups.present(), key=lambda r: r.group_id)
        return Ok({"groups": [_group(row, row.group_id in serving) for row in rows]})

    async def read_instances(self) -> Result[dict[str, Any], Failure]:
        """Return the platform's instances of this region and what they belong to."""
        listed = await self.node.platform.instances(self.node.settings.region)
        if listed.is_err():
            return listed
        group_of = {
            member.instance_id: row.group_id
            for row in self.node.groups.present()
            for member in row.members
        }
        instances = [
            {**attrs.asdict(i), "group_id": group_of.get(i.instance_id, "")}
            for i in sorted(listed.unwrap(), key=lambda i: i.instance_id)
        ]
        return Ok({"instances": instances})

    async def read_nodes(self) -> Result[dict[str, Any], Failure]:
        """Return every node as this one sees it."""
        table = self.node.membership.table
        records = [table.own, *(e.record for e in table.entries.values())]
        records.sort(key=lambda r: r.node_id)
        return Ok({"nodes": [attrs.asdict(r) for r in records]})

    async def read_audit(self) -> Result[dict[str, Any], Failure]:
        """Return the audit trail."""
        found = await self.node.applier.audit()
        return found.map(lambda rows: {"audit": rows})

    async def read_status(self) -> Result[dict[str, Any], Failure]:
        """Return how far the declared state is in force."""
        replies = await self._ask_nodes()
        revision = self.node.config.revision
        in_force = sum(r.config_revision >= revision for r in replies)
        services = (await self.read_services()).unwrap()["services"]
        converged = all(s["serving"] >= s["declared"] for s in services)
        return Ok(
            {
                "nodes_known": len(self.node.membership.table.not_dead()),
                "nodes_answering": len(replies),
                "nodes_in_force": in_force,
                "nodes_ready": sum(r.ready for r in replies),
                "planners": {
                    r.planner_region: r.node_id for r in replies if r.planner_region
                },
                "converged": converged,
                "services": services,
            }
        )

    async def _serving(self) -> set[str]:
        """Return the groups for which some node holds a permit."""
        replies = await self._ask_nodes()
        return {group_id for reply in replies for group_id in reply.permits}

    async def _ask_nodes(self) -> list[StatusReply]:
        gate = asyncio.Semaphore(STATUS_AT_ONCE)

        async def ask(address: str) -> StatusReply | None:
            async with gate:
                reply = await self.node.pool.request(
                    address, QueryStatus(), STATUS_TIMEOUT_S
                )
            return reply.unwrap() if reply.is_ok() else None

        others = self.node.membership.table.reachable()
        replies = await asyncio.gather(*(ask(other.address) for other in others))
        return [self.node.status(), *(r for r in replies if r is not None)]


def _group(row: GroupRow, serving: bool) -> dict[str, Any]:
    return {
        "group_id": row.group_id,
        "service": row.service,
        "region": row.region,
        "state": row.state,
        "serving": serving,
        "epoch": row.epoch,
        "version": row.version,
        "fabric_domain": row.fabric_domain,
        "members": [m.instance_id for m in row.members],
        "leaving": row.leaving,
    }
