"""A bounded queue with weighted fair shares between workspaces."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import attrs


@attrs.define(eq=False)
class Waiting:
    """One request in a queue."""

    workspace: str
    weight: float
    priority: int
    turn: asyncio.Future[bool]
    """True when the request may go, False when it was pushed out."""
    order: int = 0


@attrs.define
class FairQueue:
    """Serves workspaces by weight; within one, by priority and then by age.

    Start-time fair queueing: each workspace has a virtual time that advances by
    ``1 / weight`` with every request served; the lowest goes next.
    """

    limit: int
    _waiting: dict[str, list[Waiting]] = attrs.field(factory=dict)
    _virtual: dict[str, float] = attrs.field(factory=dict)
    _now: float = 0.0
    _count: int = 0
    _arrivals: int = 0

    def __len__(self) -> int:
        return self._count

    def push(self, entry: Waiting) -> bool:
        """Queue a request.

        When the queue is full, the newest request of the workspace that holds the
        most of it for its weight has to go, be it the one that arrives.

        Returns:
            Whether the request was queued.
        """
        self._arrivals += 1
        entry.order = self._arrivals
        if self._count >= self.limit and not self._push_out(entry):
            return False
        if entry.workspace not in self._waiting:
            # An idle workspace does not save up its share.
            last = self._virtual.get(entry.workspace, 0.0)
            self._virtual[entry.workspace] = max(last, self._now)
        entries = self._waiting.setdefault(entry.workspace, [])
        entries.append(entry)
        entries.sort(key=lambda e: (-e.priority, e.order))
        self._count += 1
        return True

    def ahead_of(self, workspace: str, weight: float) -> float:
        """Return how many requests would go before the next one of a workspace.

        Args:
            workspace: Whose request it would be.
            weight: The workspace's share.
        """
        turns = (len(self._waiting.get(workspace, ())) + 1) / weight
        return sum(
            min(len(entries), turns * entries[0].weight)
            for entries in self._waiting.values()
        )

    def _push_out(self, newcomer: Waiting) -> bool:
        def load(workspace: str, extra: int = 0) -> float:
            entries = self._waiting.get(workspace, [])
            weight = entries[0].weight if entries else newcomer.weight
            return (len(entries) + extra) / weight

        heaviest = max(self._waiting, key=load, default="")
        if not heaviest or load(heaviest) <= load(newcomer.workspace, 1):
            return False
        victim = self._waiting[heaviest][-1]
        self.discard(victim)
        if not victim.turn.done():
            victim.turn.set_result(False)
        return True

    def pop(self) -> Waiting | None:
        """Return the request whose turn it is, or None."""
        if not self._waiting:
            return None
        workspace = min(self._waiting, key=lambda w: (self._virtual[w], w))
        entry = self._waiting[workspace][0]
        self._now = self._virtual[workspace]
        self._virtual[workspace] += 1.0 / entry.weight
        self.discard(entry)
        return entry

    def discard(self, entry: Waiting) -> None:
        """Take a request out, if it is still there."""
        entries = self._waiting.get(entry.workspace, [])
        if entry not in entries:
            return
        entries.remove(entry)
        self._count -= 1
        if not entries:
            del self._waiting[entry.workspace]
            self._forget_idle()

    def _forget_idle(self) -> None:
        for workspace in list(self._virtual):
            if workspace not in self._waiting and self._virtual[workspace] <= self._now:
                del self._virtual[workspace]

    def __iter__(self) -> Iterator[Waiting]:
        for entries in self._waiting.values():
            yield from entries
