"""Admission of the requests for one model at one node."""

from __future__ import annotations

import math
from collections import Counter

import attrs

from ._capacity import ModelCapacity
from ._decision import (
    DISCONNECT_GRACE_S,
    REFUSAL_FRACTION,
    PendingRequest,
    RefusalReason,
    Refuse,
    Send,
    Wait,
    decide,
    queue_fraction,
    request_level,
)
from ._fair_share import FairShares
from ._retry_times import RetryTimes
from ._waiting_line import Place, WaitingLine

MAX_WAITING = 128
"""Requests for a model that one node holds. Each of them keeps its body in memory, and
with 74 nodes more than this would wait longer than any caller does."""

RATE_WINDOW_S = 2.0
"""Time constant of the decay of the arrivals that are counted, in seconds."""

Settled = Send | Refuse


@attrs.define(eq=False, repr=False)
class Ticket:
    """One request on its way to a model."""

    rank: int
    """Rank of its urgency; 0 is the first."""
    ranks: int
    """Number of ranks in its service."""
    workspace: str
    goal_s: float
    """Latency objective for the first event."""
    arrived_s: float
    """Time of its arrival, in monotonic seconds."""
    give_up_s: float
    """When its caller gives up or its deadline passes, in monotonic seconds."""
    due_s: float
    """When its deadline passes, in monotonic seconds."""
    first_s: float
    """Time from its start in a slot to its first event, at the declared pace."""
    busy_s: float
    """Time that it occupies a full group of the declared pace, in seconds."""
    is_returning: bool = False
    """Whether its caller is known to have been refused before."""
    is_over_share: bool = False
    """Whether its workspace exceeds its share."""
    ahead: Counter[str] = attrs.field(factory=Counter)
    """Requests that waited before it when it arrived, by workspace."""

    @property
    def level(self) -> int:
        """Its place in the order of urgency and share; lower levels go first."""
        return request_level(self.rank, is_over_share=self.is_over_share)

    def may_be_refused(self, now_s: float) -> bool:
        """Return whether it arrived recently enough to be refused."""
        return now_s - self.arrived_s <= REFUSAL_FRACTION * self.goal_s

    def pending(self, now_s: float, ahead: float, granted: float) -> PendingRequest:
        """Return what the decision needs to know.

        Args:
            now_s: Current time in monotonic seconds.
            ahead: Requests of all nodes, not yet sent, that go before it.
            granted: Requests that may be sent already and are not in flight yet.
        """
        return PendingRequest(
            rank=self.rank,
            ranks=self.ranks,
            goal_s=self.goal_s,
            give_up_in_s=self.give_up_s - now_s,
            first_s=self.first_s,
            held_s=now_s - self.arrived_s,
            is_over_share=self.is_over_share,
            is_returning=self.is_returning,
            ahead=ahead,
            granted=granted,
        )


@attrs.define(eq=False, repr=False)
class ModelAdmission:
    """Decides on the requests for one model that arrive at one node."""

    shares: FairShares = attrs.field(factory=FairShares)
    retries: RetryTimes = attrs.field(factory=RetryTimes)
    line: WaitingLine[Ticket] = attrs.field(factory=lambda: WaitingLine(MAX_WAITING))
    granted: set[Ticket] = attrs.field(factory=set)
    """Requests that may be sent and are not in flight yet."""
    _arrivals: dict[int, float] = attrs.field(factory=dict)
    """Decaying count of arrivals by level."""
    _counted_s: float = -math.inf
    """Time of the latest arrival, in monotonic seconds."""
    _first_s: float = math.inf
    """Time of the first arrival, in monotonic seconds."""
    _count: int = 0
    """Number of arrivals so far; tells requests in the same place apart."""

    def arrivals_per_s(self, now_s: float) -> dict[int, float]:
        """Return the arrivals at this node per second, by level.

        Empty for one window after the first arrival: a node that has just started gets
        all requests that have waited for it at once, which is no rate.
        """
        if now_s - self._first_s < RATE_WINDOW_S:
            return {}
        arrivals = self._decayed_arrivals(now_s)
        return {level: count / RATE_WINDOW_S for level, count in arrivals.items()}

    def _decayed_arrivals(self, now_s: float) -> dict[int, float]:
        remaining = math.exp(-max(now_s - self._counted_s, 0.0) / RATE_WINDOW_S)
        return {level: count * remaining for level, count in self._arrivals.items()}

    def arrive(
        self, ticket: Ticket, capacity: ModelCapacity, part: float, now_s: float
    ) -> list[tuple[Ticket, Refuse]]:
        """Put a request into the line; ``review`` then decides on it.

        Args:
            ticket: The request.
            capacity: The capacity of its model.
            part: This node's part of the capacity, from 0 to 1.
            now_s: Current time in monotonic seconds.

        Returns:
            The request that is refused because too many wait, if there is one.
        """
        self._first_s = min(self._first_s, now_s)
        is_limited = capacity.is_recent and capacity.is_scarce
        groups = capacity.throughput_groups * part if is_limited else math.inf
        is_over = self.shares.count(ticket.workspace, ticket.busy_s, groups, now_s)
        ticket.is_over_share = is_over
        self._arrivals = self._decayed_arrivals(now_s)
        self._arrivals[ticket.level] = self._arrivals.get(ticket.level, 0.0) + 1.0
        self._counted_s = now_s
        self._count += 1
        place = Place(ticket.rank, ticket.is_over_share, ticket.give_up_s, self._count)
        ticket.ahead = Counter(t.workspace for t in self.line.before(place))
        pushed_out = self.line.add(place, ticket, lambda t: t.may_be_refused(now_s))
        if pushed_out is None:
            return []
        return [(pushed_out, Refuse(math.inf, RefusalReason.QUEUE_FULL))]

    def review(
        self, capacity: ModelCapacity, scale: float, now_s: float
    ) -> list[tuple[Ticket, Settled]]:
        """Return the requests that need not wait any longer, with the decisions.

        Args:
            capacity: The capacity of the model.
            scale: Requests of all nodes for each request of this node.
            now_s: Current time in monotonic seconds.
        """
        settled: list[tuple[Ticket, Settled]] = []
        position = 0
        for ticket in self.line:
            if not self._may_settle(ticket, capacity, now_s):
                position += 1
                continue
            granted = len(self.granted)
            pending = ticket.pending(now_s, granted + position * scale, granted)
            decision = decide(pending, capacity)
            if isinstance(decision, Wait):
                position += 1
                continue
            settled.append((ticket, decision))
            self.line.remove(ticket)
            if isinstance(decision, Send):
                self.granted.add(ticket)
        return settled

    def _may_settle(
        self, ticket: Ticket, capacity: ModelCapacity, now_s: float
    ) -> bool:
        """Return whether the decision on a request that waits may be another one.

        Avoids the full decision for the many requests that still wait for room.
        """
        if not (capacity.is_recent and capacity.serves):
            return True
        if ticket.may_be_refused(now_s):
            return True
        if ticket.give_up_s + DISCONNECT_GRACE_S <= now_s:
            return True
        fraction = queue_fraction(ticket.level, ticket.ranks)
        return capacity.room(fraction) >= 1.0 + len(self.granted)

    def leave(self, ticket: Ticket) -> None:
        """Forget a request that was sent, was refused, or whose caller has left."""
        self.line.remove(ticket)
        self.granted.discard(ticket)

    def retry_after_s(
        self,
        ticket: Ticket,
        expected_s: float,
        requests_per_s: float,
        spread: float,
        now_s: float,
    ) -> float:
        """Return after which time the caller of a refused request should retry.

        Args:
            ticket: The request.
            expected_s: Time to its first event if it were not refused, in seconds.
            requests_per_s: This node's part of the rate at which requests complete.
            spread: A random number from 0 to 1.
            now_s: Current time in monotonic seconds.
        """
        patience_s = ticket.give_up_s - ticket.arrived_s
        return self.retries.book(
            ticket.level,
            free_in_s=expected_s - patience_s,
            left_s=ticket.due_s - now_s,
            requests_per_s=requests_per_s,
            spread=spread,
            now_s=now_s,
        )
