"""Reads of the active state for operators, as one node sees it."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import attrs
from result import Ok, Result

from fordhatch.adapter import evacuation_key
from fordhatch.catalog import BackendServer
from fordhatch.config import (
    DeclaredConfiguration,
    ModelService,
    ZoneChange,
    model_name,
    read_audit,
    read_zone_changes,
)
from fordhatch.core import Failure
from fordhatch.node import Node
from fordhatch.protocol.messages import QueryStatus, StatusReply
from fordhatch.registry import ReplicaGroup

STATUS_TIMEOUT_S = 1.5
"""Timeout for a status query to another node."""

MAX_CONCURRENT_STATUS_QUERIES = 32
"""Limit of status queries in flight at the same time."""

AUDIT_PAGE_RECORDS = 200
"""Audit records in one page."""

ReadResult = Result[dict[str, Any], Failure]


@attrs.define(eq=False, repr=False)
class StateReader:
    """Builds the responses to operators' reads from a node's view."""

    node: Node

    @property
    def _configuration(self) -> DeclaredConfiguration | None:
        return self.node.view.configuration.current

    async def config(self) -> ReadResult:
        """Return the active declared configuration."""
        current = self._configuration
        if current is None:
            return Ok({"digest": None, "config": None})
        declared = json.loads(current.head.content)
        return Ok({"digest": current.head.digest, "config": declared})

    async def services(self) -> ReadResult:
        """Return services with their counts of declared, formed and serving groups."""
        return Ok({"services": self._services()})

    def _services(self) -> list[dict[str, Any]]:
        current = self._configuration
        if current is None:
            return []
        declared = current.declared
        models = [self._model_service_json(s) for s in declared.model_services]
        plain = [self._plain_service_json(s.name) for s in declared.plain_services]
        return [*models, *plain]

    def _model_service_json(self, service: ModelService) -> dict[str, Any]:
        groups = [
            g
            for g in self.node.view.directory.groups(service.accelerator).values()
            if g.model == model_name(service)
        ]
        return {
            "name": service.name,
            "kind": "model",
            "version": service.version,
            "declared": service.groups,
            "formed": len(groups),
            "serving": sum(_is_serving(g) for g in groups),
        }

    def _plain_service_json(self, name: str) -> dict[str, Any]:
        directory = self.node.view.directory
        return {
            "name": name,
            "kind": "plain",
            "version": "",
            "declared": 1,
            "formed": len(directory.of_service(name)),
            "serving": len(directory.plain(name)),
        }

    async def groups(self) -> ReadResult:
        """Return every group of which a backend server reports to be a member."""
        current = self._configuration
        accelerators = current.declared.accelerators if current else []
        directory = self.node.view.directory
        found = [
            _group_json(accelerator.name, group)
            for accelerator in accelerators
            for group in directory.groups(accelerator.name).values()
        ]
        return Ok({"groups": sorted(found, key=lambda g: g["group"])})

    async def backends(self) -> ReadResult:
        """Return every registered backend server with its service and group."""
        listed = self.node.view.directory.backends.values()
        found = [_backend_json(b) for b in sorted(listed, key=lambda b: b.backend_id)]
        return Ok({"backends": found})

    async def nodes(self) -> ReadResult:
        """Return every registered node, with the status of those that answer."""
        replies = {reply.node_name: reply for reply in await self._query_nodes()}
        found = []
        for name, address in sorted(self.node.view.shared.nodes.items()):
            reply = replies.get(name)
            found.append(
                {
                    "node": name,
                    "address": address.address,
                    "zone": address.zone,
                    "answers": reply is not None,
                    "ready": reply is not None and reply.is_ready,
                    "planner": reply is not None and reply.is_planner,
                    "revision": reply.configuration_version if reply else 0,
                }
            )
        return Ok({"nodes": found})

    async def zones(self) -> ReadResult:
        """Return every availability zone, its state and since when it is in it."""
        view = self.node.view
        read = await read_zone_changes(self.node.clients.store)
        # Without the store, only the times of evacuated zones are known.
        changes = read.unwrap() if read.is_ok() else {}
        rows = view.operators.copy.rows
        for zone in view.evacuations.zones():
            row = rows.get(evacuation_key(zone))
            if row is not None:
                changes[zone] = ZoneChange.from_row(zone, row.value)
        nodes = Counter(n.zone for n in view.shared.nodes.values())
        backends = Counter(b.zone for b in view.directory.backends.values())
        found = [
            {
                "zone": zone,
                "state": "evacuated" if is_evacuated else "in use",
                **_since_json(changes.get(zone), is_evacuated=is_evacuated),
                "nodes": nodes[zone],
                "backends": backends[zone],
            }
            for zone in sorted(view.known_zones() | view.evacuations.zones())
            for is_evacuated in (view.evacuations.is_evacuated(zone),)
        ]
        return Ok({"zones": found})

    async def audit(self, after_key: str = "") -> ReadResult:
        """Return a page of the audit trail, without the contents of the files.

        Args:
            after_key: The ``next`` of the previous page; empty for the first page.
        """
        page = await read_audit(self.node.clients.store, after_key, AUDIT_PAGE_RECORDS)
        if page.is_err():
            return page
        records, end = page.unwrap()
        rows = [attrs.asdict(r) for r in records]
        for row in rows:
            del row["content"]
        return Ok({"audit": rows, "next": end})

    async def status(self) -> ReadResult:
        """Return on how many nodes the declared state is active, and what is served."""
        replies = await self._query_nodes()
        revision = self.node.view.configuration.version
        services = self._services()
        converged = all(s["serving"] >= s["declared"] for s in services)
        return Ok(
            {
                "nodes_known": len(self.node.view.shared.nodes),
                "nodes_answering": len(replies),
                "nodes_in_force": sum(
                    r.configuration_version >= revision for r in replies
                ),
                "nodes_ready": sum(r.is_ready for r in replies),
                "planners": [r.node_name for r in replies if r.is_planner],
                "converged": bool(services) and converged,
                "services": services,
            }
        )

    async def _query_nodes(self) -> list[StatusReply]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STATUS_QUERIES)

        async def query(address: str) -> StatusReply | None:
            async with semaphore:
                pool = self.node.clients.pool
                reply = await pool.request(address, QueryStatus(), STATUS_TIMEOUT_S)
            found = reply.ok()
            return found if isinstance(found, StatusReply) else None

        other_addresses = [
            n.address
            for n in self.node.view.shared.nodes.values()
            if n.name != self.node.settings.node_name
        ]
        replies = await asyncio.gather(*(query(address) for address in other_addresses))
        return [self.node.status(), *(r for r in replies if r is not None)]


def _since_json(change: ZoneChange | None, *, is_evacuated: bool) -> dict[str, Any]:
    """Return since when a zone is in its state and by whom, None if not known."""
    if change is None or change.is_evacuated is not is_evacuated or not change.at_s:
        return {"since_s": None, "operator": ""}
    return {"since_s": round(change.at_s, 3), "operator": change.operator}


def _is_serving(group: ReplicaGroup) -> bool:
    return group.head is not None and group.head.is_open_head


def _group_json(service: str, group: ReplicaGroup) -> dict[str, Any]:
    head = group.head
    return {
        "group": group.name,
        "service": service,
        "model": group.model,
        "state": head.membership.state if head is not None else "headless",
        "serving": _is_serving(group),
        "epoch": group.epoch,
        "domain": next(iter(group.members.values())).domain,
        "members": [b.backend_id for _, b in sorted(group.members.items())],
    }


def _backend_json(backend: BackendServer) -> dict[str, Any]:
    membership = backend.membership
    return {
        "backend": backend.backend_id,
        "service": backend.service,
        "address": backend.address,
        "zone": backend.zone,
        "domain": backend.domain,
        "state": backend.state,
        "staged": list(backend.staged_models),
        "group": membership.group if membership is not None else "",
    }
