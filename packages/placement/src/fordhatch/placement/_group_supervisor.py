"""Supervision of existing groups: opening, keeping and dissolving them."""

from __future__ import annotations

import attrs

from fordhatch.catalog import MemberState, ModelProfile
from fordhatch.core import Timer, log_event
from fordhatch.registry import ReplicaGroup, StoreView

from ._crash_loops import CrashLoops
from ._dissolutions import Dissolutions
from ._draining import DrainPolicy
from ._formations import LOAD_SLACK_FACTOR, Formations
from ._group_status import GroupCondition, GroupStatus, assess_group
from ._known_members import KnownMembers
from ._layout import Layout
from ._loss_check import LossCheck
from ._lost_groups import LostGroups
from ._suspicions import SuspicionCheck

TAKEOVER_GRACE_S = 1.2
"""How long a new planner waits for groups that an earlier one was forming."""

MIN_SERVING_S = 3.0
"""Time after its opening before a group may be given up for another one."""

UNLISTED_HEAD_GRACE_S = 1.2
"""How long a head that is alive but no longer listed keeps its group: most of its
streams end within a second. It receives no new requests, and a backend server that lost
its connection to the store is often listed again soon."""

MAX_MEMBER_PACE = 2.5
"""A group with a member that is this many times slower is dissolved: at a third of the
usual speed, the pauses of its streams exceed what callers accept once a few run."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class GroupSupervisor:
    """Keep the planner's state of each group and advance the group accordingly."""

    view: StoreView
    timer: Timer
    losses: LossCheck
    formations: Formations
    dissolutions: Dissolutions
    crash_loops: CrashLoops
    draining: DrainPolicy
    members: KnownMembers
    suspicions: SuspicionCheck
    lost_groups: LostGroups = attrs.field(factory=LostGroups)
    _leftover_since_s: dict[Key, float] = attrs.field(factory=dict)
    _serving_since_s: dict[Key, float] = attrs.field(factory=dict)
    _headless_since_s: dict[Key, float] = attrs.field(factory=dict)

    def advance(self, layout: Layout, group: ReplicaGroup) -> bool:
        """Advance a group.

        Returns:
            Whether it still counts as a group.
        """
        model = layout.profile.model(group.model)
        if model is None:
            return self._advance_undeclared(layout, group)
        status = assess_group(group, model, self.losses.dead)
        self.members.record(group)
        if group.head is not None:
            self._headless_since_s.pop(group.key, None)
        if self.members.has_restarted(group.key):
            self.dissolve(group, "member started again")
            return False
        match status.condition:
            case GroupCondition.SERVING if self._is_slowed_down(group):
                self.dissolve(group, "slow member", finishes_work=True)
                return False
            case GroupCondition.SERVING:
                self._serving_since_s.setdefault(group.key, self.timer.now_s())
                if self.formations.mark_opened(group.key):
                    self.crash_loops.record_opened(group.model)
                    self.lost_groups.record_opened(group.model)
            case GroupCondition.COMPLETE:
                return self._open_own(group)
            case GroupCondition.LEAVING:
                return self._advance_draining(layout, group, model)
            case GroupCondition.INCOMPLETE if not self._lacks_joins(group):
                return self._advance_incomplete(group, status)
            case GroupCondition.FORMING | GroupCondition.INCOMPLETE:
                if self.draining.loses_member(layout, group):
                    return self._give_up_formation(group)
                return self._advance_forming(group, status, model)
            case GroupCondition.CLOSING:
                return self._may_complete(group.key)
        return True

    def _lacks_joins(self, group: ReplicaGroup) -> bool:
        """Return whether the members that a group lacks may only not have joined yet.

        Those of a formation whose orders got no answer join when the orders are sent
        again, after the others are ready.
        """
        is_own = group.key in self.formations.active
        return is_own and group.key not in self._serving_since_s

    def _open_own(self, group: ReplicaGroup) -> bool:
        """Open a complete group if this planner still forms it, or else dissolve it.

        A later join of a member, by an earlier planner or for a group that was given
        up, may be unanswered: once carried out, it takes the member from the group. A
        formation's members are ordered to join no other group, and earlier joins have
        lower epochs.
        """
        if group.key in self.formations.active:
            self.formations.open(group)
            return True
        self.dissolve(group, "not formed by this planner")
        return False

    def _advance_undeclared(self, layout: Layout, group: ReplicaGroup) -> bool:
        """Keep a group whose model is no longer declared until it is replaced.

        Meanwhile its members stage the weights of declared models, and are converted
        group by group.
        """
        head = group.head
        serves = head is not None and head.membership.state is MemberState.OPEN
        if serves and layout.lacks_groups() and layout.profile.staged_models_kept:
            self._serving_since_s.setdefault(group.key, self.timer.now_s())
            self.members.record(group)
            return True
        reason = "model is not declared"
        self.dissolve(group, reason, finishes_work=True, is_lost=False)
        return False

    def _advance_draining(
        self, layout: Layout, group: ReplicaGroup, model: ModelProfile
    ) -> bool:
        """Replace a group with a draining member as late as is possible."""
        if self.draining.loses_member(layout, group):
            return self._give_up_formation(group)
        if not self.draining.gives_up(layout, group, model):
            return True
        if group.head.membership.state is MemberState.READY:
            # It was never opened: its members can be released at once.
            self.dissolve(group, "member drains")
        else:
            self.dissolve(group, "member drains", finishes_work=True)
        return False

    def _give_up_formation(self, group: ReplicaGroup) -> bool:
        """Give up a formation that a release hits; it isn't a failure of the model."""
        self.formations.active.pop(group.key, None)
        self.dissolve(group, "member drains")
        return False

    def _is_slowed_down(self, group: ReplicaGroup) -> bool:
        """Return whether a slow member makes a group useless.

        A group runs at the speed of its slowest member, and its other members are
        worth more in another group. The last group of a model is kept.
        """
        slow = self.view.shared.slow
        paces = (slow.get(m.backend_id, 1.0) for m in group.members.values())
        pace = max(paces, default=1.0)
        if pace < MAX_MEMBER_PACE:
            return False
        heads = self.view.directory.open_heads(group.head.service, group.model)
        return any(
            h.membership.key != group.key
            and not self.dissolutions.is_dissolving(h.membership.key)
            for h in heads
        )

    def _advance_incomplete(self, group: ReplicaGroup, status: GroupStatus) -> bool:
        """Dissolve a group with missing members, unless they are only unlisted."""
        if status.missing > 0 and self._is_only_unlisted(group):
            return True
        reason = f"{status.missing} members missing" if status.missing else "broken"
        self.dissolve(group, reason)
        return False

    def _is_only_unlisted(self, group: ReplicaGroup) -> bool:
        """Return whether every missing member may still be serving.

        A backend server that cannot reach the store, or whose entry cannot be
        decoded, is not listed, but continues to serve in its group. One that is
        listed without its place has left the group. An unlisted head receives no new
        requests, so its group is dissolved once its streams have had time to end.
        """
        known = self.members.of(group.key)
        if any(m.backend_id in self.losses.dead for m in known.values()):
            return False
        absent = [m for rank, m in known.items() if rank not in group.members]
        listed = self.view.directory.backends
        if any(m.backend_id in listed for m in absent):
            return False
        now_s = self.timer.now_s()
        if group.head is None:
            since_s = self._headless_since_s.setdefault(group.key, now_s)
            if 0 not in known or now_s - since_s >= UNLISTED_HEAD_GRACE_S:
                return False
        for member in absent:
            self.losses.check(member)
        return bool(absent)

    def dissolve(
        self,
        group: ReplicaGroup,
        reason: str,
        *,
        finishes_work: bool = False,
        is_lost: bool = True,
    ) -> None:
        """Begin to dissolve a group, including members that are no longer listed.

        Args:
            group: The group.
            reason: Reason for the log.
            finishes_work: Whether the head first finishes its requests.
            is_lost: Whether the group counts as missing until it is replaced.
        """
        served = group.key in self._serving_since_s
        zones = self.view.evacuations.zones()
        is_lost = is_lost and all(m.zone not in zones for m in group.members.values())
        if is_lost and served and not self.dissolutions.is_dissolving(group.key):
            self.lost_groups.record_lost(group.model, self.timer.now_s())
        complete = self.members.complete(group)
        self.dissolutions.begin(complete, reason, finishes_work=finishes_work)
        if self.formations.active.pop(group.key, None) is not None:
            self._record_failure(group)

    def _record_failure(self, group: ReplicaGroup) -> None:
        """Record a failed formation and the members that had joined."""
        joined = frozenset(m.backend_id for m in group.members.values())
        self.crash_loops.record_abandoned(group.model, joined)

    def _advance_forming(
        self, group: ReplicaGroup, status: GroupStatus, model: ModelProfile
    ) -> bool:
        if group.key in self.formations.active:
            has_loss = any(
                m in self.losses.dead
                for m in self.formations.active[group.key].member_ids
            )
            if not has_loss:
                return True
            self.dissolve(group, "member lost while forming")
            return False
        timeout_s = TAKEOVER_GRACE_S
        if status.missing == 0:
            # An earlier planner's group that is still forming: members may be loading.
            timeout_s += LOAD_SLACK_FACTOR * model.load_s
        if self._may_complete(group.key, timeout_s):
            return True
        self.dissolve(group, "left over from an earlier planner")
        return False

    def _may_complete(self, key: Key, timeout_s: float = TAKEOVER_GRACE_S) -> bool:
        """Return whether another planner's group may still open or be released."""
        since_s = self._leftover_since_s.setdefault(key, self.timer.now_s())
        return self.timer.now_s() - since_s < timeout_s

    def lost_formations(self) -> list[Key]:
        """Return the formations with a member that is known to be lost."""
        return [
            key
            for key, formation in self.formations.active.items()
            if not self.losses.dead.isdisjoint(formation.member_ids)
        ]

    def abandon_formation(self, key: Key, group: ReplicaGroup | None) -> None:
        """Abandon a formation, so that its members can join another group.

        Args:
            key: The formation's group.
            group: The group as its members report it; None if no member has joined.
        """
        formation = self.formations.active.pop(key, None)
        if formation is None:
            return
        log_event("group_late", group=key[0], epoch=key[1])
        for member in formation.plan.members:
            if group is None or member.membership is None:
                self.losses.check(member)
        if group is not None:
            self._record_failure(group)
            self.dissolve(group, "not ready in time")

    def is_settled(self, group: ReplicaGroup) -> bool:
        """Return whether a group has served long enough to be given up."""
        since_s = self._serving_since_s.get(group.key)
        return since_s is not None and self.timer.now_s() - since_s > MIN_SERVING_S

    def serving(self) -> list[ReplicaGroup]:
        """Return the serving groups with all their known members."""
        return [
            ReplicaGroup(*key, dict(self.members.of(key)))
            for key in self._serving_since_s
            if self.members.of(key) and not self.dissolutions.is_dissolving(key)
        ]

    def check_suspicions(self, groups: dict[Key, ReplicaGroup]) -> None:
        """Dissolve the suspected groups that have lost a member.

        Args:
            groups: The groups as their members report them.
        """
        for group, node_name in self.suspicions.find_lost(groups):
            self.dissolve(group, f"suspected by {node_name}")

    def forget(self) -> None:
        """Clear the state from this node's time as the planner."""
        self.lost_groups.forget()
        self.members.forget_restarts()
        self._leftover_since_s.clear()
        self._serving_since_s.clear()
        self._headless_since_s.clear()
        self.suspicions.forget()

    def keep_only(self, keys: set[Key]) -> set[str]:
        """Drop the state of other groups.

        Returns:
            The ids of the members of the remaining groups.
        """
        for known in (
            self._leftover_since_s,
            self._serving_since_s,
            self._headless_since_s,
        ):
            for key in set(known) - keys:
                del known[key]
        self.suspicions.prune()
        return self.members.keep_only(keys)

    async def close(self) -> None:
        """Cancel pending removals of suspicions."""
        await self.suspicions.close()
