"""An accepted operators' file: its row in the store and the compiled configuration."""

from __future__ import annotations

import json
import zlib

import attrs

from fordhatch.adapter import DecodeError
from fordhatch.catalog import (
    Configuration,
    EngineProfile,
    Limits,
    ModelProfile,
    Route,
    RouteKind,
    RouteTarget,
    Service,
    Workspace,
)
from fordhatch.registry import ConfigurationRow

from ._operators_file import Accelerator, Application, ModelService, OperatorsFile

DECLARED_TABLE = "fordhatch-declared"
"""Table with the active file; every node watches it."""

HEAD_KEY = "head"
"""Key of the row that holds the newest accepted file."""

FIRST_TOKEN_OBJECTIVE_S = 1.7
"""Latency objective of the first token, from the users' plan for the coming years."""

CALL_OBJECTIVE_S = 0.4
"""Latency objective of a plain service's answer, as its users declare it today."""

MAX_ATTEMPTS = 3
"""Maximal number of backend servers that may run one repeatable request."""

MEAN_PROMPT_TOKENS, MEAN_ANSWER_TOKENS = 1000.0, 100.0
"""Mean request lengths from which the paces of the engines are calculated."""

MAX_PRIORITY = 9
"""Highest priority in a file.

In the file higher priorities go first, at the engines lower ranks do.
"""

MODEL_VERSION_SEPARATOR = "@"
"""Separates model and version: engines have a distinct name for each version."""


@attrs.frozen
class Head:
    """The newest accepted file with its audit data."""

    revision: int
    digest: str
    apply_id: str
    operator: str
    at_s: float
    """Unix time of acceptance, for the audit only."""
    content: bytes

    def to_bytes(self) -> bytes:
        """Return the row's value, compressed: files shrink to about a tenth."""
        fields = {**attrs.asdict(self), "content": self.content.decode()}
        return zlib.compress(json.dumps(fields).encode())

    @classmethod
    def from_bytes(cls, value: bytes) -> Head:
        """Return the head in a row's value.

        Raises:
            DecodeError: If the row is malformed.
        """
        try:
            fields = json.loads(zlib.decompress(value))
            return cls(**{**fields, "content": fields["content"].encode()})
        except (zlib.error, ValueError, TypeError, KeyError) as error:
            raise DecodeError([repr(error)]) from error


@attrs.frozen
class DeclaredConfiguration(Configuration):
    """A configuration compiled from an operators' file."""

    declared: OperatorsFile = attrs.field(kw_only=True)
    head: Head = attrs.field(kw_only=True)


def model_name(service: ModelService) -> str:
    """Return the name that engines use for the weights of a service."""
    return f"{service.model}{MODEL_VERSION_SEPARATOR}{service.version}"


def decode_declared(value: bytes) -> DeclaredConfiguration:
    """Return the configuration in the head row's value.

    Raises:
        DecodeError: With every mistake of the row or the file.
    """
    head = Head.from_bytes(value)
    parsed = OperatorsFile.from_json(head.content)
    if parsed.is_err():
        raise DecodeError([str(m) for m in parsed.unwrap_err()])
    declared = parsed.unwrap()
    return DeclaredConfiguration(
        version=head.revision,
        routes=tuple(_route(declared, a) for a in declared.applications),
        services=_services(declared),
        limits=Limits(0, 0, 0.0, 0.0),
        workspace_by_key=_workspaces(declared),
        declared=declared,
        head=head,
    )


DECLARED_ROW = ConfigurationRow(DECLARED_TABLE, HEAD_KEY, decode_declared)
"""Row and decoder of fordhatch's own operators' files."""


def _route(declared: OperatorsFile, application: Application) -> Route:
    service = declared.service(application.service)
    is_model = isinstance(service, ModelService)
    return Route(
        name=application.name,
        host="",
        prefix="/",
        kind=RouteKind.STREAMING if is_model else RouteKind.IDEMPOTENT,
        targets=(RouteTarget(service.accelerator if is_model else service.name, 1.0),),
        timeout_s=0.0,
        goal_s=FIRST_TOKEN_OBJECTIVE_S if is_model else CALL_OBJECTIVE_S,
        attempts=MAX_ATTEMPTS,
        priority=0,
        is_resumable=is_model,
    )


def _services(declared: OperatorsFile) -> dict[str, Service]:
    plain = [
        Service(s.name, "/health", s.max_connections) for s in declared.plain_services
    ]
    engines = [_engine_service(declared, a) for a in declared.accelerators]
    return {s.name: s for s in [*plain, *engines]}


def _engine_service(declared: OperatorsFile, accelerator: Accelerator) -> Service:
    services = [s for s in declared.model_services if s.accelerator == accelerator.name]
    adds_groups = declared.policy.stranded_weight > 0
    profile = EngineProfile(
        slots=accelerator.max_running,
        kv_tokens=0,
        stride=1,
        step_s=accelerator.step_s,
        per_sequence_s=accelerator.per_sequence_s,
        context_s_per_kilotoken=0.0,
        read_tokens_per_s=accelerator.read_tokens_per_s,
        pairs_s_per_million=0.0,
        chunk_tokens=2048,
        loads_per_s=accelerator.loads_per_s,
        loads_at_once=accelerator.loads_at_once,
        staged_models_kept=accelerator.staged_models_kept,
        form_s=accelerator.form_s,
        usual_prompt_tokens=MEAN_PROMPT_TOKENS,
        usual_answer_tokens=MEAN_ANSWER_TOKENS,
        models=tuple(_model(s, accelerator, adds_groups) for s in services),
    )
    return Service(accelerator.name, "/health", 0, profile)


def _model(
    service: ModelService, accelerator: Accelerator, adds_groups: bool
) -> ModelProfile:
    times = accelerator.times(service.model)
    return ModelProfile(
        name=model_name(service),
        size=service.group_size,
        share=float(service.groups * service.group_size),
        pace=times.pace,
        load_s=times.load_s,
        warm_s=times.warm_s,
        declared_groups=service.groups,
        most_groups=service.most_groups if adds_groups else service.groups,
        weight=max(service.importance, 1) / 50.0,
    )


def _workspaces(declared: OperatorsFile) -> dict[str, Workspace]:
    return {
        key: Workspace(
            w.name,
            MAX_PRIORITY - w.priority,
            applications=frozenset(w.applications),
            max_concurrent=w.max_concurrent,
        )
        for w in declared.workspaces
        for key in w.api_keys
    }
