"""An accepted operators' file: as it lies in the store, and as a configuration."""

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
"""The table with the file in force; every node follows it."""

HEAD_KEY = "head"
"""The row that holds the newest accepted file."""

GOAL_S = 1.7
"""The first token is due within this time, by the users' plan for the next years."""

CALL_GOAL_S = 0.4
"""A plain service's answer is due within this time, as its users declare today."""

ATTEMPTS = 3
"""Most backend servers that may run one request which may be repeated."""

USUAL_PROMPT_TOKENS, USUAL_ANSWER_TOKENS = 1000.0, 100.0
"""Means that the paces of the engines are reckoned with."""

MOST_URGENT_PRIORITY = 9
"""In the file higher priorities go first, at the engines lower ranks do."""

MODEL_VERSION_SEPARATOR = "@"
"""Engines know each version of a model under a name of its own."""


@attrs.frozen
class Head:
    """The newest accepted file with what the audit says of it."""

    revision: int
    digest: str
    apply_id: str
    operator: str
    at_s: float
    """Time of day at which it was accepted, for the record alone."""
    content: bytes

    def to_bytes(self) -> bytes:
        """Return the row's value; files compress to a tenth."""
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
    """A configuration that was compiled from an operators' file."""

    declared: OperatorsFile = attrs.field(kw_only=True)
    head: Head = attrs.field(kw_only=True)


def model_name(service: ModelService) -> str:
    """Return the name under which engines know the weights of a service."""
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
"""Where fordhatch's own operators' files lie."""


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
        goal_s=GOAL_S if is_model else CALL_GOAL_S,
        attempts=ATTEMPTS,
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
        usual_prompt_tokens=USUAL_PROMPT_TOKENS,
        usual_answer_tokens=USUAL_ANSWER_TOKENS,
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
        wanted_groups=service.groups,
        most_groups=service.most_groups if adds_groups else service.groups,
        weight=max(service.importance, 1) / 50.0,
    )


def _workspaces(declared: OperatorsFile) -> dict[str, Workspace]:
    return {
        key: Workspace(
            w.name,
            MOST_URGENT_PRIORITY - w.priority,
            applications=frozenset(w.applications),
            max_concurrent=w.max_concurrent,
        )
        for w in declared.workspaces
        for key in w.api_keys
    }
