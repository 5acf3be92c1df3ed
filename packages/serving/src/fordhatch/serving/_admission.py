"""Admission control: whether a request is served, and by which service."""

from __future__ import annotations

import random

import attrs
from result import Err, Ok, Result

from fordhatch.catalog import (
    BackendServer,
    CallFields,
    Configuration,
    Route,
    Workspace,
)
from fordhatch.core import Failure, ResultCode, Timer

from ._caller_connection import HEAD_TIMEOUT_S
from ._evacuated_zones import is_evacuated
from ._knowledge import Freshness
from ._node_state import NodeState
from ._request import ServedRequest
from ._route_table import RouteTable, choose_service
from ._stop_plan import OTHER_NODE_RETRY_AFTER_S, shutting_down
from .crashes import Quarantine
from .limits import BackpressureTracker


def due_s(route: Route, fields: CallFields, arrived_s: float) -> float:
    """Return when the final answer to a request is due, in monotonic seconds."""
    wait_s = route.timeout_s
    if fields.deadline_s is not None:
        wait_s = min(wait_s, fields.deadline_s)
    return arrived_s + wait_s


@attrs.define(eq=False, repr=False)
class Admission:
    """Checks the route, the API key and the freshness of the configuration."""

    state: NodeState
    timer: Timer
    rng: random.Random
    quarantine: Quarantine
    pressure: BackpressureTracker
    _routes: RouteTable = attrs.field(factory=RouteTable)

    @classmethod
    def from_state(
        cls,
        state: NodeState,
        timer: Timer,
        quarantine: Quarantine,
        pressure: BackpressureTracker,
    ) -> Admission:
        """Create a node's admission control and subscribe it to the configuration."""
        admission = cls(state, timer, timer.rng, quarantine, pressure)
        state.view.configuration.subscribe(admission._apply_configuration)
        return admission

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._routes = RouteTable.from_configuration(configuration)

    def max_body_bytes(self) -> int:
        """Return the longest body that the configuration allows, in bytes."""
        current = self.state.view.configuration.current
        return current.limits.max_body_bytes if current is not None else 0

    def head_timeout_s(self) -> float:
        """Return how long the head of a request may take, in seconds."""
        current = self.state.view.configuration.current
        return (
            current.limits.header_timeout_s if current is not None else HEAD_TIMEOUT_S
        )

    def find_route(self, host: str, target: str) -> Result[Route, Failure]:
        """Return the route of a request, or the refusal."""
        stopped = self.state.refusal()
        if stopped is not None:
            return Err(stopped)
        route = self._routes.find(host, target)
        if route is None:
            return Err(self._final_refusal(ResultCode.NOT_FOUND))
        return Ok(route)

    def admit(
        self,
        route: Route,
        fields: CallFields,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        arrived_s: float,
    ) -> Result[ServedRequest, Failure]:
        """Return the admitted request, or the refusal.

        Args:
            route: The request's route, from ``find_route`` or the caller's own table.
            fields: The fields of the request's headers.
            method: HTTP method.
            target: Path and query as sent.
            headers: The headers to forward to the backend server.
            body: The complete body.
            arrived_s: When the request's head was read, in monotonic seconds.
        """
        known = self.authenticate(route, fields.api_keys)
        if known.is_err():
            return Err(known.unwrap_err())
        service = choose_service(route, self.rng)
        if service is None:
            return Err(Failure.from_code(ResultCode.NO_GROUP_READY))
        request = ServedRequest(
            fields=fields,
            route=route,
            service=service,
            workspace=known.unwrap(),
            method=method,
            target=target,
            headers=headers,
            body=body,
            arrived_s=arrived_s,
            due_s=due_s(route, fields, arrived_s),
        )
        if self.state.is_past_admission(arrived_s):
            return Err(shutting_down())
        stopped = self.state.stop_refusal(request)
        return Ok(request) if stopped is None else Err(stopped)

    def recheck_for_backend(
        self, request: ServedRequest, backend: BackendServer
    ) -> Failure | None:
        """Return why a request may not be sent on a connection that is now open."""
        stopped = self.recheck(request)
        if stopped is not None:
            return stopped
        if is_evacuated(self.state.view.directory, backend):
            return Failure.from_code(ResultCode.ZONE_EVACUATED)
        pressure = self.pressure.blocking_reason(backend.backend_id)
        if pressure is not None:
            detail = f"asked for {pressure}"
            return Failure.from_code(ResultCode.BACKEND_REFUSED, detail)
        return None

    def authenticate(
        self, route: Route, api_keys: tuple[str, ...]
    ) -> Result[Workspace | None, Failure]:
        """Return the workspace that the API keys of a request belong to.

        Args:
            route: The request's route.
            api_keys: Every key that was sent; a valid request has at most one.

        Returns:
            The workspace, None where none is required, or the refusal.
        """
        by_key = self.state.view.configuration.current.workspace_by_key
        if by_key is None:
            return Ok(None)
        workspace = by_key.get(api_keys[0]) if len(api_keys) == 1 else None
        if workspace is None and not route.is_public:
            return Err(self._final_refusal(ResultCode.UNAUTHENTICATED))
        return Ok(workspace)

    def _final_refusal(self, code: ResultCode) -> Failure:
        """Return a final refusal if the configuration is certainly current.

        Otherwise a newer configuration may know the route or key, and the refusal
        refers the caller to another node.
        """
        if self.state.freshness() is not Freshness.CERTAIN:
            return Failure.from_code(
                ResultCode.CONFIGURATION_STALE, retry_after_s=OTHER_NODE_RETRY_AFTER_S
            )
        return Failure.from_code(code)

    def recheck(self, request: ServedRequest) -> Failure | None:
        """Return why a request that has waited may no longer be sent, or None."""
        if request.is_refused:
            return shutting_down()
        stopped = (
            self.state.refusal()
            or self.state.stop_refusal(request)
            or self.quarantine.refusal(request)
        )
        if stopped is not None:
            return stopped
        if request.route.is_public or request.workspace is None:
            return None
        known = self.authenticate(request.route, request.fields.api_keys)
        return known.err()
