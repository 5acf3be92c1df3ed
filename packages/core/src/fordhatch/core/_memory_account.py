"""Bytes that a node holds for others, counted against one bound."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

import attrs

from ._timer import Timer

USUAL_MEMORY_BYTES = 300_000_000
"""Memory of a node whose settings name none."""

CAPACITY_FRACTION = 0.33
"""Part of a node's memory that may be held for others: a node without any uses a sixth
of it, and what is held is copied on its way."""

RESERVE_FACTOR = 1.25
"""Multiple of the capacity up to which short requests are still taken on."""

BUFFERS_AGE_S = 0.1
"""Longest age of the sizes of buffers: asking all connections takes longer than a
request."""


@attrs.define(eq=False, repr=False)
class Holding:
    """What one request, or one other piece of work, holds in a node's memory."""

    account: MemoryAccount
    kind: str
    held_bytes: int = 0
    is_over: bool = False
    """Whether its work has ended; what still comes is not counted any more."""

    def add(self, size_bytes: int) -> None:
        """Count bytes that are held from now on."""
        if not self.is_over:
            self.held_bytes += size_bytes
            self.account.held_bytes[self.kind] += size_bytes

    def remove(self, size_bytes: int) -> None:
        """Count bytes that are held no longer, at most those that are counted."""
        self.add(-min(size_bytes, self.held_bytes))

    def end(self) -> None:
        """Count nothing any more."""
        self.remove(self.held_bytes)
        self.is_over = True


@attrs.define(eq=False, repr=False)
class MemoryAccount:
    """Counts all bytes that a node holds for others.

    Beyond its capacity, new work is refused and answers are passed on as they come
    instead of being held; work that has begun is never refused. Buffers of connections,
    and answers of the store, give way to nothing, but take room from new work.
    """

    timer: Timer
    capacity_bytes: float = CAPACITY_FRACTION * USUAL_MEMORY_BYTES
    held_bytes: Counter[str] = attrs.field(factory=Counter)
    """Bytes that are counted as they come and go, by kind."""
    _buffers: dict[str, Callable[[], int]] = attrs.field(factory=dict)
    _buffers_bytes: dict[str, int] = attrs.field(factory=dict)
    _asked_s: float = -math.inf

    def set_memory(self, memory_mb: float) -> None:
        """Set the capacity from the memory of the node.

        Args:
            memory_mb: In megabytes; 0 if the settings name none.
        """
        memory_bytes = memory_mb * 1e6 or USUAL_MEMORY_BYTES
        self.capacity_bytes = CAPACITY_FRACTION * memory_bytes

    def hold(self, kind: str) -> Holding:
        """Return a count for a piece of work, which has to be ended with it."""
        return Holding(self, kind)

    def add_buffers(self, kind: str, size_bytes: Callable[[], int]) -> None:
        """Count the buffers of connections as well.

        Args:
            kind: Names them in metrics.
            size_bytes: Returns how many bytes they hold now.
        """
        self._buffers[kind] = size_bytes

    def by_kind(self) -> dict[str, int]:
        """Return what is held, in bytes by kind."""
        now_s = self.timer.now_s()
        if now_s - self._asked_s > BUFFERS_AGE_S:
            self._asked_s = now_s
            self._buffers_bytes = {k: size() for k, size in self._buffers.items()}
        return {**self.held_bytes, **self._buffers_bytes}

    def has_room(self, size_bytes: int = 0) -> bool:
        """Return whether so many more bytes may be held."""
        return sum(self.by_kind().values()) + size_bytes <= self.capacity_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether not even short requests may be taken on."""
        limit_bytes = RESERVE_FACTOR * self.capacity_bytes
        return sum(self.by_kind().values()) > limit_bytes
