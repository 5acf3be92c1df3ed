"""Takes groups apart so that their members may join others."""

from __future__ import annotations

from collections.abc import Set

import attrs
from result import Result

from fordhatch.adapter import GroupOrder, OrderKind, OrderReply
from fordhatch.catalog import BackendServer, MemberState
from fordhatch.core import Failure, Timer, log_event
from fordhatch.registry import BackendDirectory, ReplicaGroup

from ._loss_check import LossCheck
from ._order_desk import OnReply, OrderDesk

STALL_MARGIN_S = 1.0
"""Added to the time after which a head without its members is broken."""

CLOSE_LIMIT_S = 6.0
"""How long a head that is closed may take to finish its requests."""

_OTHER_BACKEND = 421

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class Dissolution:
    """One group that is being taken apart."""

    members: dict[int, BackendServer]
    reason: str
    began_s: float
    finishes_work: bool
    head_has_left: bool = False
    short_since_s: float | None = None
    """Since when the group lacks a member for certain. A head that nobody reaches is
    broken some time after that."""


@attrs.define(eq=False, repr=False)
class Dissolutions:
    """Groups that are being taken apart.

    Members may join another group only when the head no longer serves: it has left
    the group, or has ended, or is broken for certain because a member is known to have
    left it long enough ago.
    """

    desk: OrderDesk
    losses: LossCheck
    directory: BackendDirectory
    timer: Timer
    stall_s: float
    active: dict[Key, Dissolution] = attrs.field(factory=dict)
    released: set[Key] = attrs.field(factory=set)
    """Groups whose members may join others."""

    def begin(
        self, group: ReplicaGroup, reason: str, *, finishes_work: bool = False
    ) -> None:
        """Begin to take a group apart, unless that is under way.

        Args:
            group: The group.
            reason: For the log.
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
        """Send the orders that are due and release what may be released."""
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
                self._order(key, dissolution)

    def _may_release(self, key: Key, dissolution: Dissolution) -> bool:
        if dissolution.head_has_left:
            return True
        head = dissolution.members.get(0)
        if head is not None and self._has_ended(head):
            return True
        if self._is_forgotten(dissolution):
            return True
        if head is None or self._is_out_of_reach(head):
            return self._must_be_broken(dissolution)
        if not self.directory.is_listed(head):
            # Only a record names its place, and may be an old one.
            return False
        listed = self.directory.backends[head.backend_id]
        return listed.membership is None or listed.membership.key != key

    def _has_ended(self, head: BackendServer) -> bool:
        """Return whether a later start of a backend server has the head's address.

        A refused connection proves nothing: a partition may refuse them as well. Nor
        does another entry with its address where starts are not told: an earlier one
        may be listed again. Who answers there shows it.
        """
        if head.backend_id in self.losses.replaced:
            return True
        others = [
            b
            for b in self.directory.index.at_address(head.address)
            if b.backend_id != head.backend_id
        ]
        if others:
            self.losses.ask(head)
        return any(head.born_ms and b.born_ms > head.born_ms for b in others)

    def _is_forgotten(self, dissolution: Dissolution) -> bool:
        """Return whether no member is registered any more: nobody can move."""
        return not any(
            m.backend_id in self.directory.backends
            for m in dissolution.members.values()
        )

    def _must_be_broken(self, dissolution: Dissolution) -> bool:
        if dissolution.short_since_s is None:
            return False
        short_s = self.timer.now_s() - dissolution.short_since_s
        return short_s >= self.stall_s + STALL_MARGIN_S

    def _is_out_of_reach(self, head: BackendServer) -> bool:
        listed = head.backend_id in self.directory.backends
        return not listed or head.backend_id in self.losses.dead

    def _order(self, key: Key, dissolution: Dissolution) -> None:
        head = dissolution.members.get(0)
        if head is None:
            self._order_members_to_leave(key, dissolution)
            return
        if dissolution.finishes_work and self._must_finish(key, dissolution, head):
            self.desk.send(head, GroupOrder(OrderKind.CLOSE, *key), self._asker(head))
            return
        ask = self._asker(head)

        def on_reply(got: Result[OrderReply, Failure]) -> None:
            if _proves_left(got):
                dissolution.head_has_left = True
            ask(got)

        self.desk.send(head, GroupOrder(OrderKind.LEAVE, *key), on_reply)
        if self._is_out_of_reach(head):
            self._order_members_to_leave(key, dissolution)

    def _asker(self, head: BackendServer) -> OnReply:
        """Return what asks a head for a sign of life if an order goes unanswered."""

        def on_reply(got: Result[OrderReply, Failure]) -> None:
            if got.is_err():
                self.losses.ask(head)

        return on_reply

    def _must_finish(
        self, key: Key, dissolution: Dissolution, head: BackendServer
    ) -> bool:
        listed = self.directory.backends.get(head.backend_id)
        if listed is None or listed.membership is None or listed.membership.key != key:
            return False
        if self.timer.now_s() - dissolution.began_s > CLOSE_LIMIT_S:
            return False
        return listed.membership.state in (MemberState.OPEN, MemberState.CLOSING)

    def _order_members_to_leave(self, key: Key, dissolution: Dissolution) -> None:
        """Without its members a head that is out of reach breaks by itself."""

        def on_reply(got: Result[OrderReply, Failure]) -> None:
            if got.is_ok() and got.unwrap().is_accepted:
                self._is_short(dissolution)

        for rank, member in dissolution.members.items():
            if rank == 0:
                continue
            if member.backend_id in self.losses.replaced:
                self._is_short(dissolution)
            else:
                # Who does not answer may only be out of reach, and at work.
                self.desk.send(member, GroupOrder(OrderKind.LEAVE, *key), on_reply)

    def _is_short(self, dissolution: Dissolution) -> None:
        if dissolution.short_since_s is None:
            dissolution.short_since_s = self.timer.now_s()

    def free_leftovers(self, taken: Set[str]) -> None:
        """Have members of released groups give up their places.

        Their entries would name the group until they join another one. The next
        planner can't know that the head has left it, and would let them wait for
        that.

        Args:
            taken: Backend servers that are joining another group.
        """
        unwilling = taken | self.losses.dead
        for key in self.released:
            for backend in self.directory.index.members(key):
                if backend.backend_id not in unwilling:
                    self.desk.send(backend, GroupOrder(OrderKind.LEAVE, *key))

    def member_ids(self) -> set[str]:
        """Return the backend servers that must not join another group yet."""
        return {m.backend_id for d in self.active.values() for m in d.members.values()}

    def is_held(self, key: Key) -> bool:
        """Return whether the members of a group must not move yet."""
        return key in self.active

    def forget(self) -> None:
        """Forget everything; another planner goes on."""
        self.active.clear()
        self.released.clear()


def _proves_left(got: Result[OrderReply, Failure]) -> bool:
    """Return whether an answer to a leave shows that the head serves no longer."""
    if got.is_err():
        return False
    reply = got.unwrap()
    return reply.is_accepted or reply.status == _OTHER_BACKEND
