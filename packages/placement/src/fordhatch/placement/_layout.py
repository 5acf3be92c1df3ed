"""Choice of the next group to form, and of its backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import attrs

from fordhatch.catalog import BackendServer, EngineProfile, ModelProfile

from ._demand_book import declared_busy_groups
from ._group_need import group_need
from ._release import Release

REJOIN_S = 0.2
"""Time in which a backend server joins a group of the model that it last served."""

READINESS_FRACTION = 0.5
"""Value of a backend server that can join a model's groups without a load, as a
fraction of the value of a member: about every second one is needed before it is lost,
and preparing a substitute takes one of the few loads."""

MIN_TARGET_GROUPS = 0.01
"""Target for a model without requests: above zero, so that a group of it is formed
before backend servers stay idle."""

MIN_BUSY_GROUPS = 0.003
"""Work assumed for a model without requests, in full groups, for the same reason."""

HORIZON_S = 15.0
"""Time over which the service of a new group is weighed against its delay until it
opens: a group serves for about this long before it loses a member."""


@attrs.frozen
class GroupPlan:
    """A group to form."""

    model: ModelProfile
    members: tuple[BackendServer, ...]
    """By rank; the head first."""
    ready_in_s: float
    loads: int
    """Members that must load the weights from the weight store."""


@attrs.define
class Layout:
    """Count the groups of one service and compute the value of further ones."""

    profile: EngineProfile
    last_model: Mapping[str, str]
    """Model of each backend server's last group."""
    paused_models: frozenset[str] = frozenset()
    """Models for which forming groups is paused."""
    counts: Counter[str] = attrs.field(factory=Counter)
    """Groups by model, including those that are being formed."""
    counts_by_domain: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Groups by fabric domain and model."""
    backends: int = 0
    """Backend servers that are in a group or can join one."""
    domain_sizes: Counter[str] = attrs.field(factory=Counter)
    """The same by fabric domain."""
    busy_groups: Mapping[str, float] | None = None
    """Work of each model's callers, in full groups; None if only the declared shares
    are known."""
    missing: Counter[str] = attrs.field(factory=Counter)
    """Average number of missing groups of each model after losses of members."""
    release: Release | None = None
    """The rolling release that is in progress, if any."""
    _declared: Mapping[str, float] = attrs.field(factory=dict, init=False)
    _need_cache: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    """Cache of ``need`` by model and number of groups; a step of the planner requests
    the same few values some hundred times."""

    def count_backends(self, backends: Collection[BackendServer]) -> None:
        """Count the backend servers that are in a group or can join one."""
        self.backends = len(backends)
        self.domain_sizes = Counter(b.domain for b in backends)
        self._declared = {}
        self._need_cache.clear()

    def add(self, model: str, domain: str) -> None:
        """Add a group to the counts."""
        self.counts[model] += 1
        self.counts_by_domain[domain, model] += 1

    def with_added_groups(self, groups: Counter[str]) -> Layout:
        """Return a copy of the layout with additional groups."""
        return attrs.evolve(self, counts=self.counts + groups)

    def remove(self, model: str, domain: str) -> None:
        """Remove a group from the counts."""
        self.counts[model] -= 1
        self.counts_by_domain[domain, model] -= 1

    def target(self, model: ModelProfile) -> float:
        """Return the target number of groups of a model.

        It is the declared number, or else follows the model's fraction of the work.
        """
        if model.declared_groups is not None:
            return max(float(model.declared_groups), MIN_TARGET_GROUPS)
        total = (
            sum(self._busy_groups_of(m) * m.size for m in self.profile.models) or 1.0
        )
        fraction = self._busy_groups_of(model) * model.size / total
        return max(fraction * self.backends / model.size, MIN_TARGET_GROUPS)

    def _busy_groups_of(self, model: ModelProfile) -> float:
        """Return the work of a model's callers, in full groups."""
        if self.busy_groups is not None:
            return self.busy_groups.get(model.name, 0.0)
        if not self._declared:
            self._declared = declared_busy_groups(self.profile, self.backends)
        return self._declared[model.name]

    def lacks_groups(self) -> bool:
        """Return whether some declared model has fewer groups than its target."""
        return any(self.lacks(m) for m in self.profile.models)

    def lacks(self, model: ModelProfile) -> bool:
        """Return whether a model has fewer groups than its target."""
        return self.counts[model.name] < int(self.target(model) + 0.5)

    def need(self, model: ModelProfile, change: int = 0) -> float:
        """Return the value of one more group of a model.

        Args:
            model: The model.
            change: Difference from the current number of groups.
        """
        count = self.counts[model.name] + change
        need = self._need_cache.get((model.name, count))
        if need is None:
            need = self._need_cache[model.name, count] = self._need_at(model, count)
        return need

    def _need_at(self, model: ModelProfile, count: int) -> float:
        if model.most_groups is not None and count >= model.most_groups:
            return 0.0
        work = max(self._busy_groups_of(model), MIN_BUSY_GROUPS)
        return model.weight * group_need(work, count, self.missing[model.name])

    def value(self, plan: GroupPlan) -> float:
        """Return the value of a group, discounted by the time until it opens.

        The value that its members have for other models without a load is
        subtracted: survivors of a scarce model's group may be worth more for that
        model.
        """
        worth = self.need(plan.model) * HORIZON_S / (HORIZON_S + plan.ready_in_s)
        return worth - sum(self.opportunity_cost(m, plan.model) for m in plan.members)

    def opportunity_cost(self, backend: BackendServer, model: ModelProfile) -> float:
        """Return the value that a backend server loses for other models by joining.

        Without a load it can join groups of its last model and of staged models. A
        join changes its last model; staged weights remain.
        """
        last = self.profile.model(self.last_model.get(backend.backend_id, ""))
        if last is None or last == model or last.name in backend.staged_models:
            return 0.0
        if self.domain_sizes[backend.domain] < last.size:
            return 0.0
        return READINESS_FRACTION * self.need(last) / last.size

    def join_time_s(self, backend: BackendServer, model: ModelProfile) -> float:
        """Return the time in seconds that a backend server needs to join a group."""
        if self.last_model.get(backend.backend_id) == model.name:
            return REJOIN_S
        if model.name in backend.staged_models:
            return model.warm_s
        return model.load_s

    def must_load(self, backend: BackendServer, model: ModelProfile) -> bool:
        """Return whether a backend server must load the weights to join a group."""
        is_last = self.last_model.get(backend.backend_id) == model.name
        return not is_last and model.name not in backend.staged_models

    def useful_models(self, backend: BackendServer) -> list[ModelProfile]:
        """Return the models that are not loaded and whose groups fit the domain."""
        return [
            model
            for model in self.profile.models
            if self.must_load(backend, model)
            and self.domain_sizes[backend.domain] >= model.size
        ]


def by_domain(backends: Iterable[BackendServer]) -> dict[str, list[BackendServer]]:
    """Group backend servers by fabric domain."""
    domains: dict[str, list[BackendServer]] = {}
    for backend in backends:
        domains.setdefault(backend.domain, []).append(backend)
    return domains


class FreeBackends:
    """Backend servers that are in no group, and the best plans by domain and model.

    Forming a group changes only the plans of its own domain. Plans of other domains
    stay cached, which cuts the cost of the first layout of 925 backend servers to a
    fifth.
    """

    def __init__(self, backends: Iterable[BackendServer]) -> None:
        self._domains = by_domain(backends)
        self._plans: dict[tuple[str, str], GroupPlan | None] = {}

    def domains(self) -> list[str]:
        """Return the domains with free backend servers, in a fixed order."""
        return sorted(self._domains)

    def plan(
        self, layout: Layout, model: ModelProfile, domain: str
    ) -> GroupPlan | None:
        """Return the group of a model that a domain can open first, or None."""
        key = domain, model.name
        if key not in self._plans:
            self._plans[key] = _plan(layout, model, self._domains[domain])
        return self._plans[key]

    def remove_members(self, plan: GroupPlan) -> None:
        """Remove the members of a group that is being formed."""
        domain = plan.members[0].domain
        taken = {m.backend_id for m in plan.members}
        left = [b for b in self._domains.pop(domain) if b.backend_id not in taken]
        if left:
            self._domains[domain] = left
        self._plans = {k: p for k, p in self._plans.items() if k[0] != domain}

    def all(self) -> list[BackendServer]:
        """Return all remaining backend servers."""
        return [b for backends in self._domains.values() for b in backends]


def choose_group(
    layout: Layout,
    free: Iterable[BackendServer] | FreeBackends,
    *,
    is_first_layout: bool = False,
    only_model: str | None = None,
) -> GroupPlan | None:
    """Return the most valuable group that free backend servers can form.

    Args:
        layout: The current groups.
        free: Backend servers that are in no group.
        is_first_layout: No group serves yet and loads are quick: members may load,
            and whole domains are filled, large groups first, so that no domain is
            left with too few backend servers for a group.
        only_model: The only model to consider; all models if None.

    Returns:
        The group, or None if every group needs loads or is worth less than its
        members are elsewhere. Where loads are needed, weights are staged first, since
        staging leaves the backend server free.
    """
    if not isinstance(free, FreeBackends):
        free = FreeBackends(free)
    if is_first_layout:
        for model in _below_target(layout):
            plan = _best_plan(layout, free, (model,), may_load=True)
            if plan is not None:
                return plan
    models = tuple(
        m
        for m in layout.profile.models
        if only_model in (None, m.name) and m.name not in layout.paused_models
    )
    return _best_plan(layout, free, models, may_load=is_first_layout)


def _best_plan(
    layout: Layout,
    free: FreeBackends,
    models: Sequence[ModelProfile],
    *,
    may_load: bool,
) -> GroupPlan | None:
    best: tuple[float, int, GroupPlan] | None = None
    for domain in free.domains():
        for model in models:
            plan = free.plan(layout, model, domain)
            if plan is None or (plan.loads and not may_load):
                continue
            rank = layout.value(plan), -layout.counts_by_domain[domain, model.name]
            if rank[0] > 0 and (best is None or rank > best[:2]):
                best = *rank, plan
    return best[2] if best is not None else None


def _below_target(layout: Layout) -> list[ModelProfile]:
    """Return the models below their target, those with the largest groups first."""
    lacking = [
        m
        for m in layout.profile.models
        if layout.lacks(m) and m.name not in layout.paused_models
    ]
    lacking.sort(key=lambda m: m.size, reverse=True)
    return lacking


def _staying_members(
    layout: Layout,
    model: ModelProfile,
    backends: list[BackendServer],
    ready_in_s: float,
    order: Callable[[BackendServer], tuple[float, float, str]],
) -> tuple[BackendServer, ...]:
    """Return members for a group that a release replaces as few of as possible.

    The group isn't ready later for it: only backend servers that join within
    ``ready_in_s`` are preferred. One that stays is the head, since a group serves
    until its draining member leaves unless that is its head.
    """

    def staying_first(backend: BackendServer) -> tuple[bool, bool, object]:
        is_late = layout.join_time_s(backend, model) > ready_in_s
        return is_late, layout.release.will_replace(backend), order(backend)

    return tuple(sorted(backends, key=staying_first)[: model.size])


def _plan(
    layout: Layout, model: ModelProfile, backends: list[BackendServer]
) -> GroupPlan | None:
    if len(backends) < model.size:
        return None

    def order(backend: BackendServer) -> tuple[float, float, str]:
        join_s = layout.join_time_s(backend, model)
        return join_s, layout.opportunity_cost(backend, model), backend.backend_id

    members = tuple(sorted(backends, key=order)[: model.size])
    ready_in_s = max(layout.join_time_s(b, model) for b in members)
    if layout.release is not None:
        members = _staying_members(layout, model, backends, ready_in_s, order)
    loads = sum(layout.must_load(b, model) for b in members)
    return GroupPlan(model, members, ready_in_s, loads)
