"""Which group to form next, and from which backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from fordhatch.catalog import BackendServer, EngineProfile, ModelProfile

REJOIN_S = 0.2
"""A backend server whose last group served the same model joins in this time."""

HORIZON_S = 15.0
"""Over this time a new group's service is weighed against the time until it opens;
a group lives about this long before one of its members is lost."""


@attrs.frozen
class GroupPlan:
    """A group to form."""

    model: ModelProfile
    members: tuple[BackendServer, ...]
    """By rank; the head first."""
    ready_in_s: float
    loads: int
    """Members that must load the weights from the weight store."""


def target_counts(profile: EngineProfile, backends: int) -> dict[str, float]:
    """Return how many groups of each model the backend servers make, by work.

    Args:
        profile: The service's engine.
        backends: Backend servers of the service.

    Returns:
        Number of groups by model, not rounded.
    """
    total = sum(m.share for m in profile.models) or 1.0
    return {
        m.name: max(m.share / total * backends / m.size, 0.01) for m in profile.models
    }


def join_time_s(
    backend: BackendServer, model: ModelProfile, last_model: Mapping[str, str]
) -> float:
    """Return how long a backend server needs to join a group of a model."""
    if last_model.get(backend.backend_id) == model.name:
        return REJOIN_S
    if model.name in backend.staged_models:
        return model.warm_s
    return model.load_s


def choose_group(
    profile: EngineProfile,
    free: Iterable[BackendServer],
    counts: Counter[str],
    last_model: Mapping[str, str],
    *,
    groups_in_domain: Mapping[tuple[str, str], int],
    may_load: bool,
    load_factor: float = 1.0,
    is_first_layout: bool = False,
) -> GroupPlan | None:
    """Return the most useful group that can be formed from free backend servers.

    Args:
        profile: The service's engine.
        free: Backend servers that are in no group.
        counts: Groups by model, those that are being formed included.
        last_model: Model of each backend server's last group.
        groups_in_domain: Groups by domain and model, to spread them.
        may_load: Whether members may load weights from the weight store.
        load_factor: Factor on the time of such loads.
        is_first_layout: Nothing serves yet: fill whole domains, large groups first,
            so that no domain is left with too few for a group.

    Returns:
        The group, or None where none can be formed.
    """
    by_domain: dict[str, list[BackendServer]] = {}
    for backend in free:
        by_domain.setdefault(backend.domain, []).append(backend)
    total = sum(len(found) for found in by_domain.values())
    total += sum(counts[m.name] * m.size for m in profile.models)
    targets = target_counts(profile, total)
    models = profile.models
    if is_first_layout:
        models = _below_target(profile, counts, targets) or models
    best: tuple[float, int, GroupPlan] | None = None
    for domain, backends in sorted(by_domain.items()):
        for model in models:
            plan = _plan(model, backends, last_model, load_factor)
            if plan is None or (plan.loads and not may_load):
                continue
            need = targets[model.name] / (counts[model.name] + 0.5)
            gain = need * HORIZON_S / (HORIZON_S + plan.ready_in_s)
            spread = -groups_in_domain.get((domain, model.name), 0)
            if best is None or (gain, spread) > best[:2]:
                best = gain, spread, plan
    return best[2] if best is not None else None


def _below_target(
    profile: EngineProfile, counts: Counter[str], targets: Mapping[str, float]
) -> tuple[ModelProfile, ...]:
    """Return the model with the largest groups of those that lack some."""
    lacking = [m for m in profile.models if counts[m.name] < int(targets[m.name] + 0.5)]
    lacking.sort(key=lambda m: m.size, reverse=True)
    return tuple(lacking[:1])


def _plan(
    model: ModelProfile,
    backends: list[BackendServer],
    last_model: Mapping[str, str],
    load_factor: float,
) -> GroupPlan | None:
    if len(backends) < model.size:
        return None
    timed = sorted(
        backends, key=lambda b: (join_time_s(b, model, last_model), b.backend_id)
    )
    members = tuple(timed[: model.size])
    times = [join_time_s(b, model, last_model) for b in members]
    loads = sum(t >= model.load_s > model.warm_s for t in times)
    ready_in_s = max(times) * (load_factor if loads else 1.0)
    return GroupPlan(model, members, ready_in_s, loads)
