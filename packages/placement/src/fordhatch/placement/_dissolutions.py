"""Dissolves groups so that their members may join other groups."""

from __future__ import annotations

from collections.abc import Set

import attrs
from result import Result

from fordhatch.adapter import GroupOrder, OrderKind, OrderReply
from fordhatch.catalog import BackendServer, MemberState
from fordhatch.core import Failure, Timer, log_event
from fordhatch.registry import BackendDirectory, ReplicaGroup

from ._loss_check import LossCheck
from ._order_sender import OnReply, OrderSender

STALL_MARGIN_S = 1.0
"""Safety margin on the time after which a head without its members is broken."""

CLOSE_TIMEOUT_S = 6.0
"""Time within which a closed head may finish its requests."""

_OTHER_BACKEND = 421
"""Reply status if another backend server answers at the address."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class Dissolution:
    """A group that is being dissolved."""

    members: dict[int, BackendServer]
    reason: str
    began_s: float
    finishes_work: bool
    head_has_left: bool = False
    incomplete_since_s: float | None = None
    """Time since which the group is known to lack a member. A head that cannot be
    reached is broken some time after that."""


@attrs.define(eq=False, repr=False)
class Dissolutions:
    """Dissolves groups and releases their members.

    Members may join another group only when the head no longer serves: it has left
    the group, has terminated, or must be broken because a member is known to have left
    long enough ago.
    """

    order_sender: OrderSender
    losses: LossCheck
    directory: BackendDirectory
    timer: Timer
    stall_s: float
    active: dict[Key, Dissolution] = attrs.field(factory=dict)
    released: set[Key] = attrs.field(factory=set)
    """Groups whose members may join other groups."""

    def begin(
        self, group: ReplicaGroup, reason: str, *, finishes_work: bool = False
    ) -> None:
        """Begin to dissolve a group, unless its dissolution has already begun.

        Args:
            group: The group.
            reason: Reason that is written to the log.
            finishes_work: Whether the head first finishes its requests.
        """
        known = self.active.get(group.key)
        if known is not None:
            known.finishes_work = known.finishes_work and finishes_work
            return
        if group.key in self.released:
            return
        self.active[group.key] = Dissolution(
            dict(group.members), reason, self.timer.now_s(), finishes_work
        )
        log_event(
            "group_dissolving",
            group=group.name,
            epoch=group.epoch,
            members=len(group.members),
            reason=reason,
        )

    def step(self) -> None:
        """Send the orders that are due and release groups whose members may move."""
        for key, dissolution in list(self.active.items()):
            if self._may_release(key, dissolution):
                del self.active[key]
                self.released.add(key)
                took_s = self.timer.now_s() - dissolution.began_s
                log_event(
                    "group_released",
                    group=key[0],
                    epoch=key[1],
                    took_s=round(took_s, 3),
                )
            else:
                self._send_orders(key, dissolution)

    def _may_release(self, key: Key, dissolution: Dissolution) -> bool:
        if dissolution.head_has_left:
            return True
        head = dissolution.members.get(0)
        if head is not None and self._is_terminated(head):
            return True
        if self._has_no_listed_member(dissolution):
            return True
        if head is None or self._is_unreachable(head):
            return self._is_certainly_broken(dissolution)
        if not self.directory.is_listed(head):
            # The membership is known only from a record, which may be outdated.
            return False
        listed = self.directory.backends[head.backend_id]
        return listed.membership is None or listed.membership.key != key

    def _is_terminated(self, head: BackendServer) -> bool:
        """Return whether a later start of a backend server has the head's address.

        A refused connection proves nothing, because a partition may cause it as well.
        Another entry with the same address proves nothing either if it has no start
        time, because the entry of an earlier start may be listed again. In that case a
        probe of the address shows which backend server answers there.
        """
        if head.backend_id in self.losses.replaced:
            return True
        others = [
            b
            for b in self.directory.index.at_address(head.address)
            if b.backend_id != head.backend_id
        ]
        if others:
            self.losses.check(head)
        return any(head.born_ms and b.born_ms > head.born_ms for b in others)

    def _has_no_listed_member(self, dissolution: Dissolution) -> bool:
        """Return whether no member is registered any more, so that none can move."""
        return not any(
            m.backend_id in self.directory.backends
            for m in dissolution.members.values()
        )

    def _is_certainly_broken(self, dissolution: Dissolution) -> bool:
        if dissolution.incomplete_since_s is None:
            return False
        incomplete_s = self.timer.now_s() - dissolution.incomplete_since_s
        return incomplete_s >= self.stall_s + STALL_MARGIN_S

    def _is_unreachable(self, head: BackendServer) -> bool:
        listed = head.backend_id in self.directory.backends
        return not listed or head.backend_id in self.losses.dead

    def _send_orders(self, key: Key, dissolution: Dissolution) -> None:
        head = dissolution.members.get(0)
        if head is None:
            self._order_members_to_leave(key, dissolution)
            return
        if dissolution.finishes_work and self._should_finish_requests(
            key, dissolution, head
        ):
            self.order_sender.send(
                head, GroupOrder(OrderKind.CLOSE, *key), self._probe_on_failure(head)
            )
            return
        probe_on_failure = self._probe_on_failure(head)

        def on_reply(response: Result[OrderReply, Failure]) -> None:
            if _proves_left(response):
                dissolution.head_has_left = True
            probe_on_failure(response)

        self.order_sender.send(head, GroupOrder(OrderKind.LEAVE, *key), on_reply)
        if self._is_unreachable(head):
            self._order_members_to_leave(key, dissolution)

    def _probe_on_failure(self, head: BackendServer) -> OnReply:
        """Return a callback that probes a head if an order gets no answer."""

        def on_reply(response: Result[OrderReply, Failure]) -> None:
            if response.is_err():
                self.losses.check(head)

        return on_reply

    def _should_finish_requests(
        self, key: Key, dissolution: Dissolution, head: BackendServer
    ) -> bool:
        listed = self.directory.backends.get(head.backend_id)
        if listed is None or listed.membership is None or listed.membership.key != key:
            return False
        if self.timer.now_s() - dissolution.began_s > CLOSE_TIMEOUT_S:
            return False
        return listed.membership.state in (MemberState.OPEN, MemberState.CLOSING)

    def _order_members_to_leave(self, key: Key, dissolution: Dissolution) -> None:
        """Order the members to leave, which breaks a head that cannot be reached."""

        def on_reply(response: Result[OrderReply, Failure]) -> None:
            if response.is_ok() and response.unwrap().is_accepted:
                self._mark_incomplete(dissolution)

        for rank, member in dissolution.members.items():
            if rank == 0:
                continue
            if member.backend_id in self.losses.replaced:
                self._mark_incomplete(dissolution)
            else:
                # A member that does not answer may be unreachable but still working,
                # so only an accepted order counts.
                self.order_sender.send(
                    member, GroupOrder(OrderKind.LEAVE, *key), on_reply
                )

    def _mark_incomplete(self, dissolution: Dissolution) -> None:
        if dissolution.incomplete_since_s is None:
            dissolution.incomplete_since_s = self.timer.now_s()

    def order_remaining_to_leave(self, taken: Set[str]) -> None:
        """Order the remaining members of released groups to leave.

        Otherwise their entries would name the group until they join another one. The
        next planner can't know that the head has left, and would make them wait for
        that.

        Args:
            taken: Ids of the backend servers that are joining another group.
        """
        excluded = taken | self.losses.dead
        for key in self.released:
            for backend in self.directory.index.members(key):
                if backend.backend_id not in excluded:
                    self.order_sender.send(backend, GroupOrder(OrderKind.LEAVE, *key))

    def member_ids(self) -> set[str]:
        """Return the backend servers that must not join another group yet."""
        return {m.backend_id for d in self.active.values() for m in d.members.values()}

    def is_dissolving(self, key: Key) -> bool:
        """Return whether a group is being dissolved, so its members must not move."""
        return key in self.active

    def forget(self) -> None:
        """Forget all groups, because another planner takes over."""
        self.active.clear()
        self.released.clear()


def _proves_left(response: Result[OrderReply, Failure]) -> bool:
    """Return whether the reply to a leave order shows that the head has stopped."""
    if response.is_err():
        return False
    reply = response.unwrap()
    return reply.is_accepted or reply.status == _OTHER_BACKEND
