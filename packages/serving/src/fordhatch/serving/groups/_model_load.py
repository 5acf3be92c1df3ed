"""Observations of a model's open groups, as the capacity that admission decides by."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from fordhatch.catalog import BackendServer, EngineProfile, ModelKey
from fordhatch.core import Timer
from fordhatch.registry import BackendDirectory
from fordhatch.scheduling import GroupCapacity, ModelCapacity, OpeningGroup

from ..load import MAX_TOTAL_AGE_S, SharedLoad
from ._group_wait import GroupKey, pending_groups
from ._head_choice import HeadChoice

MIN_SAMPLE = 3
"""Fewest own requests in flight for which their ratio to those of all nodes is used;
with fewer the ratio varies too much, and the number of nodes is used instead."""

MIN_OPEN_IN_S = 0.05
"""Shortest expected time until a group opens, in seconds; applies to groups that are
later than expected."""


@attrs.frozen
class RequestSample:
    """This node's own requests for a model, as a sample of those of all nodes."""

    busy_s: float
    """Time that a usual request occupies a full group."""
    queued_by_level: Counter[int]
    """Requests that were sent and have no event yet."""
    arrivals_per_s: dict[int, float]


@attrs.define(eq=False, repr=False)
class ModelLoad:
    """Determines the capacity of models from what this node observes."""

    timer: Timer
    directory: BackendDirectory
    choice: HeadChoice
    node_count: Callable[[], int]
    shared: SharedLoad
    _pending_since_s: dict[ModelKey, dict[tuple[GroupKey, bool], float]] = attrs.field(
        factory=dict
    )
    """When groups that are not open yet were first seen in their state."""

    def heads(self, service: str, model: str) -> list[BackendServer]:
        """Return the heads that a new request may be sent to.

        If all of them are blocked, they count as open: a request waits for the first
        one that is free again, as without admission control.
        """
        choice = self.choice
        blocked = choice.pressure.blocked_backends()
        heads = [
            head
            for head in self.directory.open_heads(service, model)
            if not choice.stalls.is_lost(head)
        ]
        return [head for head in heads if head.backend_id not in blocked] or heads

    def group(self, head: BackendServer, profile: EngineProfile) -> GroupCapacity:
        """Return what is known of the group of a head."""
        return GroupCapacity(
            profile.slots,
            self.choice.health.slowness(head.backend_id),
            self.shared.total_in_flight(head.backend_id),
        )

    def is_recent(self) -> bool:
        """Return whether the requests of all nodes are known."""
        return self.shared.age_s() <= MAX_TOTAL_AGE_S

    def capacity(
        self, service: str, model: str, profile: EngineProfile, sample: RequestSample
    ) -> tuple[ModelCapacity, float]:
        """Return the capacity of a model, and the scale of this node's requests.

        The scale is the number of requests of all nodes for each own one.
        """
        heads = self.heads(service, model)
        groups = tuple(self.group(head, profile) for head in heads)
        scale = self._scale(heads, groups)
        capacity = ModelCapacity(
            groups,
            self._opening(service, model, profile),
            busy_s=sample.busy_s,
            queued_by_level=sample.queued_by_level,
            arrivals_per_s={q: n * scale for q, n in sample.arrivals_per_s.items()},
            is_recent=self.is_recent(),
        )
        return capacity, scale

    def _scale(
        self, heads: Iterable[BackendServer], groups: Iterable[GroupCapacity]
    ) -> float:
        own = sum(self.choice.health.in_flight[head.backend_id] for head in heads)
        if own < MIN_SAMPLE or not self.is_recent():
            return float(max(self.node_count(), 1))
        return max(sum(group.in_flight for group in groups) / own, 1.0)

    def _opening(
        self, service: str, model: str, profile: EngineProfile
    ) -> tuple[OpeningGroup, ...]:
        now_s = self.timer.now_s()
        pending = pending_groups(self.directory.of_service(service), profile, model)
        known = self._pending_since_s.get((service, model), {})
        since_s = {key: known.get(key, now_s) for key in pending}
        self._pending_since_s[service, model] = since_s
        return tuple(
            OpeningGroup(
                profile.slots, max(since_s[key] + opening_s - now_s, MIN_OPEN_IN_S)
            )
            for key, opening_s in pending.items()
        )
