"""Checks of groups that nodes suspect of having lost a member."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, ReplicaGroup, StoreView, suspicion_key

from ._dissolutions import Dissolutions
from ._loss_check import LossCheck

WRITE_TIMEOUT_S = 1.0
"""Timeout of the removal of a row; also the pause after a failed removal."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class SuspicionCheck:
    """Probes the members of suspected groups and clears what is unfounded."""

    view: StoreView
    store: StoreClient
    timer: Timer
    losses: LossCheck
    dissolutions: Dissolutions
    _since_s: dict[Key, float] = attrs.field(factory=dict)
    """When each suspicion was first seen, in monotonic seconds."""
    _clearing: set[Key] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def find_lost(
        self, groups: dict[Key, ReplicaGroup]
    ) -> list[tuple[ReplicaGroup, str]]:
        """Check each suspicion, and return the groups that have lost a member.

        A suspicion is cleared when every member has answered a probe since, or when
        the group no longer exists.

        Args:
            groups: The groups as their members report them.

        Returns:
            The groups that are to be dissolved, each with the node that suspects it.
        """
        lost = []
        for key, suspicion in list(self.view.shared.suspicions.items()):
            group = groups.get(key)
            if group is None or key in self.dissolutions.released:
                self._clear(key)
                continue
            if self.dissolutions.is_dissolving(key):
                continue
            members = list(group.members.values())
            since_s = self._since_s.setdefault(key, self.timer.now_s())
            for member in members:
                self.losses.check(member, since_s)
            if any(m.backend_id in self.losses.dead for m in members):
                lost.append((group, suspicion.node_name))
            elif all(self.losses.is_alive(m.backend_id, since_s) for m in members):
                self._clear(key)
        return lost

    def _clear(self, key: Key) -> None:
        if key in self._clearing:
            return
        self._clearing.add(key)
        task = self._tasks.spawn(self._remove(key), f"clear-{key[0]}")
        task.add_done_callback(lambda _: self._clearing.discard(key))

    async def _remove(self, key: Key) -> None:
        row = RowKey(SHARED_TABLE, suspicion_key(*key))
        written = await self.store.write({}, {}, (row,), timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            log_event("suspicion_kept", group=key[0], error=written.err().message)
            await asyncio.sleep(WRITE_TIMEOUT_S)
            return
        self.view.shared.suspicions.pop(key, None)

    def forget(self) -> None:
        """Clear the state from this node's time as the planner."""
        self._since_s.clear()

    def prune(self) -> None:
        """Drop the state of suspicions that are gone."""
        for key in set(self._since_s) - set(self.view.shared.suspicions):
            del self._since_s[key]

    async def close(self) -> None:
        """Cancel pending removals."""
        await self._tasks.close()
