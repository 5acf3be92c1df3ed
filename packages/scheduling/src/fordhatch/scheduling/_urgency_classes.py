"""Urgency classes that tell an engine's queue which requests to run first."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

CLASS_COUNT = 10
"""Number of classes on the wire, 0 (first) to 9."""

CLASSES_PER_RANK = 2
"""Each urgency has a class for requests within their workspace's share, and the next
one for requests over it."""


@attrs.frozen
class UrgencyClasses:
    """The distinct urgencies of a service, the most urgent first."""

    urgencies: tuple[int, ...]

    @classmethod
    def from_urgencies(cls, urgencies: Iterable[int]) -> UrgencyClasses:
        """Return the classes for urgencies in any order; 0 is the most urgent."""
        return cls(tuple(sorted(set(urgencies))))

    @property
    def ranks(self) -> int:
        """Number of ranks that the classes distinguish."""
        return min(len(self.urgencies), CLASS_COUNT // CLASSES_PER_RANK)

    def rank(self, urgency: int) -> int:
        """Return the rank of an urgency, 0 for the most urgent.

        Neighbouring urgencies share a rank if there are more urgencies than ranks, so
        that none is ranked behind a less urgent one.
        """
        position = sum(known < urgency for known in self.urgencies)
        position = min(position, max(len(self.urgencies) - 1, 0))
        return position * self.ranks // max(len(self.urgencies), 1)

    def wire_class(self, rank: int, *, is_over_share: bool) -> int:
        """Return the class for a request.

        Class 0 is left to resumed streams while there are classes to spare.

        Args:
            rank: Rank of its urgency.
            is_over_share: Whether its workspace exceeds its share.
        """
        used = CLASSES_PER_RANK * self.ranks
        first = 1 if used < CLASS_COUNT else 0
        return first + CLASSES_PER_RANK * rank + is_over_share
