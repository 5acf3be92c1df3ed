"""Looks after the groups that there are: opens, keeps, or takes them apart."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.catalog import BackendServer, BackendState, MemberState, ModelProfile
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, ReplicaGroup, StoreView, suspicion_key

from ._crash_loops import CrashLoops
from ._dissolutions import Dissolutions
from ._formations import LOAD_SLACK_FACTOR, Formations
from ._groups_seen import GroupCondition, GroupSeen, judge
from ._layout import Layout
from ._loss_check import LossCheck
from ._lost_groups import LostGroups

TAKEOVER_GRACE_S = 1.2
"""A new planner waits this long for groups that an earlier one was forming."""

SETTLED_S = 3.0
"""A group is not given up for another sooner than this after it opened."""

UNLISTED_WORK_S = 1.2
"""How long a head that is alive, but no longer listed, may go on with its streams:
most of them end within a second. It gets nothing new, and backend servers that the
store does not hear are often back soon."""

USELESS_PACE = 2.5
"""A group with a member that is this many times slower is taken apart: at a third of
its pace its streams pause for longer than callers accept, as soon as a few run."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the removal of a row."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class GroupCare:
    """What the planner remembers of each group, and what it does about it."""

    view: StoreView
    store: StoreClient
    timer: Timer
    losses: LossCheck
    formations: Formations
    dissolutions: Dissolutions
    loops: CrashLoops
    lost: LostGroups = attrs.field(factory=LostGroups)
    _members_seen: dict[Key, dict[int, BackendServer]] = attrs.field(factory=dict)
    _restarted: set[Key] = attrs.field(factory=set)
    """Groups in which a member was seen under a later start: it may have a place
    again by an order that was carried out late, but the group is broken."""
    _odd_since_s: dict[Key, float] = attrs.field(factory=dict)
    _suspected_since_s: dict[Key, float] = attrs.field(factory=dict)
    _serving_since_s: dict[Key, float] = attrs.field(factory=dict)
    _headless_since_s: dict[Key, float] = attrs.field(factory=dict)
    _clearing: set[Key] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def tend(self, layout: Layout, group: ReplicaGroup) -> bool:
        """Do what a group needs; returns whether it counts as a group."""
        model = layout.profile.model(group.model)
        if model is None:
            return self._tend_retired(layout, group)
        seen = judge(group, model, self.losses.dead)
        self._remember(group)
        if group.head is not None:
            self._headless_since_s.pop(group.key, None)
        if group.key in self._restarted:
            self.dissolve(group, "member started again")
            return False
        match seen.condition:
            case GroupCondition.SERVING if self._is_held_back(group):
                self.dissolve(group, "slow member", finishes_work=True)
                return False
            case GroupCondition.SERVING:
                self._serving_since_s.setdefault(group.key, self.timer.now_s())
                if self.formations.opened(group.key):
                    self.loops.opened(group.model)
                    self.lost.opened(group.model)
            case GroupCondition.COMPLETE:
                self.formations.open(group)
            case GroupCondition.LEAVING:
                return self._tend_leaving(layout, group, model)
            case GroupCondition.INCOMPLETE:
                return self._tend_incomplete(group, seen)
            case GroupCondition.FORMING:
                return self._tend_forming(group, seen, model)
            case GroupCondition.CLOSING:
                return self._is_patient(group.key)
        return True

    def _tend_retired(self, layout: Layout, group: ReplicaGroup) -> bool:
        """Let a group whose model is no longer declared serve until it is replaced.

        Its members stage what is declared meanwhile, and change over group by group.
        """
        head = group.head
        serves = head is not None and head.membership.state is MemberState.OPEN
        if serves and layout.lacks_groups() and layout.profile.staged_models_kept:
            self._serving_since_s.setdefault(group.key, self.timer.now_s())
            self._remember(group)
            return True
        reason = "model is not declared"
        self.dissolve(group, reason, finishes_work=True, is_lost=False)
        return False

    def _tend_leaving(
        self, layout: Layout, group: ReplicaGroup, model: ModelProfile
    ) -> bool:
        """Replace a group with a draining member, as late as that costs nothing.

        Nobody sends to a head that drains. Any other member stays while the group
        has work, so the group serves on until another can take its place at once,
        or until the member is gone.
        """
        leaving = [
            m for m in group.members.values() if m.state is BackendState.DRAINING
        ]
        head_leaves = any(m.is_head for m in leaving)
        if not head_leaves and self._spares(layout, group, model) < len(leaving):
            return True
        if group.head.membership.state is MemberState.READY:
            # It was never opened: the members may go on at once.
            self.dissolve(group, "member drains")
        else:
            self.dissolve(group, "member drains", finishes_work=True)
        return False

    def _spares(self, layout: Layout, group: ReplicaGroup, model: ModelProfile) -> int:
        """Return how many backend servers could take a place without a load."""
        domain = group.head.domain
        spoken_for = self.formations.member_ids()
        return sum(
            b.domain == domain
            and b.membership is None
            and b.state is BackendState.READY
            and b.backend_id not in spoken_for
            and not layout.must_load(b, model)
            for b in self.view.directory.index.of_service(group.head.service)
        )

    def _remember(self, group: ReplicaGroup) -> None:
        known = self._members_seen.get(group.key)
        if known is None:
            known = self._members_seen[group.key] = self._recorded(group.key)
        for rank, member in group.members.items():
            seen = known.setdefault(rank, member)
            if seen.backend_id != member.backend_id:
                self._restarted.add(group.key)
            known[rank] = member

    def _is_held_back(self, group: ReplicaGroup) -> bool:
        """Return whether a slow member makes a whole group useless.

        A group works at the pace of its slowest member, and its other members serve
        better elsewhere; but the last group of a model serves on as it is.
        """
        slow = self.view.shared.slow
        pace = max(
            (slow.get(m.backend_id, 1.0) for m in group.members.values()), default=1.0
        )
        if pace < USELESS_PACE:
            return False
        heads = self.view.directory.open_heads(group.head.service, group.model)
        return any(
            h.membership.key != group.key
            and not self.dissolutions.is_held(h.membership.key)
            for h in heads
        )

    def _recorded(self, key: Key) -> dict[int, BackendServer]:
        """Return the members that an earlier planner has recorded, by rank.

        Without them nobody would know the head of a group of which one member is
        left, and that member would wait until the head must have broken.
        """
        record = self.view.shared.records.get(key)
        return dict(enumerate(record.members)) if record is not None else {}

    def _tend_incomplete(self, group: ReplicaGroup, seen: GroupSeen) -> bool:
        """A member of a serving group is missing: make sure, then replace it."""
        if seen.missing > 0 and self._is_only_unlisted(group):
            return True
        reason = f"{seen.missing} members missing" if seen.missing else "broken"
        self.dissolve(group, reason)
        return False

    def _is_only_unlisted(self, group: ReplicaGroup) -> bool:
        """Return whether every missing member may still be at work.

        A backend server that the store does not hear, or whose entry can't be read,
        is not listed, but the group goes on with it. One that is listed elsewhere has
        left. The head is different: nobody may send to one that is not
        listed, so that the group is given up when it has finished its streams.
        """
        known = self._members_seen.get(group.key, {})
        if any(m.backend_id in self.losses.dead for m in known.values()):
            return False
        absent = [m for rank, m in known.items() if rank not in group.members]
        listed = self.view.directory.backends
        if any(m.backend_id in listed for m in absent):
            return False
        now_s = self.timer.now_s()
        if group.head is None:
            since_s = self._headless_since_s.setdefault(group.key, now_s)
            if 0 not in known or now_s - since_s >= UNLISTED_WORK_S:
                return False
        for member in absent:
            self.losses.ask(member)
        return bool(absent)

    def dissolve(
        self,
        group: ReplicaGroup,
        reason: str,
        *,
        finishes_work: bool = False,
        is_lost: bool = True,
    ) -> None:
        """Begin to take a group apart, members that are no longer listed included.

        Args:
            group: The group.
            reason: For the log.
            finishes_work: Whether the head first finishes its requests.
            is_lost: Whether another group of its model is to take its place.
        """
        served = group.key in self._serving_since_s
        if is_lost and served and not self.dissolutions.is_held(group.key):
            self.lost.lost(group.model, self.timer.now_s())
        members = {**self._members_seen.get(group.key, {}), **group.members}
        whole = ReplicaGroup(group.name, group.epoch, members)
        self.dissolutions.begin(whole, reason, finishes_work=finishes_work)
        if self.formations.active.pop(group.key, None) is not None:
            self._note_failure(group)

    def _note_failure(self, group: ReplicaGroup) -> None:
        """Note that a formation failed, and who had joined."""
        joined = frozenset(m.backend_id for m in group.members.values())
        self.loops.gave_up(group.model, joined)

    def _tend_forming(
        self, group: ReplicaGroup, seen: GroupSeen, model: ModelProfile
    ) -> bool:
        if group.key in self.formations.active:
            lost = any(
                m in self.losses.dead
                for m in self.formations.active[group.key].member_ids
            )
            if not lost:
                return True
            self.dissolve(group, "member lost while forming")
            return False
        patience_s = TAKEOVER_GRACE_S
        if seen.missing == 0:
            # An earlier planner's group, on its way: loads take their time.
            patience_s += LOAD_SLACK_FACTOR * model.load_s
        return self._is_patient(group.key, patience_s) or self._dissolve_odd(group)

    def _is_patient(self, key: Key, patience_s: float = TAKEOVER_GRACE_S) -> bool:
        """Return whether a group that another planner left may still come right."""
        since_s = self._odd_since_s.setdefault(key, self.timer.now_s())
        return self.timer.now_s() - since_s < patience_s

    def _dissolve_odd(self, group: ReplicaGroup) -> bool:
        self.dissolve(group, "left over from an earlier planner")
        return False

    def lost_formations(self) -> list[Key]:
        """Return the formations that wait for a member which is known to be lost."""
        return [
            key
            for key, formation in self.formations.active.items()
            if not self.losses.dead.isdisjoint(formation.member_ids)
        ]

    def give_up(self, key: Key, group: ReplicaGroup | None) -> None:
        """Give up a formation, so that its members may join another group.

        Args:
            key: The formation's group.
            group: The group as it is reported; None if nobody has joined it.
        """
        formation = self.formations.active.pop(key, None)
        if formation is None:
            return
        log_event("group_late", group=key[0], epoch=key[1])
        for member in formation.plan.members:
            if group is None or member.membership is None:
                self.losses.ask(member)
        if group is not None:
            self._note_failure(group)
            self.dissolve(group, "not ready in time")

    def is_settled(self, group: ReplicaGroup) -> bool:
        """Return whether a group has served long enough to be given up."""
        since_s = self._serving_since_s.get(group.key)
        return since_s is not None and self.timer.now_s() - since_s > SETTLED_S

    def serving(self) -> list[ReplicaGroup]:
        """Return the groups that serve, with the members they were seen with."""
        return [
            ReplicaGroup(*key, dict(self._members_seen[key]))
            for key in self._serving_since_s
            if key in self._members_seen and not self.dissolutions.is_held(key)
        ]

    # Suspicions.

    def check_suspicions(self, groups: dict[Key, ReplicaGroup]) -> None:
        for key, suspicion in list(self.view.shared.suspicions.items()):
            group = groups.get(key)
            if group is None or key in self.dissolutions.released:
                self._clear(key)
                continue
            if self.dissolutions.is_held(key):
                continue
            members = list(group.members.values())
            since_s = self._suspected_since_s.setdefault(key, self.timer.now_s())
            for member in members:
                self.losses.ask(member, since_s)
            if any(m.backend_id in self.losses.dead for m in members):
                self.dissolve(group, f"suspected by {suspicion.node_name}")
            elif all(self.losses.is_alive(m.backend_id, since_s) for m in members):
                self._clear(key)

    def _clear(self, key: Key) -> None:
        if key in self._clearing:
            return
        self._clearing.add(key)
        task = self._tasks.spawn(self._remove_suspicion(key), f"clear-{key[0]}")
        task.add_done_callback(lambda _: self._clearing.discard(key))

    async def _remove_suspicion(self, key: Key) -> None:
        row = RowKey(SHARED_TABLE, suspicion_key(*key))
        written = await self.store.write({}, {}, (row,), timeout_s=WRITE_TIMEOUT_S)
        if written.is_err():
            log_event("suspicion_kept", group=key[0], error=written.err().message)
            await asyncio.sleep(WRITE_TIMEOUT_S)
            return
        self.view.shared.suspicions.pop(key, None)

    def forget(self) -> None:
        """Forget what was seen while this node planned."""
        self.lost.forget()
        self._restarted.clear()
        self._odd_since_s.clear()
        self._serving_since_s.clear()
        self._headless_since_s.clear()
        self._suspected_since_s.clear()

    def keep_only(self, keys: set[Key]) -> set[str]:
        """Forget other groups; returns the members of those that are kept."""
        suspected = set(self.view.shared.suspicions)
        for known, kept in (
            (self._members_seen, keys),
            (self._odd_since_s, keys),
            (self._serving_since_s, keys),
            (self._headless_since_s, keys),
            (self._suspected_since_s, suspected),
        ):
            for key in set(known) - kept:
                del known[key]
        self._restarted &= keys
        return {
            m.backend_id
            for members in self._members_seen.values()
            for m in members.values()
        }

    async def close(self) -> None:
        """End what is under way."""
        await self._tasks.close()
