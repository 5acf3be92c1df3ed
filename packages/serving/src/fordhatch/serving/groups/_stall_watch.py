"""Detects silent groups, and reports those with a lost or slow member."""

from __future__ import annotations

import asyncio

import attrs
from result import Result

from fordhatch.adapter import (
    ABSENT,
    BackendReport,
    RowKey,
    StoreClient,
)
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, ResultCode, TaskSet, Timer, log_event
from fordhatch.registry import (
    SHARED_TABLE,
    BackendDirectory,
    BackendProber,
    Responder,
    SharedRows,
    Suspicion,
    identify,
    slow_key,
    suspicion_key,
)

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store to accept a report, in seconds."""

LOCAL_AVOID_S = 1.5
"""How long this node alone avoids a silent group, in seconds. The group may only be
slow, in which case other groups serve faster, but it is not lost."""

MIN_CHECK_INTERVAL_S = 1.5
"""Minimum time between two checks of a group's members, in seconds."""

SLOW_CHECK_INTERVAL_S = 4.0
"""The same for a group whose streams continue slowly, in seconds. It may only be
loaded, and each check costs a report from each member."""

CHECK_SPREAD_S = 0.1
"""Time over which nodes spread their checks of a group that falls silent, in seconds.
The report of the first node makes the checks of the others unnecessary."""

LOST_POLL_INTERVAL_S = 1.2
"""How often the missing members of a group that this node has found to be lost are
probed, in seconds. While the store is unavailable the planner does not dissolve the
group, and each request that is sent there as a test is late."""

SLOW_PACE = 2.0
"""Pace (duration of its work relative to usual) from which a member is slow. Its group
delays streams even when it is idle: the objective for the first event is two to three
times its usual time."""

SUSPICION_VALIDITY_S = 4.0
"""How long a group counts as lost because another node reported it, in seconds. The
planner dissolves the group or finds it working within a second, unless the planner
itself is unreachable."""

GroupKey = tuple[str, int]


@attrs.define(eq=False, repr=False)
class StallWatch:
    """Silent groups, as observed by this node and reported by others.

    Under load a group may be silent for longer than its pace explains. If every node
    reported each such group, all requests would go to the remaining groups, which would
    fall silent in turn. So a group is reported as lost only if one of its members does
    not answer a probe, and a member as slow only by its own report.
    """

    node_name: str
    timer: Timer
    store: StoreClient
    prober: BackendProber
    shared: SharedRows
    directory: BackendDirectory
    _avoided: dict[GroupKey, float] = attrs.field(factory=dict)
    _checked_s: dict[GroupKey, float] = attrs.field(factory=dict)
    _lost_since_s: dict[GroupKey, float] = attrs.field(factory=dict)
    """When this node first used a report of a lost group, its own or another node's."""
    _found_lost: set[GroupKey] = attrs.field(factory=set)
    """Groups that this node itself has found to lack a member."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_lost(self, head: BackendServer) -> bool:
        """Return whether a node has found that a head's group lacks a member."""
        if head.membership is None:
            return True
        key = head.membership.key
        if key in self._found_lost:
            return True
        if key not in self.shared.suspicions:
            return False
        now_s = self.timer.now_s()
        return now_s - self._lost_since_s.setdefault(key, now_s) < SUSPICION_VALIDITY_S

    def has_found_lost(self, head: BackendServer) -> bool:
        """Return whether this node itself has found that a group lacks a member."""
        return head.membership is None or head.membership.key in self._found_lost

    def is_avoided(self, head: BackendServer) -> bool:
        """Return whether this node avoids a head because it was silent recently."""
        key = head.membership.key
        return self._avoided.get(key, 0.0) > self.timer.now_s()

    def report_silence(self, head: BackendServer) -> None:
        """Avoid a silent head for a while, and check its group."""
        if head.membership is None:
            return
        self._avoided[head.membership.key] = self.timer.now_s() + LOCAL_AVOID_S
        self.check(head)

    def check(self, head: BackendServer, again_s: float = MIN_CHECK_INTERVAL_S) -> None:
        """Start a check for lost or slow members of a group, and report them.

        Args:
            head: The head of the group.
            again_s: Minimum time since the last check of the group, in seconds.
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
        answers = await self._probe(members)
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
            await self._report_slow(slow)
            return
        if key not in self._found_lost:
            self._found_lost.add(key)
            self._tasks.spawn(self._poll_until_complete(key, lost), f"lost-{key[0]}")
        if key not in self.shared.suspicions:
            await self._report_lost(Suspicion(*key, self.node_name))

    async def _poll_until_complete(
        self, key: GroupKey, lost: list[BackendServer]
    ) -> None:
        """Probe the missing members until all of them answer or their group is gone."""
        try:
            while lost and key in self._found_lost:
                await self.timer.sleep(self.timer.jittered(LOST_POLL_INTERVAL_S))
                lost = await self._unanswering(lost)
        finally:
            self._found_lost.discard(key)

    async def _unanswering(self, members: list[BackendServer]) -> list[BackendServer]:
        """Return the members that do not answer a probe."""
        answers = await self._probe(members)
        return [m for m in members if answers[m.backend_id] is None]

    async def _probe(self, members: list[BackendServer]) -> dict[str, float | None]:
        """Return the pace of each member by id; None for members that do not answer.

        Members about which this node was too slow to tell count as usual.
        """
        answers = await asyncio.gather(*(self.prober.check_loss(m) for m in members))
        return {
            m.backend_id: _pace(m, answer)
            for m, answer in zip(members, answers, strict=True)
        }

    async def _report_slow(self, slow: dict[str, float]) -> None:
        """Report slow members to the other nodes and the planner."""
        new = {b: pace for b, pace in slow.items() if b not in self.shared.slow}
        if not new:
            return
        # Takes effect here at once; the other nodes read it from the store.
        self.shared.slow.update(new)
        puts = {RowKey(SHARED_TABLE, slow_key(b)): b"%g" % p for b, p in new.items()}
        written = await self.store.write({}, puts, timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            error = written.err().message
            log_event("slowness_not_told", backends=",".join(new), error=error)

    def _members(self, head: BackendServer) -> list[BackendServer]:
        group = self.directory.groups(head.service).get(head.membership.key)
        return list(group.members.values()) if group is not None else [head]

    async def _report_lost(self, suspicion: Suspicion) -> None:
        row = RowKey(SHARED_TABLE, suspicion_key(suspicion.group, suspicion.epoch))
        written = await self.store.write(
            {row: ABSENT}, {row: suspicion.to_bytes()}, timeout_s=WRITE_TIMEOUT_S
        )
        if written.is_err():
            error = written.err().message
            log_event("suspicion_not_told", group=suspicion.group, error=error)

    def keep_only(self, groups: set[GroupKey]) -> None:
        """Drop the state of groups that no longer exist."""
        for since in (self._avoided, self._checked_s, self._lost_since_s):
            for key in set(since) - groups:
                del since[key]
        self._found_lost &= groups

    async def close(self) -> None:
        """Stop probing and reporting."""
        await self._tasks.close()


def _pace(
    member: BackendServer, answer: Result[BackendReport, Failure]
) -> float | None:
    """Return the pace in the answer to a probe, or None if the member is lost."""
    if answer.is_err():
        is_known = answer.unwrap_err().code is not ResultCode.PROBE_INCONCLUSIVE
        return None if is_known else 1.0
    report = answer.unwrap()
    match identify(member, report):
        case Responder.THIS_START | Responder.UNNAMED:
            return report.pace
        case Responder.OTHER_PROCESS:
            return None
        case Responder.UNKNOWN:
            return 1.0
