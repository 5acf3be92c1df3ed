"""Settings of an experiment: sizes, load and faults."""

from __future__ import annotations

import json
from typing import Any

import attrs

from fordhatch_standins import EnginePace, ModelTimes

from ._store_outage import StoreOutage


@attrs.frozen
class LabModel:
    """A model with its group size, its share of the work and its times."""

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@attrs.frozen
class RequestClass:
    """One kind of request, with its arrival rate, objectives and value."""

    name: str
    model: str
    per_s: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    max_gap_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int = 0
    """Priority of its route; with different ones, the service has urgency classes."""


MODELS = (
    LabModel("m0", 4, 0.67, 1.0, 16.0, 1.6),
    LabModel("m1", 2, 0.33, 0.6, 12.0, 1.1),
)
"""The models of current deployments."""

CLASSES = (
    RequestClass("summary", "m0", 14.6, 1420, 135, 0.5, 0.3, 8.0, 3.0, 0.76),
    RequestClass("check", "m1", 42.5, 674, 135, 0.3, 0.2, 6.0, 1.7, 0.41),
    RequestClass("code", "m0", 10.6, 1960, 25, 0.5, 0.3, 6.0, 1.9, 0.49),
)
"""The request classes of current deployments, for 48 backend servers."""


@attrs.frozen
class Experiment:
    """Settings of one run in virtual time."""

    nodes: int = 9
    zones: int = 3
    domains: int = 6
    per_domain: int = 8
    seed: int = 1
    warm_up_s: float = 45.0
    """Time before measuring, in which groups form and weights are preloaded."""
    duration_s: float = 30.0
    load: float = 1.0
    """Factor on the load of current deployments of the same size."""
    loss_every_s: float = 3.0
    """Mean time between crashes of a random group member; 0 for none."""
    empty_every_s: float = 3.0
    """Mean time between arrivals of empty backend servers; 0 for none."""
    dark_domain_at_s: float = 0.0
    """When all engines of one fabric domain crash; 0 for never."""
    planner_dies_at_s: float = 0.0
    """When the node that holds the planner's lease crashes; 0 for never."""
    cold_s: float = 0.0
    """How long an engine is cold after its start, in seconds."""
    cold_per_s: float = 0.0
    """Requests a second that a cold engine tolerates; 0 for any number."""
    is_cold_configured: bool = True
    """Whether the configuration tells the nodes of cold engines."""
    release_fraction: float = 0.0
    """Fraction of the engines that a rolling release replaces; 0 for no release."""
    release_at_s: float = 5.0
    """When the release begins."""
    release_batch: int = 6
    """Engines that begin to drain each second of a release."""
    keeps_weights: bool = True
    """Whether the hosts of replaced engines keep their staged weights."""
    late_orders: float = 0.0
    """Fraction of the orders that are carried out seconds late, unanswered."""
    outage: StoreOutage | None = None
    """Simulated outage of the store; None for none."""
    is_revocation_strict: bool = True
    """Whether a removed API key must be refused in time under all faults."""
    models: tuple[LabModel, ...] = MODELS
    classes: tuple[RequestClass, ...] = CLASSES

    @property
    def size(self) -> int:
        """Initial number of engines."""
        return self.domains * self.per_domain

    @property
    def load_factor(self) -> float:
        """Factor on the arrival rates of the classes, which hold for 48 engines."""
        return self.load * self.size / 48.0

    def model_times(self) -> dict[str, ModelTimes]:
        """Return the models in the format of the stand-in engines."""
        return {m.name: ModelTimes(m.size, m.load_s, m.warm_s) for m in self.models}

    def pace(self) -> EnginePace:
        """Return the pace of the stand-in engines."""
        return EnginePace(model_factor={m.name: m.pace for m in self.models})

    def configuration(self) -> bytes:
        """Return the operators' configuration as it is kept in the store."""
        engine: dict[str, Any] = {
            "slots": 13,
            "stride": 5,
            "step_ms": 6.07,
            "per_seq_ms": 0.482,
            "read_per_s": 46000.0,
            "loads-per-s": 4.0 * max(self.size / 48.0, 1.0),
            "loads_at_once": max(6 * self.size // 48, 6),
            "keeps": 1,
            "form-ms": 300.0,
            "models": [_model(m) for m in self.models],
        }
        service: dict[str, Any] = {"name": "llm", "max-conns": 400, "engine": engine}
        if self.cold_per_s and self.is_cold_configured:
            service |= {"cold-s": self.cold_s, "cold-per-s": self.cold_per_s}
        services = [service]
        routes = [_route(c) for c in self.classes]
        return json.dumps(
            {"version": 1, "routes": routes, "services": services}
        ).encode()


def _model(model: LabModel) -> dict[str, Any]:
    return {
        "name": model.name,
        "size": model.size,
        "share": model.share,
        "pace": model.pace,
        "load-s": model.load_s,
        "warm-s": model.warm_s,
    }


def _route(one: RequestClass) -> dict[str, Any]:
    return {
        "name": one.name,
        "host": "lab",
        "prefix": f"/{one.name}/",
        "kind": "streaming",
        "resumable": True,
        "service": "llm",
        "attempts": 2,
        "timeout-ms": int(one.deadline_s * 1000),
        "goal-ms": int(one.objective_s * 1000),
        "max-gap-ms": int(one.max_gap_s * 1000),
        "priority": one.priority,
    }
