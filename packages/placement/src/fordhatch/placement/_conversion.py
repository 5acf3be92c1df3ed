"""Gives up groups of one model for a group of another that is worth more."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import combinations

import attrs

from fordhatch.catalog import BackendServer, ModelProfile
from fordhatch.registry import ReplicaGroup

from ._layout import Layout, by_domain, choose_group

ADVANTAGE = 1.3
"""The new group must be worth this many times what is given up: closing and forming
take seconds in which neither serves, and the need changes with the next loss."""

MOST_DONORS = 2
"""Groups that may be given up for one."""


@attrs.frozen
class Conversion:
    """Groups to give up, and the model that gains."""

    model: ModelProfile
    donors: tuple[ReplicaGroup, ...]

    @property
    def domain(self) -> str:
        """The fabric domain in which it happens."""
        return self.donors[0].head.domain


def choose_conversion(
    layout: Layout,
    free: Sequence[BackendServer],
    serving: Sequence[ReplicaGroup],
) -> Conversion | None:
    """Return the most useful conversion, or None.

    Args:
        layout: The groups that there are.
        free: Backend servers that are in no group.
        serving: Groups that serve and may be given up.
    """
    best: tuple[float, Conversion] | None = None
    free_by_domain = by_domain(free)
    for domain, groups in sorted(_by_domain(serving).items()):
        for model in layout.profile.models:
            if model.name in layout.held_off:
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
    quick = [b for b in free if not layout.must_load(b, model)]
    donors = [
        g for g in groups if g.model != model.name and _may_give(layout, g, model)
    ]
    if not donors:
        return None
    plan = choose_group(layout, free)
    instead = layout.value(plan) if plan is not None else 0.0
    best: tuple[float, Conversion] | None = None
    for count in range(1, MOST_DONORS + 1):
        for chosen in combinations(donors, count):
            members = [m for g in chosen for m in g.members.values()]
            ready = [m for m in members if not layout.must_load(m, model)]
            if len(quick) + len(ready) < model.size:
                continue
            # What the free ones could do without them is given up as well.
            loss = _loss(layout, chosen) + instead
            gain = layout.need(model)
            if gain < ADVANTAGE * loss:
                continue
            if best is None or gain - loss > best[0]:
                best = gain - loss, Conversion(model, chosen)
    return best


def _may_give(layout: Layout, group: ReplicaGroup, model: ModelProfile) -> bool:
    """Return whether a group may give way to a model.

    One whose own model is no longer declared is worth nothing by itself: it only
    gives way to a model that lacks groups, or it would go to whatever is staged. The
    last group of a declared model stays, however little is asked of it.
    """
    if layout.profile.model(group.model) is None:
        return layout.lacks(model)
    return layout.counts[group.model] > 1


def _loss(layout: Layout, groups: Sequence[ReplicaGroup]) -> float:
    """Return what the groups are worth that would be given up."""
    loss = 0.0
    given_up: dict[str, int] = {}
    for group in groups:
        model = layout.profile.model(group.model)
        if model is None:
            continue
        given_up[model.name] = given_up.get(model.name, 0) + 1
        loss += layout.need(model, change=-given_up[model.name])
    return loss
