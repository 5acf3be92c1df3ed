"""Capacity of a model: when a request of a given level gets its first event.

The level of a request joins the rank of its urgency and whether its workspace exceeds
its share; an engine's queue runs lower levels first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from functools import cached_property

import attrs

MIN_BUSY_S = 0.001
"""Lower bound of the time that a request occupies a group, in seconds, against a
division by zero."""

MAX_QUEUE_S = 1.0
"""Longest wait in a group's queue that requests are sent into, in seconds. A stream
without an event for 1.4 s counts as silent and is run elsewhere, behind others."""


@attrs.frozen
class GroupCapacity:
    """An open group of the model."""

    slots: int
    """Number of requests that it runs at once."""
    pace: float = 1.0
    """How many times longer than declared its work takes."""
    in_flight: float = 0.0
    """Requests of all nodes that it runs or queues."""

    @property
    def free_slots(self) -> float:
        """Number of requests that would start at once."""
        return max(self.slots - self.in_flight, 0.0)

    @property
    def queued(self) -> float:
        """Number of requests that wait for a slot there."""
        return max(self.in_flight - self.slots, 0.0)

    def room(self, queue_fraction: float, busy_s: float) -> float:
        """Return how many more requests may be sent to it.

        Args:
            queue_fraction: Longest queue, as a fraction of its slots and of the longest
                wait in a queue. The queue of a slow group is shorter, so that the wait
                in it is the same.
            busy_s: Time that a usual request occupies a full group of the declared
                pace, in seconds.
        """
        per_s = 1.0 / max(busy_s, MIN_BUSY_S)
        queue = queue_fraction * min(self.slots, MAX_QUEUE_S * per_s)
        limit = self.slots + queue / max(self.pace, 1.0)
        return max(limit - self.in_flight, 0.0)


@attrs.frozen
class OpeningGroup:
    """A group of the model that is being formed."""

    slots: int
    open_in_s: float
    """Time until it opens."""


@attrs.frozen
class _Fastest:
    """Sums over the fastest groups: all that are at most as slow as a given one."""

    pace: float
    """Pace of the slowest of them."""
    groups: float
    """Their throughput, in groups of the declared pace."""
    free_slots: float
    queued: float
    """Requests that wait for a slot there."""


@attrs.frozen(slots=False)
class ModelCapacity:
    """What is known of a model's groups and of the requests there."""

    groups: tuple[GroupCapacity, ...]
    opening: tuple[OpeningGroup, ...] = ()
    busy_s: float = 1.0
    """Time that a usual request occupies a full group of the declared pace."""
    queued_by_level: Mapping[int, float] = attrs.field(factory=dict)
    """A sample of the requests that wait for a slot, by level."""
    arrivals_per_s: Mapping[int, float] = attrs.field(factory=dict)
    """Requests of all nodes per second, by level."""
    is_recent: bool = True
    """Whether the requests of all nodes are known, and recent."""

    _rooms: dict[float, float] = attrs.field(factory=dict, init=False, eq=False)
    """Results of ``room``, which is queried for each request that waits."""

    @cached_property
    def _fastest(self) -> list[_Fastest]:
        sums: list[_Fastest] = []
        groups = free = queued = 0.0
        for group in sorted(self.groups, key=lambda g: g.pace):
            pace = max(group.pace, 1.0)
            groups += 1.0 / pace
            free += group.free_slots
            queued += group.queued
            sums.append(_Fastest(pace, groups, free, queued))
        return sums

    @property
    def throughput_groups(self) -> float:
        """Throughput of the open groups, in groups of the declared pace."""
        return self._fastest[-1].groups if self._fastest else 0.0

    @property
    def requests_per_s(self) -> float:
        """Requests that the open groups complete per second."""
        return self.throughput_groups / max(self.busy_s, MIN_BUSY_S)

    @property
    def is_scarce(self) -> bool:
        """Whether no open group has a free slot."""
        return not any(group.free_slots >= 1.0 for group in self.groups)

    @property
    def serves(self) -> bool:
        """Whether any group is open."""
        return bool(self.groups)

    def room(self, queue_fraction: float) -> float:
        """Return how many more requests may be sent to the open groups."""
        found = self._rooms.get(queue_fraction)
        if found is None:
            found = sum(
                group.room(queue_fraction, self.busy_s) for group in self.groups
            )
            self._rooms[queue_fraction] = found
        return found

    def first_event_s(self, level: int, first_s: float, ahead: float = 0.0) -> float:
        """Return the time until a request gets its first event; infinite if never.

        Args:
            level: The request's level; lower levels go first.
            first_s: Time from its start in a slot to its first event, at the declared
                pace, in seconds.
            ahead: Requests not yet sent that go before it.
        """
        left = self._fraction_left(level)
        # Also consider using none of the open groups, but only those that open soon.
        none_open = _Fastest(1.0, 0.0, 0.0, 0.0)
        return min(
            self._wait_s(fastest, level, ahead, left) + first_s * fastest.pace
            for fastest in [none_open, *self._fastest]
        )

    def _fraction_left(self, level: int) -> float:
        """Return the fraction of the capacity that more urgent arrivals leave."""
        urgent_per_s = sum(
            per_s for other, per_s in self.arrivals_per_s.items() if other < level
        )
        total = self.throughput_groups + len(self.opening)
        used = urgent_per_s * self.busy_s / total if total else 0.0
        return max(1.0 - used, 0.0)

    def _wait_s(
        self, fastest: _Fastest, level: int, ahead: float, left: float
    ) -> float:
        """Return the wait for a slot at some groups or at those that are opening.

        Args:
            fastest: The open groups that are considered.
            level: The request's level.
            ahead: Requests not yet sent that go before it.
            left: Fraction of the capacity that more urgent arrivals leave.

        Returns:
            The wait in seconds; infinite if no slot becomes free.
        """
        need = 1.0 + ahead - fastest.free_slots
        if need <= 0 and fastest.groups:
            return 0.0
        need += fastest.queued * self._fraction_ahead(level)
        busy_s = max(self.busy_s, MIN_BUSY_S)
        per_s = left * fastest.groups / busy_s
        at_s = 0.0
        for group in sorted(self.opening, key=lambda g: g.open_in_s):
            served = per_s * (group.open_in_s - at_s)
            if served >= need:
                break
            need -= served + group.slots
            at_s = group.open_in_s
            if need <= 0:
                return at_s
            per_s += left / busy_s
        return at_s + need / per_s if per_s > 0 else math.inf

    def _fraction_ahead(self, level: int) -> float:
        """Return the fraction of the queued requests that are at least as urgent.

        One more than the sample has counts, so that without a sample all of them do.
        """
        total = sum(self.queued_by_level.values())
        ahead = sum(
            count for other, count in self.queued_by_level.items() if other <= level
        )
        return (ahead + 1.0) / (total + 1.0)
