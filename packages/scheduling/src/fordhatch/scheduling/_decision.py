"""Decision on one request: send it, let it wait, or refuse it."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ._capacity import ModelCapacity

REFUSAL_FRACTION = 0.25
"""Fraction of the latency objective within which a request is refused, if at all: a
caller who is refused early has time to retry."""

FULL_QUEUE_FRACTION = 0.8
"""Longest queue of a group that requests of the first rank are sent to, as a fraction
of its slots. Groups queue about as many requests as they run and refuse the rest; the
difference is for requests of nodes that do not know of each other yet."""

DISCONNECT_GRACE_S = 0.1
"""How long a held request is kept after its caller should have given up, in seconds.
Callers who have done so disconnect, and only the others are still refused."""


def request_level(rank: int, *, is_over_share: bool) -> int:
    """Return the level of a request; lower levels go first.

    Args:
        rank: Rank of its urgency.
        is_over_share: Whether its workspace exceeds its share.
    """
    return 2 * rank + is_over_share


def queue_fraction(level: int, ranks: int) -> float:
    """Return the longest queue of a group that a request is sent to.

    Less urgent requests leave room in the queue, so that the group does not refuse more
    urgent ones; so do requests over their workspace's share.

    Args:
        level: Level of the request.
        ranks: Number of ranks in its service.

    Returns:
        The length of the queue as a fraction of the group's slots.
    """
    return FULL_QUEUE_FRACTION * (1.0 - level / (2.0 * max(ranks, 1)))


class RefusalReason(StrEnum):
    """Why a request is refused."""

    NOTHING_OPEN = "nothing_open"
    """No group is open, and none opens in time."""
    TOO_LATE = "too_late"
    """Its first event would come after its caller has given up."""
    WAITED = "waited"
    """It waited for as long as its caller does."""
    QUEUE_FULL = "queue_full"
    """The node holds too many requests already."""


@attrs.frozen
class Send:
    """Send the request now."""

    expected_s: float
    """Expected time to the first event."""


@attrs.frozen
class Wait:
    """Hold the request, and decide again when something changes."""

    expected_s: float
    """Expected time to the first event."""
    at_most_s: float
    """Longest further wait."""


@attrs.frozen
class Refuse:
    """Refuse the request now."""

    expected_s: float
    """Expected time to the first event."""
    reason: RefusalReason


Decision = Send | Wait | Refuse


@attrs.frozen
class PendingRequest:
    """A request that was not sent yet."""

    rank: int
    """Rank of its urgency; 0 is the first."""
    ranks: int
    """Number of ranks in its service."""
    goal_s: float
    """Latency objective for the first event."""
    give_up_in_s: float
    """Time until its caller gives up or its deadline passes."""
    first_s: float
    """Time from its start in a slot to its first event, at the declared pace."""
    held_s: float = 0.0
    """Time since its arrival."""
    is_over_share: bool = False
    """Whether its workspace exceeds its share."""
    is_returning: bool = False
    """Whether its caller is known to have been refused before."""
    ahead: float = 0.0
    """Requests of all nodes, not yet sent, that go before it."""
    granted: float = 0.0
    """Requests that may be sent already and are not counted in flight yet."""

    @property
    def level(self) -> int:
        """Its place in the order of urgency and share; lower levels go first."""
        return request_level(self.rank, is_over_share=self.is_over_share)

    @property
    def may_be_refused(self) -> bool:
        """Whether it arrived recently enough to be refused."""
        return self.held_s <= REFUSAL_FRACTION * self.goal_s


def decide(request: PendingRequest, capacity: ModelCapacity) -> Decision:
    """Return what to do with a request.

    Args:
        request: The request.
        capacity: The capacity of its model. If it is not recent, a request is refused
            only if no group is open.
    """
    expected_s = capacity.first_event_s(request.level, request.first_s, request.ahead)
    is_in_time = expected_s <= request.give_up_in_s
    if not capacity.is_recent and capacity.serves:
        return Send(expected_s)
    has_room = (
        capacity.room(queue_fraction(request.level, request.ranks))
        >= 1.0 + request.granted
    )
    # A request that was held is not refused any more, and neither is one that was
    # refused before.
    is_kept = not request.may_be_refused or (request.is_returning and capacity.serves)
    if has_room and (is_in_time or is_kept):
        return Send(expected_s)
    left_s = request.give_up_in_s + DISCONNECT_GRACE_S
    if (is_in_time or is_kept) and left_s > 0:
        return Wait(expected_s, left_s)
    if not request.may_be_refused:
        return Refuse(expected_s, RefusalReason.WAITED)
    if capacity.serves:
        return Refuse(expected_s, RefusalReason.TOO_LATE)
    return Refuse(expected_s, RefusalReason.NOTHING_OPEN)
