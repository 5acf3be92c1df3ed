"""Groups that are being formed."""

from __future__ import annotations

import attrs
from result import Result

from fordhatch.adapter import GroupOrder, OrderKind, OrderReply
from fordhatch.catalog import group_name
from fordhatch.core import Failure, Ran, Timer, log_event, metrics
from fordhatch.registry import BackendDirectory, ReplicaGroup

from ._formation import Formation
from ._head_opener import HeadOpener
from ._layout import GroupPlan
from ._order_sender import OrderSender

JOIN_TOLERANCE_S = 2.0
"""A formation is given up when its group is not ready this long after the expected
time."""

LOAD_SLACK_FACTOR = 3.0
"""Concurrent loads slow each other down. A formation waits for up to this multiple of
the load time."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class Formations:
    """Sends join orders until every member is ready, then opens the head."""

    order_sender: OrderSender
    directory: BackendDirectory
    timer: Timer
    opener: HeadOpener
    active: dict[Key, Formation] = attrs.field(factory=dict)

    @classmethod
    def create(
        cls, order_sender: OrderSender, directory: BackendDirectory, timer: Timer
    ) -> Formations:
        """Return a set of formations without any."""
        opener = HeadOpener(order_sender, timer)
        return cls(order_sender, directory, timer, opener)

    def has_room(self) -> bool:
        """Return whether the orders of another formation would be sent at once."""
        return self.order_sender.has_room()

    def begin(self, plan: GroupPlan, epoch: int) -> None:
        """Begin to form a group under an epoch that no group has used."""
        key = (group_name(plan.model.name, epoch), epoch)
        now_s = self.timer.now_s()
        wait_s = plan.ready_in_s
        if plan.loads:
            wait_s *= LOAD_SLACK_FACTOR
        formation = Formation(plan, now_s, now_s + wait_s + JOIN_TOLERANCE_S)
        self.active[key] = formation
        log_event(
            "group_forming",
            group=key[0],
            epoch=epoch,
            domain=plan.members[0].domain,
            members=",".join(m.backend_id for m in plan.members),
            ready_in_s=round(plan.ready_in_s, 2),
            loads=plan.loads,
        )
        self._order_joins(key, formation, None)

    def step(self, groups: dict[Key, ReplicaGroup]) -> list[Key]:
        """Send the join orders that are due.

        Args:
            groups: The groups as reported by their members.

        Returns:
            Keys of the formations that took too long.
        """
        expired = []
        for key, formation in self.active.items():
            if self.timer.now_s() > formation.deadline_s:
                expired.append(key)
                continue
            self._order_joins(key, formation, groups.get(key))
        return expired

    def _order_joins(
        self, key: Key, formation: Formation, group: ReplicaGroup | None
    ) -> None:
        joined = {m.backend_id for m in group.members.values()} if group else set()
        order = GroupOrder(
            OrderKind.JOIN,
            *key,
            model=formation.plan.model.name,
            members=tuple(m.registered_id for m in formation.plan.members),
        )

        def on_reply_of_head(reply: Result[OrderReply, Failure]) -> None:
            if reply.is_err() and reply.unwrap_err().ran is not Ran.NO:
                formation.may_head_join_again = True

        for rank, member in enumerate(formation.plan.members):
            if member.backend_id not in joined:
                on_reply = on_reply_of_head if rank == 0 else None
                self.order_sender.send(member, order, on_reply)

    def open(self, group: ReplicaGroup) -> None:
        """Order the head of a complete group of an active formation to serve."""
        self.opener.open(group, self.active[group.key])

    def mark_opened(self, key: Key) -> bool:
        """Complete a formation whose group serves; return whether it was active."""
        formation = self.active.pop(key, None)
        if formation is None:
            return False
        took_s = self.timer.now_s() - formation.began_s
        metrics.GROUP_FORMING_SECONDS.observe(took_s)
        log_event("group_opened", group=key[0], epoch=key[1], took_s=round(took_s, 3))
        return True

    def member_ids(self) -> set[str]:
        """Return the backend servers that are members of a formation."""
        return {m for f in self.active.values() for m in f.member_ids}

    async def close(self) -> None:
        """Cancel the openings in progress."""
        await self.opener.close()
