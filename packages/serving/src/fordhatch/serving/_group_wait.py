"""How long a request should wait when no group of its model is open.

A caller loses nothing by waiting for a group that is on its way, and has its one retry
left if the node is lost meanwhile. Waiting for one that nobody forms is lost time: the
caller is told at once, and when it may be worth to come back.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from fordhatch.catalog import BackendServer, EngineProfile, MemberState, model_of_group

PROPAGATION_S = 0.4
"""What entries, orders and their effects take on their way beside the times that the
engine declares: groups opened 1.53 and 2.05 s after the decision where 1.4 and 1.9 s
are declared, and entries reach a node up to 0.2 s later."""

LOSS_TO_DECISION_S = 0.9
"""From the loss of a group to the decision to form another one: 0.38 s of silence, the
members' answers, one row in the store and the planner's own look."""

MAX_WAIT_FRACTION = 0.25
"""Share of a caller's time after which it should be back at the latest, so that most
of it is left for being served."""


@attrs.frozen
class GroupWait:
    """What to do with a request that has no group."""

    hold_s: float
    """How long a group may take that is on its way; 0 where none is."""
    retry_after_s: float
    """When a group may be open that nobody forms yet."""

    def retry_within_s(self, left_s: float) -> float:
        """Return when a caller should come back that has some time left."""
        return min(self.retry_after_s, MAX_WAIT_FRACTION * max(left_s, 0.0))


def group_wait(
    backends: Iterable[BackendServer], profile: EngineProfile, model: str
) -> GroupWait:
    """Return how long a group of a model takes to open, as far as entries show.

    Args:
        backends: The backend servers of the service.
        profile: Times of its engine.
        model: The model that is asked for.
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


def _states_of_pending_groups(
    backends: Iterable[BackendServer], model: str
) -> set[MemberState]:
    """Return the states of members whose groups have not opened yet."""
    states: dict[tuple[str, int], set[MemberState]] = {}
    for backend in backends:
        place = backend.membership
        if place is not None and model_of_group(place.group) == model:
            states.setdefault(place.key, set()).add(place.state)
    pending = (MemberState.JOINING, MemberState.READY)
    # Members of an open group other than the head report that they are ready.
    return {s for found in states.values() if found <= {*pending} for s in found}
