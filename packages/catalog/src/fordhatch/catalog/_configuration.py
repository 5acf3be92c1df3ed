"""Data classes of the operators' configuration, independent of its file format."""

from __future__ import annotations

from enum import StrEnum
from functools import cached_property

import attrs


class RouteKind(StrEnum):
    """Whether requests of a route may be retried, and the form of their answers."""

    IDEMPOTENT = "idempotent"
    """Requests may be executed any number of times."""
    NON_IDEMPOTENT = "non_idempotent"
    """Requests may be executed at most once."""
    STREAMING = "streaming"
    """Answers are event streams."""


@attrs.frozen
class RouteTarget:
    """A service that a route sends requests to, with its weight among the targets."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Targets and limits for requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    """Maximum time that a request may wait for its answer."""
    goal_s: float
    """Latency objective for the answer, or for the first event of a stream."""
    attempts: int
    """Maximum number of backend servers that may run one request."""
    priority: int
    """Priority among routes; 0 is the most urgent."""
    is_public: bool = False
    """Whether requests need no API key."""
    is_resumable: bool = False
    """Whether a broken stream may resume on another backend server."""
    max_gap_s: float | None = None
    """Latency objective for the gap between two events of a stream; None for none."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@attrs.frozen
class ModelProfile:
    """A model and the requirements of one replica of it."""

    name: str
    size: int
    """Number of members of a replica group."""
    share: float
    """Declared share of the service's work for this model, used at the start."""
    pace: float
    """Factor on all engine times of a group of this model."""
    load_s: float
    """Time to load the weights from the weight store."""
    warm_s: float
    """Time to load the weights when they are preloaded into host memory."""
    declared_groups: int | None = None
    """Declared number of groups; None where the share decides."""
    most_groups: int | None = None
    """Maximum number of groups; None for no limit."""
    weight: float = 1.0
    """Weight of this model's queueing delays relative to those of other models."""


@attrs.frozen
class EngineProfile:
    """Performance parameters of a service's engines, with times for a pace of 1."""

    slots: int
    kv_tokens: int
    stride: int
    """Token steps per forward pass while requests generate output."""
    step_s: float
    per_sequence_s: float
    context_s_per_kilotoken: float
    read_tokens_per_s: float
    pairs_s_per_million: float
    chunk_tokens: int
    loads_per_s: float
    """Maximum rate at which weight loads may start, over all backend servers."""
    loads_at_once: int
    """Number of concurrent loads above which loads slow each other down."""
    staged_models_kept: int
    """Number of models whose weights stay preloaded on a host."""
    form_s: float
    """Time between the order to open a group and its first request."""
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: tuple[ModelProfile, ...]

    def model(self, name: str) -> ModelProfile | None:
        """Return the profile of a model, or None if it is not declared."""
        return next((m for m in self.models if m.name == name), None)

    def pass_s(self, running: int) -> float:
        """Return the duration of a forward pass, in seconds.

        Args:
            running: Number of requests in the batch.
        """
        context = running * (self.usual_prompt_tokens + self.usual_answer_tokens)
        step_s = (
            self.step_s
            + running * self.per_sequence_s
            + context / 1000.0 * self.context_s_per_kilotoken
        )
        return self.stride * step_s

    def busy_s(
        self, model: ModelProfile, prompt_tokens: float, answer_tokens: float
    ) -> float:
        """Return how long a request occupies a full group, in seconds.

        A token's fraction of a forward pass is computed for a group with all slots in
        use: that is the group's capacity, independent of its current load.
        """
        token_s = self.pass_s(self.slots) / max(self.stride * self.slots, 1)
        return model.pace * (self.prefill_s(prompt_tokens) + answer_tokens * token_s)

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the time to process a prompt (prefill), in seconds."""
        pairs_millions = prompt_tokens * prompt_tokens / 2.0 / 1e6
        return (
            prompt_tokens / self.read_tokens_per_s
            + pairs_millions * self.pairs_s_per_million
        )


@attrs.frozen
class Service:
    """A set of interchangeable backend servers."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    """Set for model engines, whose members form groups; None for plain services."""
    cold_s: float = 0.0
    """Duration of a cold start, in seconds."""
    cold_per_s: float = 0.0
    """Requests a second that a cold backend server tolerates from all nodes together;
    0 if cold backend servers need no limit."""


@attrs.frozen
class Workspace:
    """A customer, identified by its API keys."""

    name: str
    priority: int | None = None
    """Overrides the route's priority; None keeps it."""
    applications: frozenset[str] | None = None
    """Names of the routes that it may use; None for all routes."""
    max_concurrent: int | None = None
    """Maximum number of open requests per node; None for no limit."""


@attrs.frozen
class Limits:
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class Configuration:
    """One accepted version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    workspace_by_key: dict[str, Workspace] | None = None
    """Workspace of each API key; None if API keys are not used."""

    def engine_services(self) -> list[Service]:
        """Return the services whose backend servers form groups."""
        return [s for s in self.services.values() if s.engine is not None]

    def has_urgency_classes(self, service: str) -> bool:
        """Return whether the routes that lead to a service differ in priority."""
        return service in self._services_with_urgency_classes

    @cached_property
    def _services_with_urgency_classes(self) -> frozenset[str]:
        # Cached: each request asks, and there may be more than a thousand routes.
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            for target in route.targets:
                priorities.setdefault(target.service, set()).add(route.priority)
        return frozenset(s for s, found in priorities.items() if len(found) > 1)

    def urgencies(self, service: str) -> frozenset[int]:
        """Return the priorities that requests of a service may have."""
        routes = self._routes_to(service)
        names = {route.name for route in routes}
        workspaces = (self.workspace_by_key or {}).values()
        return frozenset(
            [route.priority for route in routes]
            + [
                w.priority
                for w in workspaces
                if w.priority is not None
                and (w.applications is None or w.applications & names)
            ]
        )

    def _routes_to(self, service: str) -> list[Route]:
        return [
            route
            for route in self.routes
            if any(target.service == service for target in route.targets)
        ]
