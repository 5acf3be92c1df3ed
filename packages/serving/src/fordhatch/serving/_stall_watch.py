"""Groups that are silent: avoided here, and reported if a member is lost or slow."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.adapter import ABSENT, BackendClient, RowKey, StoreClient
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import (
    SHARED_TABLE,
    BackendDirectory,
    SharedRows,
    Suspicion,
    probe,
    slow_key,
    suspicion_key,
)

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the row that tells the others."""

LOCAL_AVOID_S = 1.5
"""How long this node avoids a silent group by itself: it may be slow, and then
others serve better, but it is not lost."""

CHECK_AGAIN_S = 1.5
"""A group whose members were asked is not asked about again sooner."""

SLOW_AGAIN_S = 4.0
"""The same where its streams go on, but slowly: it may only have much to do, and each
look costs a report of each member."""

CHECK_SPREAD_S = 0.1
"""Nodes that see the same group fall silent look into it within this time, each at a
moment of its own: the first one's word spares the others theirs."""

LOOK_AGAIN_S = 1.2
"""How often the missed members of a group are asked again that this node has found to
be lost. While the store is away nobody takes the group apart, and each request that is
sent there to find out is late."""

SLOW_PACE = 2.0
"""A member whose work takes this many times longer than usual makes its group's streams
late even when nothing waits there: first events are due within twice or three times
what they take."""

HOLD_S = 4.0
"""How long a group counts as lost by another node's word: the planner takes it apart
or finds it alive within a second, unless it is out of reach itself."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class StallWatch:
    """Silent groups, as this node and the others have seen them.

    Under load a group may be silent for longer than its pace explains. If every node
    reported each such group, all requests would go to the remaining ones, which would
    fall silent in turn. So a group is reported as lost only if a member of it does not
    answer, and its members as slow only by their own reports.
    """

    node_name: str
    timer: Timer
    store: StoreClient
    backends: BackendClient
    shared: SharedRows
    directory: BackendDirectory
    _avoided: dict[Key, float] = attrs.field(factory=dict)
    _checked_s: dict[Key, float] = attrs.field(factory=dict)
    _lost_since_s: dict[Key, float] = attrs.field(factory=dict)
    """When this node first looked at the word of another node, or its own."""
    _found_lost: set[Key] = attrs.field(factory=set)
    """Groups that lack a member, as this node itself has found."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_lost(self, head: BackendServer) -> bool:
        """Return whether some node has found that a head's group lacks a member."""
        if head.membership is None:
            return True
        key = head.membership.key
        if key in self._found_lost:
            return True
        if key not in self.shared.suspicions:
            return False
        now_s = self.timer.now_s()
        return now_s - self._lost_since_s.setdefault(key, now_s) < HOLD_S

    def is_avoided(self, head: BackendServer) -> bool:
        """Return whether a head was silent lately, as far as this node knows."""
        key = head.membership.key
        return self._avoided.get(key, 0.0) > self.timer.now_s()

    def silent(self, head: BackendServer) -> None:
        """Take note that nothing comes from a head; others go first for a while."""
        if head.membership is None:
            return
        self._avoided[head.membership.key] = self.timer.now_s() + LOCAL_AVOID_S
        self.check(head)

    def check(self, head: BackendServer, again_s: float = CHECK_AGAIN_S) -> None:
        """Find out whether the group of a head has a lost or slow member, and tell.

        Args:
            head: The head of the group.
            again_s: Its members are not asked again sooner than this.
        """
        if head.membership is None:
            return
        key = head.membership.key
        now_s = self.timer.now_s()
        checked_s = self._checked_s.get(key, -again_s)
        if key in self.shared.suspicions or now_s - checked_s < again_s:
            return
        self._checked_s[key] = now_s
        log_event("group_silent", group=key[0], epoch=key[1], head=head.backend_id)
        self._tasks.spawn(self._check(head), f"check-{key[0]}")

    async def _check(self, head: BackendServer) -> None:
        await self.timer.sleep(self.timer.rng.random() * CHECK_SPREAD_S)
        key = head.membership.key
        if key in self.shared.suspicions:
            return
        members = self._members(head)
        answers = await self._ask(members)
        lost = [m for m in members if answers[m.backend_id] is None]
        missed = [m.backend_id for m in lost]
        slow = {b: pace for b, pace in answers.items() if pace and pace >= SLOW_PACE}
        log_event(
            "group_checked",
            group=key[0],
            epoch=key[1],
            members=len(members),
            missed=",".join(missed),
            slow=",".join(f"{b}:{pace:g}" for b, pace in slow.items()),
        )
        if not missed:
            await self._tell_slow(slow)
            return
        if key not in self._found_lost:
            self._found_lost.add(key)
            self._tasks.spawn(self._until_whole(key, lost), f"lost-{key[0]}")
        if key not in self.shared.suspicions:
            await self._tell(Suspicion(*key, self.node_name))

    async def _until_whole(self, key: Key, lost: list[BackendServer]) -> None:
        """Ask the missed members until they answer, or their group is gone."""
        try:
            while lost and key in self._found_lost:
                await self.timer.sleep(self.timer.jittered(LOOK_AGAIN_S))
                lost = await self._missed(lost)
        finally:
            self._found_lost.discard(key)

    async def _missed(self, members: list[BackendServer]) -> list[BackendServer]:
        """Return those of the members that do not answer."""
        answers = await self._ask(members)
        return [m for m in members if answers[m.backend_id] is None]

    async def _ask(self, members: list[BackendServer]) -> dict[str, float | None]:
        """Return the pace of each member, None for one that does not answer."""
        answers = await asyncio.gather(*(probe(self.backends, m) for m in members))
        return {
            m.backend_id: answer.unwrap().pace
            if answer.is_ok() and answer.unwrap().is_of(m)
            else None
            for m, answer in zip(members, answers, strict=True)
        }

    async def _tell_slow(self, slow: dict[str, float]) -> None:
        """Tell the other nodes, and the planner, of slow members."""
        new = {b: pace for b, pace in slow.items() if b not in self.shared.slow}
        if not new:
            return
        # Here it holds at once, the others hear of it from the store.
        self.shared.slow.update(new)
        puts = {RowKey(SHARED_TABLE, slow_key(b)): b"%g" % p for b, p in new.items()}
        written = await self.store.write({}, puts, timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            error = written.err().message
            log_event("slowness_not_told", backends=",".join(new), error=error)

    def _members(self, head: BackendServer) -> list[BackendServer]:
        group = self.directory.groups(head.service).get(head.membership.key)
        return list(group.members.values()) if group is not None else [head]

    async def _tell(self, suspicion: Suspicion) -> None:
        row = RowKey(SHARED_TABLE, suspicion_key(suspicion.group, suspicion.epoch))
        written = await self.store.write(
            {row: ABSENT}, {row: suspicion.to_bytes()}, timeout_s=WRITE_TIMEOUT_S
        )
        if written.is_err():
            error = written.err().message
            log_event("suspicion_not_told", group=suspicion.group, error=error)

    def keep_only(self, groups: set[Key]) -> None:
        """Forget groups that are gone."""
        for since in (self._avoided, self._checked_s, self._lost_since_s):
            for key in set(since) - groups:
                del since[key]
        self._found_lost &= groups

    async def close(self) -> None:
        """Stop asking and telling."""
        await self._tasks.close()
