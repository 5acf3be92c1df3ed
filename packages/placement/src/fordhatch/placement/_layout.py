"""Which group to form next, and from which backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from fordhatch.catalog import BackendServer, EngineProfile, ModelProfile

from ._demand_book import declared_busy_groups
from ._group_need import group_need

REJOIN_S = 0.2
"""A backend server whose last group served the same model joins in this time."""

READINESS_SHARE = 0.5
"""What a backend server that could join a model's groups without a load counts for,
as a share of its place there: about every second one is needed before it is lost,
and making another one ready takes one of the few loads."""

LEAST_TARGET = 0.01
"""Groups wanted of a model that nobody asks for: more than none, so that a group of
it is formed before backend servers stand idle."""

LEAST_WORK = 0.003
"""The work of a model that nobody asks for, in full groups, for the same reason."""

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


@attrs.define
class Layout:
    """The groups of one service as the planner counts them."""

    profile: EngineProfile
    last_model: Mapping[str, str]
    """Model of each backend server's last group."""
    held_off: frozenset[str] = frozenset()
    """Models of which no group should be formed now."""
    counts: Counter[str] = attrs.field(factory=Counter)
    """Groups by model, those that are being formed included."""
    spread: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Groups by domain and model."""
    backends: int = 0
    """Backend servers that are in a group or could be."""
    domain_sizes: Counter[str] = attrs.field(factory=Counter)
    """The same by domain."""
    busy_groups: Mapping[str, float] | None = None
    """Full groups that the work of each model's callers fills; None where nothing is
    known but what is declared."""
    missing: Counter[str] = attrs.field(factory=Counter)
    """Groups of each model that are missing on average because members were lost."""
    _declared: Mapping[str, float] = attrs.field(factory=dict, init=False)
    _needs: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    """What one more group of a model is worth at a number of groups; a step of the
    planner asks some hundred times for the same few."""

    def count_backends(self, backends: Collection[BackendServer]) -> None:
        """Count the backend servers that are in a group or could be."""
        self.backends = len(backends)
        self.domain_sizes = Counter(b.domain for b in backends)
        self._declared = {}
        self._needs.clear()

    def add(self, model: str, domain: str) -> None:
        """Count a group."""
        self.counts[model] += 1
        self.spread[domain, model] += 1

    def with_more(self, groups: Counter[str]) -> Layout:
        """Return the layout as it would be with more groups of some models."""
        return attrs.evolve(self, counts=self.counts + groups)

    def remove(self, model: str, domain: str) -> None:
        """Count a group no more."""
        self.counts[model] -= 1
        self.spread[domain, model] -= 1

    def target(self, model: ModelProfile) -> float:
        """Return how many groups of a model are wanted.

        Either so many are declared, or its share of the work decides.
        """
        if model.wanted_groups is not None:
            return max(float(model.wanted_groups), LEAST_TARGET)
        total = sum(self._work(m) * m.size for m in self.profile.models) or 1.0
        share = self._work(model) * model.size / total
        return max(share * self.backends / model.size, LEAST_TARGET)

    def _work(self, model: ModelProfile) -> float:
        """Return the full groups that the work of a model's callers fills."""
        if self.busy_groups is not None:
            return self.busy_groups.get(model.name, 0.0)
        if not self._declared:
            self._declared = declared_busy_groups(self.profile, self.backends)
        return self._declared[model.name]

    def lacks_groups(self) -> bool:
        """Return whether some declared model has fewer groups than are wanted."""
        return any(self.lacks(m) for m in self.profile.models)

    def lacks(self, model: ModelProfile) -> bool:
        """Return whether a model has fewer groups than are wanted."""
        return self.counts[model.name] < int(self.target(model) + 0.5)

    def need(self, model: ModelProfile, change: int = 0) -> float:
        """Return what one more group of a model is worth.

        Args:
            model: The model.
            change: Groups more or fewer than there are now.
        """
        count = self.counts[model.name] + change
        known = self._needs.get((model.name, count))
        if known is None:
            known = self._needs[model.name, count] = self._need_at(model, count)
        return known

    def _need_at(self, model: ModelProfile, count: int) -> float:
        if model.most_groups is not None and count >= model.most_groups:
            return 0.0
        work = max(self._work(model), LEAST_WORK)
        return model.weight * group_need(work, count, self.missing[model.name])

    def value(self, plan: GroupPlan) -> float:
        """Return what a group is worth, less for the time until it opens.

        What its members could have done for other models without a load is taken
        off: survivors of a scarce model's group may be worth more as they are.
        """
        worth = self.need(plan.model) * HORIZON_S / (HORIZON_S + plan.ready_in_s)
        return worth - sum(self.given_up(m, plan.model) for m in plan.members)

    def given_up(self, backend: BackendServer, model: ModelProfile) -> float:
        """Return what a backend server loses for other models by joining a group.

        It can rejoin groups of its last model and join those of staged ones; a join
        changes its last model and leaves what is staged.
        """
        last = self.profile.model(self.last_model.get(backend.backend_id, ""))
        if last is None or last == model or last.name in backend.staged_models:
            return 0.0
        if self.domain_sizes[backend.domain] < last.size:
            return 0.0
        return READINESS_SHARE * self.need(last) / last.size

    def join_time_s(self, backend: BackendServer, model: ModelProfile) -> float:
        """Return how long a backend server needs to join a group of a model."""
        if self.last_model.get(backend.backend_id) == model.name:
            return REJOIN_S
        if model.name in backend.staged_models:
            return model.warm_s
        return model.load_s

    def must_load(self, backend: BackendServer, model: ModelProfile) -> bool:
        """Return whether joining a group of a model means a load of its weights."""
        known = self.last_model.get(backend.backend_id) == model.name
        return not known and model.name not in backend.staged_models


def by_domain(backends: Iterable[BackendServer]) -> dict[str, list[BackendServer]]:
    """Return the backend servers of each fabric domain."""
    found: dict[str, list[BackendServer]] = {}
    for backend in backends:
        found.setdefault(backend.domain, []).append(backend)
    return found


class FreeBackends:
    """Backend servers that are in no group, and what each domain's could form.

    Forming one group changes what its own domain can do and no other one's, so that
    the first layout of 925 backend servers costs a fifth of working all of it out
    anew for each group.
    """

    def __init__(self, backends: Iterable[BackendServer]) -> None:
        self._domains = by_domain(backends)
        self._plans: dict[tuple[str, str], GroupPlan | None] = {}

    def domains(self) -> list[str]:
        """Return the domains that have any, in a fixed order."""
        return sorted(self._domains)

    def plan(
        self, layout: Layout, model: ModelProfile, domain: str
    ) -> GroupPlan | None:
        """Return the quickest group of a model in a domain, if it has enough."""
        key = domain, model.name
        if key not in self._plans:
            self._plans[key] = _plan(layout, model, self._domains[domain])
        return self._plans[key]

    def take(self, plan: GroupPlan) -> None:
        """Take the members of a group that is being formed out."""
        domain = plan.members[0].domain
        taken = {m.backend_id for m in plan.members}
        left = [b for b in self._domains.pop(domain) if b.backend_id not in taken]
        if left:
            self._domains[domain] = left
        self._plans = {k: p for k, p in self._plans.items() if k[0] != domain}

    def all(self) -> list[BackendServer]:
        """Return every one that is left."""
        return [b for backends in self._domains.values() for b in backends]


def choose_group(
    layout: Layout,
    free: Iterable[BackendServer] | FreeBackends,
    *,
    is_first_layout: bool = False,
    only_model: str | None = None,
) -> GroupPlan | None:
    """Return the most useful group that can be formed from free backend servers.

    Args:
        layout: The groups that there are.
        free: Backend servers that are in no group.
        is_first_layout: Nothing serves yet and loads are quick: members may load,
            and whole domains are filled, large groups first, so that no domain is
            left with too few for a group.
        only_model: Consider no other model.

    Returns:
        The group, or None where none can be formed without loads, or none that is
        worth more than what its members could do otherwise. Where loads are needed,
        weights are staged first: that leaves the backend server free.
    """
    if not isinstance(free, FreeBackends):
        free = FreeBackends(free)
    if is_first_layout:
        for model in _below_target(layout):
            found = _best_plan(layout, free, (model,), may_load=True)
            if found is not None:
                return found
    models = tuple(
        m
        for m in layout.profile.models
        if only_model in (None, m.name) and m.name not in layout.held_off
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
            rank = layout.value(plan), -layout.spread[domain, model.name]
            if rank[0] > 0 and (best is None or rank > best[:2]):
                best = *rank, plan
    return best[2] if best is not None else None


def _below_target(layout: Layout) -> list[ModelProfile]:
    """Return the models that lack groups, those with the largest groups first."""
    lacking = [
        m
        for m in layout.profile.models
        if layout.lacks(m) and m.name not in layout.held_off
    ]
    lacking.sort(key=lambda m: m.size, reverse=True)
    return lacking


def _plan(
    layout: Layout, model: ModelProfile, backends: list[BackendServer]
) -> GroupPlan | None:
    if len(backends) < model.size:
        return None

    def order(backend: BackendServer) -> tuple[float, float, str]:
        join_s = layout.join_time_s(backend, model)
        return join_s, layout.given_up(backend, model), backend.backend_id

    members = tuple(sorted(backends, key=order)[: model.size])
    ready_in_s = max(layout.join_time_s(b, model) for b in members)
    loads = sum(layout.must_load(b, model) for b in members)
    return GroupPlan(model, members, ready_in_s, loads)
