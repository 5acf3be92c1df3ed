"""Gives up groups of one model for a group of another that is worth more."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from itertools import combinations

import attrs

from fordhatch.catalog import BackendServer, ModelProfile
from fordhatch.registry import ReplicaGroup

from ._layout import Layout, by_domain, choose_group

MIN_GAIN_RATIO = 1.3
"""Minimum ratio of the new group's value to the value given up. Closing and forming
take seconds in which neither group serves, and the need changes with the next loss."""

MAX_COMPARED_DONORS = 2
"""Number of donors up to which all sets of groups are compared. Of larger sets only the
one with the most prepared members is considered, as their number grows too fast."""


@attrs.frozen
class Conversion:
    """Groups to give up, and the model that gains a group."""

    model: ModelProfile
    donors: tuple[ReplicaGroup, ...]

    @property
    def domain(self) -> str:
        """Fabric domain of the groups."""
        return self.donors[0].head.domain


def choose_conversion(
    layout: Layout,
    free: Sequence[BackendServer],
    serving: Sequence[ReplicaGroup],
) -> Conversion | None:
    """Return the most useful conversion, or None.

    Args:
        layout: The existing groups.
        free: Backend servers that are in no group.
        serving: Groups that serve and may be given up.
    """
    best: tuple[float, Conversion] | None = None
    free_by_domain = by_domain(free)
    for domain, groups in sorted(_by_domain(serving).items()):
        for model in layout.profile.models:
            if model.name in layout.paused_models:
                continue
            found = _in_domain(layout, model, free_by_domain.get(domain, []), groups)
            if found is not None and (best is None or found[0] > best[0]):
                best = found
    return best[1] if best is not None else None


def _by_domain(serving: Sequence[ReplicaGroup]) -> dict[str, list[ReplicaGroup]]:
    found: dict[str, list[ReplicaGroup]] = {}
    for group in serving:
        if group.head is not None:
            found.setdefault(group.head.domain, []).append(group)
    return found


def _in_domain(
    layout: Layout,
    model: ModelProfile,
    free: Sequence[BackendServer],
    groups: Sequence[ReplicaGroup],
) -> tuple[float, Conversion] | None:
    prepared_free = [b for b in free if not layout.must_load(b, model)]
    donors = [
        g for g in groups if g.model != model.name and _may_give_way(layout, g, model)
    ]
    if not donors:
        return None
    plan = choose_group(layout, free)
    alternative_value = layout.value(plan) if plan is not None else 0.0
    best: tuple[float, Conversion] | None = None
    for chosen in _donor_sets(layout, model, donors):
        prepared = sum(_prepared_members(layout, model, g) for g in chosen)
        if len(prepared_free) + prepared < model.size:
            continue
        # Also count the group that the free backend servers could form instead.
        loss = _loss(layout, chosen) + alternative_value
        gain = layout.need(model)
        if gain < MIN_GAIN_RATIO * loss:
            continue
        if best is None or gain - loss > best[0]:
            best = gain - loss, Conversion(model, chosen)
    return best


def _donor_sets(
    layout: Layout, model: ModelProfile, donors: Sequence[ReplicaGroup]
) -> Iterator[tuple[ReplicaGroup, ...]]:
    """Return the sets of groups that may be given up for one group of a model.

    A group of a model with large groups may need the members of many small ones.
    """
    for count in range(1, MAX_COMPARED_DONORS + 1):
        yield from combinations(donors, count)
    smallest = min(len(group.members) for group in donors)
    needed = math.ceil(model.size / max(smallest, 1))
    if needed <= MAX_COMPARED_DONORS:
        return
    ranked = sorted(
        donors, key=lambda g: _prepared_members(layout, model, g), reverse=True
    )
    for count in range(MAX_COMPARED_DONORS + 1, min(needed, len(ranked)) + 1):
        yield tuple(ranked[:count])


def _prepared_members(layout: Layout, model: ModelProfile, group: ReplicaGroup) -> int:
    """Return how many members of a group can join a model's groups without a load."""
    return sum(not layout.must_load(m, model) for m in group.members.values())


def _may_give_way(layout: Layout, group: ReplicaGroup, model: ModelProfile) -> bool:
    """Return whether a group may be given up for a model.

    A group whose model is no longer declared has no value of its own. It is given up
    only for a model that lacks groups; otherwise it would go to any staged model. The
    last group of a declared model is always kept, even at very low demand.
    """
    if layout.profile.model(group.model) is None:
        return layout.lacks(model)
    return layout.counts[group.model] > 1


def _loss(layout: Layout, groups: Sequence[ReplicaGroup]) -> float:
    """Return the total value of the groups that would be given up."""
    loss = 0.0
    given_up: dict[str, int] = {}
    for group in groups:
        model = layout.profile.model(group.model)
        if model is None:
            continue
        given_up[model.name] = given_up.get(model.name, 0) + 1
        loss += layout.need(model, change=-given_up[model.name])
    return loss
