"""Tells the planner and the other nodes of groups that are silent."""

from __future__ import annotations

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, SharedRows, Suspicion, suspicion_key

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the row that tells the others."""

LOCAL_AVOID_S = 1.5
"""How long this node avoids a silent group by itself: it may be slow, and then
others serve better, but it is not lost."""

TELL_AGAIN_S = 4.0
"""A group that the planner has found to be alive is not reported again sooner: it is
slow, or out of this node's reach alone."""

TELL_SPREAD_S = 0.1
"""Nodes that see the same group fall silent tell of it within this time, each at a
moment of its own: the first one's word reaches the others in a few milliseconds, and
spares their calls to the store."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class StallWatch:
    """Silent groups, as this node and the others have seen them."""

    node_name: str
    timer: Timer
    store: StoreClient
    shared: SharedRows
    _avoided: dict[Key, float] = attrs.field(factory=dict)
    _told_s: dict[Key, float] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_suspect(self, head: BackendServer) -> bool:
        """Return whether a head's group is thought to stand still."""
        if head.membership is None:
            return True
        key = head.membership.key
        if key in self.shared.suspicions:
            return True
        return self._avoided.get(key, 0.0) > self.timer.now_s()

    def silent(self, head: BackendServer) -> None:
        """Take note that nothing comes from a head, and tell the planner."""
        if head.membership is None:
            return
        key = head.membership.key
        now_s = self.timer.now_s()
        self._avoided[key] = now_s + LOCAL_AVOID_S
        told_s = self._told_s.get(key, -TELL_AGAIN_S)
        if key in self.shared.suspicions or now_s - told_s < TELL_AGAIN_S:
            return
        self._told_s[key] = now_s
        log_event("group_silent", group=key[0], epoch=key[1], head=head.backend_id)
        self._tasks.spawn(self._tell(Suspicion(*key, self.node_name)), f"tell-{key[0]}")

    async def _tell(self, suspicion: Suspicion) -> None:
        await self.timer.sleep(self.timer.rng.random() * TELL_SPREAD_S)
        if (suspicion.group, suspicion.epoch) in self.shared.suspicions:
            return
        row = RowKey(SHARED_TABLE, suspicion_key(suspicion.group, suspicion.epoch))
        written = await self.store.write(
            {row: 0}, {row: suspicion.to_bytes()}, timeout_s=WRITE_TIMEOUT_S
        )
        if written.is_err():
            error = written.err().message
            log_event("suspicion_not_told", group=suspicion.group, error=error)

    def keep_only(self, groups: set[Key]) -> None:
        """Forget groups that are gone."""
        for since in (self._avoided, self._told_s):
            for key in set(since) - groups:
                del since[key]

    async def close(self) -> None:
        """Stop telling."""
        await self._tasks.close()
