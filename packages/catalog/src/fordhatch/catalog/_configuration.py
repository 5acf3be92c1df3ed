"""The operators' configuration in the project's own terms."""

from __future__ import annotations

from enum import StrEnum

import attrs


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    """Requests may be executed any number of times."""
    NON_IDEMPOTENT = "non_idempotent"
    """Requests may be executed once at most."""
    STREAMING = "streaming"
    """Answers are event streams."""


@attrs.frozen
class RouteTarget:
    """A service that a route leads to, with its share of the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and under which limits."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    """Longest time that a request may be kept waiting for its answer."""
    goal_s: float
    """Time within which an answer (of a stream, the first event) is on time."""
    attempts: int
    """Most backend servers that may run one request."""
    priority: int
    """Rank among routes; 0 is the most urgent."""
    is_public: bool = False
    """Whether requests need no API key."""
    is_resumable: bool = False
    """Whether a broken stream may go on at another backend server."""
    max_gap_s: float | None = None
    """Longest pause between events of a stream that is on time."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@attrs.frozen
class ModelProfile:
    """A model and what one replica of it needs."""

    name: str
    size: int
    """Members of a replica group."""
    share: float
    """Share of the service's work that asks for this model, at the start."""
    pace: float
    """Factor on all engine times of a group of this model."""
    load_s: float
    """Time to load the weights from the weight store."""
    warm_s: float
    """Time to load the weights when they are staged on the host."""
    wanted_groups: int | None = None
    """Groups that are declared; None where the share decides."""
    most_groups: int | None = None
    """Groups beyond which no more are formed; None where there is no limit."""
    weight: float = 1.0
    """What the waits of this model's callers count for, beside others'."""


@attrs.frozen
class EngineProfile:
    """How fast the engines of a service work; times are of pace 1."""

    slots: int
    kv_tokens: int
    stride: int
    """Token steps of one pass while requests are writing."""
    step_s: float
    per_sequence_s: float
    context_s_per_kilotoken: float
    read_tokens_per_s: float
    pairs_s_per_million: float
    chunk_tokens: int
    loads_per_s: float
    """Most loads of weights that may begin in a second, over all."""
    loads_at_once: int
    """Concurrent loads beyond this slow each other down."""
    staged_models_kept: int
    form_s: float
    """Time between the order to open a group and its first request."""
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: tuple[ModelProfile, ...]

    def model(self, name: str) -> ModelProfile | None:
        """Return the profile of a model, or None where it is not declared."""
        return next((m for m in self.models if m.name == name), None)

    def pass_s(self, running: int) -> float:
        """Return the duration of one pass with ``running`` requests, in seconds."""
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
        """Return for how long a request keeps a full group busy, in seconds.

        A token's share of the passes is that of a group whose places are all taken:
        so much a group can do, whatever it does now.
        """
        token_s = self.pass_s(self.slots) / max(self.stride * self.slots, 1)
        return model.pace * (self.prefill_s(prompt_tokens) + answer_tokens * token_s)

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the time to read a prompt, in seconds."""
        pairs_millions = prompt_tokens * prompt_tokens / 2.0 / 1e6
        return (
            prompt_tokens / self.read_tokens_per_s
            + pairs_millions * self.pairs_s_per_million
        )


@attrs.frozen
class Service:
    """Backend servers that run the same thing."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    """Set for model engines, whose members form groups; None for plain services."""


@attrs.frozen
class Workspace:
    """A customer; its API keys lead to it."""

    name: str
    priority: int | None = None
    """Goes before the route's priority where it is set."""
    applications: frozenset[str] | None = None
    """Routes that it may use; None where every route is open to it."""
    max_concurrent: int | None = None
    """Most open requests at one node; None where there is no limit."""


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take."""

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
    """Workspace of each API key; None where keys are not used at all."""

    def engine_services(self) -> list[Service]:
        """Return the services whose backend servers form groups."""
        return [s for s in self.services.values() if s.engine is not None]
