"""Waiting time of a request when no group of its model is open.

A group is a set of backend servers that serve one model together. A caller loses
nothing by waiting for a pending group, and still has its one retry if the node is lost
meanwhile. Waiting is useless if no group is pending: the request is refused at once,
with the time after which a retry may succeed.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from fordhatch.catalog import BackendServer, EngineProfile, MemberState, model_of_group

PROPAGATION_S = 0.4
"""Time for orders and entries to propagate and take effect, on top of the times that
the engine declares: groups open 1.53 and 2.05 s after the decision where 1.4 and 1.9 s
are declared, and entries reach a node up to 0.2 s later."""

LOSS_TO_DECISION_S = 0.9
"""Time from the loss of a group to the decision to form another one: 0.38 s of silence,
the members' answers, one row in the store and the planner's own check."""

MAX_WAIT_FRACTION = 0.25
"""Fraction of a request's remaining time that may be spent waiting, so that most of it
is left for being served."""


@attrs.frozen
class GroupWait:
    """Waiting times of a request that has no open group."""

    hold_s: float
    """How long a pending group may take to open; 0 if none is pending."""
    retry_after_s: float
    """When a group that is not being formed yet may be open."""

    def retry_within_s(self, left_s: float) -> float:
        """Return when to retry a request that has some time left, in seconds."""
        return min(self.retry_after_s, MAX_WAIT_FRACTION * max(left_s, 0.0))


def group_wait(
    backends: Iterable[BackendServer], profile: EngineProfile, model: str
) -> GroupWait:
    """Return how long a group of a model takes to open, judged by its members' entries.

    Args:
        backends: The backend servers of the service.
        profile: The profile of its engine.
        model: The requested model.
    """
    found = profile.model(model)
    warm_s = found.warm_s if found is not None else 0.0
    opening_s = profile.form_s + PROPAGATION_S
    states = _states_of_pending_groups(backends, model)
    hold_s = 0.0
    if MemberState.READY in states:
        hold_s = opening_s
    if MemberState.JOINING in states:
        hold_s = warm_s + opening_s
    return GroupWait(hold_s, LOSS_TO_DECISION_S + warm_s + opening_s)


PENDING_STATES = frozenset((MemberState.JOINING, MemberState.READY))
"""States of the members of a group that has not opened yet. The members of an open
group other than its head report that they are ready."""

GroupKey = tuple[str, int]
"""Group and epoch."""


def pending_groups(
    backends: Iterable[BackendServer], profile: EngineProfile, model: str
) -> dict[tuple[GroupKey, bool], float]:
    """Return how long each pending group of a model takes to open, in seconds.

    Args:
        backends: The backend servers of the service.
        profile: The profile of its engine.
        model: The requested model.

    Returns:
        The times by group, and by whether some of its members still join: they count
        from the moment at which the group is first in that state.
    """
    found = profile.model(model)
    warm_s = found.warm_s if found is not None else 0.0
    opening_s = profile.form_s + PROPAGATION_S
    times_s: dict[tuple[GroupKey, bool], float] = {}
    for key, states in _states_by_group(backends, model).items():
        if states <= PENDING_STATES:
            joins = MemberState.JOINING in states
            times_s[key, joins] = opening_s + (warm_s if joins else 0.0)
    return times_s


def _states_of_pending_groups(
    backends: Iterable[BackendServer], model: str
) -> set[MemberState]:
    """Return the states of members whose groups have not opened yet."""
    states = _states_by_group(backends, model)
    pending = PENDING_STATES
    return {s for found in states.values() if found <= {*pending} for s in found}


def _states_by_group(
    backends: Iterable[BackendServer], model: str
) -> dict[GroupKey, set[MemberState]]:
    states: dict[GroupKey, set[MemberState]] = {}
    for backend in backends:
        place = backend.membership
        if place is not None and model_of_group(place.group) == model:
            states.setdefault(place.key, set()).add(place.state)
    return states
