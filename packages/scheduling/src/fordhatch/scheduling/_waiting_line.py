"""Order of the requests that wait in a node."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.frozen(order=True)
class Place:
    """Place of a request among those that wait; the smallest goes first."""

    rank: int
    """Rank of its urgency."""
    is_over_share: bool
    """Whether its workspace exceeds its share."""
    give_up_s: float
    """When its caller gives up, in monotonic seconds. Requests with the same patience
    keep the order of their arrival, and short deadlines go before long ones."""
    number: int = 0
    """Order of arrival."""


@attrs.define(eq=False, repr=False)
class WaitingLine(Generic[T]):
    """A bounded number of requests in the order in which they are sent."""

    limit: int
    _entries: list[tuple[Place, T]] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[T]:
        return iter([item for _, item in self._entries])

    def add(
        self, place: Place, item: T, may_leave: Callable[[T], bool] = lambda _: True
    ) -> T | None:
        """Add a request, and return the one that leaves if there are too many, or None.

        Args:
            place: Its place; different for each request.
            item: The request.
            may_leave: Returns whether a request may be the one that leaves. The last
                of those leaves, or the last of all if there are none.
        """
        insort(self._entries, (place, item), key=lambda entry: entry[0])
        if len(self._entries) <= self.limit:
            return None
        last_first = [other for _, other in reversed(self._entries)]
        leaving = next(filter(may_leave, last_first), last_first[0])
        self.remove(leaving)
        return leaving

    def before(self, place: Place) -> list[T]:
        """Return the requests that go before a place."""
        index = bisect_left(self._entries, place, key=lambda entry: entry[0])
        return [item for _, item in self._entries[:index]]

    def remove(self, item: T) -> None:
        """Remove a request if it is there."""
        self._entries = [e for e in self._entries if e[1] is not item]
