"""Operators' files: the complete declared state."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from fordhatch.core import ResultCode

from ._schema import OPERATORS_SCHEMA, Mistake, parse_document
from ._structure import structure


@attrs.frozen
class Policy:
    """Weights of the planner's two objectives."""

    stranded_weight: float = 0.3
    """0 counts only group downtime, 1 only stranded accelerators.

    An accelerator is stranded if it belongs to no group.
    """


@attrs.frozen
class Model:
    """A model with its versions and adapters."""

    name: str
    versions: list[str]
    adapters: list[str] = attrs.field(factory=list)


@attrs.frozen
class ModelTimes:
    """Times in which one kind of accelerator loads and runs a model."""

    model: str
    load_s: float
    """Time to load the weights from the weight store."""
    warm_s: float
    """Time to load weights preloaded into the memory of the instance's host."""
    pace: float = 1.0
    """Factor by which the accelerator's times are multiplied for this model."""


@attrs.frozen
class Accelerator:
    """A kind of backend server that runs model engines, with its typical times.

    Backend servers register under its name.
    """

    name: str
    models: list[ModelTimes]
    max_running: int = 16
    """Maximal number of concurrent requests on one replica."""
    step_s: float = 0.006
    """Base time of one decoding step."""
    per_sequence_s: float = 0.0005
    """Time that each running request adds to a step."""
    read_tokens_per_s: float = 46_000.0
    """Prompt tokens processed per second."""
    form_s: float = 0.3
    """Time from the order to open a group until it can serve its first request."""
    loads_per_s: float = 4.0
    """Loads that the weight store lets start per second."""
    loads_at_once: int = 6
    """Concurrent loads above which loads slow each other down."""
    staged_models_kept: int = 1
    """Models whose weights a host keeps preloaded in its memory."""

    def times(self, model: str) -> ModelTimes | None:
        """Return the times of a model, or None if the accelerator does not run it."""
        return next((m for m in self.models if m.model == model), None)


@attrs.frozen
class ModelService:
    """Replica groups that serve one version of a model."""

    name: str
    model: str
    version: str
    accelerator: str
    group_size: int
    groups: int
    adapters: list[str] = attrs.field(factory=list)
    importance: int = 50
    max_groups: int = 0
    """Upper limit for replicas added on idle accelerators.

    A value below ``groups`` means that none are added.
    """

    @property
    def most_groups(self) -> int:
        """Maximal number of replicas that the file allows."""
        return max(self.groups, self.max_groups)


@attrs.frozen
class PlainService:
    """A plain service that is not a model engine."""

    name: str
    max_connections: int = 100
    """Connections that one backend server accepts from all nodes together."""


@attrs.frozen
class Route:
    """Pattern of requests that may run at most once."""

    method: str
    path_prefix: str


@attrs.frozen
class Application:
    """The target that callers name: a service, optionally with an adapter."""

    name: str
    service: str
    adapter: str = ""
    not_repeatable: list[Route] = attrs.field(factory=list)

    def may_repeat(self, method: str, path: str) -> bool:
        """Return whether a request with this method and path may run more than once."""
        return not any(
            route.method == method and path.startswith(route.path_prefix)
            for route in self.not_repeatable
        )


@attrs.frozen
class Workspace:
    """A customer with its API keys, share and limits."""

    name: str
    api_keys: list[str]
    applications: list[str]
    weight: float = 1.0
    priority: int = 5
    max_concurrent: int = 256


@attrs.frozen
class OperatorsFile:
    """The complete declared state, with its references checked."""

    format: int
    models: list[Model]
    accelerators: list[Accelerator]
    model_services: list[ModelService]
    plain_services: list[PlainService]
    applications: list[Application]
    workspaces: list[Workspace]
    policy: Policy = Policy()

    @classmethod
    def from_json(cls, content: bytes) -> Result[OperatorsFile, list[Mistake]]:
        """Read and check an operators' file.

        Args:
            content: Bytes of the file.

        Returns:
            The declared state, or all mistakes with their paths.
        """
        parsed = parse_document(content, OPERATORS_SCHEMA)
        if parsed.is_err():
            return parsed
        declared = structure(parsed.unwrap(), cls)
        mistakes = [*_duplicates(declared), *_unresolved_references(declared)]
        return Err(mistakes) if mistakes else Ok(declared)

    def application(self, name: str) -> Application | None:
        """Return an application by name."""
        return next((a for a in self.applications if a.name == name), None)

    def service(self, name: str) -> ModelService | PlainService | None:
        """Return a service of either kind by name."""
        all_services = [*self.model_services, *self.plain_services]
        return next((s for s in all_services if s.name == name), None)

    def workspace_of(self, key_hash: str) -> Workspace | None:
        """Return the workspace that owns an API key, given the key's hash."""
        return next((w for w in self.workspaces if key_hash in w.api_keys), None)

    def accelerator(self, name: str) -> Accelerator | None:
        """Return a kind of accelerator by name."""
        return next((a for a in self.accelerators if a.name == name), None)


def digest_of(content: bytes) -> str:
    """Return the SHA-256 digest that identifies a file, in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def _duplicates(declared: OperatorsFile) -> Iterable[Mistake]:
    services = [*declared.model_services, *declared.plain_services]
    served = [f"{s.accelerator}/{s.model}@{s.version}" for s in declared.model_services]
    registered = [
        *(a.name for a in declared.accelerators),
        *(s.name for s in declared.plain_services),
    ]
    named = {
        "$.models": [m.name for m in declared.models],
        "$.accelerators": registered,
        "$.model_services[*].version": served,
        "$.model_services": [s.name for s in services],
        "$.applications": [a.name for a in declared.applications],
        "$.workspaces": [w.name for w in declared.workspaces],
        "$.workspaces[*].api_keys": [
            key for w in declared.workspaces for key in w.api_keys
        ],
    }
    for path, names in named.items():
        for name in sorted({n for n in names if names.count(n) > 1}):
            yield _invalid(path, f"{name!r} appears more than once")


def _unresolved_references(declared: OperatorsFile) -> Iterable[Mistake]:
    models = {m.name: m for m in declared.models}
    for index, service in enumerate(declared.model_services):
        path = f"$.model_services[{index}]"
        yield from _check_model(models, service, path)
        yield from _check_accelerator(declared, service, path)
    for index, app in enumerate(declared.applications):
        yield from _check_application(declared, app, f"$.applications[{index}]")
    known = {a.name for a in declared.applications}
    for index, workspace in enumerate(declared.workspaces):
        for name in workspace.applications:
            if name not in known:
                path = f"$.workspaces[{index}].applications"
                yield _invalid(path, f"no application {name!r}")


def _check_model(
    models: dict[str, Model], service: ModelService, path: str
) -> Iterable[Mistake]:
    model = models.get(service.model)
    if model is None:
        yield _invalid(f"{path}.model", f"no model {service.model!r}")
        return
    if service.version not in model.versions:
        yield _invalid(f"{path}.version", f"no version {service.version!r}")
    for adapter in service.adapters:
        if adapter not in model.adapters:
            yield _invalid(f"{path}.adapters", f"no adapter {adapter!r}")


def _check_accelerator(
    declared: OperatorsFile, service: ModelService, path: str
) -> Iterable[Mistake]:
    accelerator = declared.accelerator(service.accelerator)
    if accelerator is None:
        yield _invalid(f"{path}.accelerator", f"no {service.accelerator!r}")
    elif accelerator.times(service.model) is None:
        text = f"{service.accelerator!r} does not run {service.model!r}"
        yield _invalid(f"{path}.accelerator", text)


def _check_application(
    declared: OperatorsFile, app: Application, path: str
) -> Iterable[Mistake]:
    service = declared.service(app.service)
    if service is None:
        yield _invalid(f"{path}.service", f"no service {app.service!r}")
        return
    adapters = service.adapters if isinstance(service, ModelService) else []
    if app.adapter and app.adapter not in adapters:
        yield _invalid(f"{path}.adapter", f"{app.service!r} has no {app.adapter!r}")


def _invalid(path: str, message: str) -> Mistake:
    return Mistake(path, ResultCode.SETTING_INVALID, message)
