"""Opens the heads of complete groups."""

from __future__ import annotations

import attrs
from result import Result

from fordhatch.adapter import GroupOrder, OrderKind, OrderReply
from fordhatch.catalog import BackendServer, MemberState
from fordhatch.core import Failure, TaskSet, Timer, log_event
from fordhatch.registry import ReplicaGroup

from ._formation import Formation
from ._order_sender import ORDER_TIMEOUT_S, RESEND_INTERVAL_S, OrderSender

REPORT_INTERVAL_S = 0.1
"""Time between reports of a head that is to be opened under a condition. Their values
are some hundred milliseconds old."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class HeadOpener:
    """Sends open orders, under a condition where a head may join its group again.

    A join without an answer may be carried out later, also after the head has left the
    group, and so may an open: together they would open a head whose members are free.
    An open that names the number of orders that the head has begun is not carried out
    after any other one, so that it is void once the head has joined again.
    """

    order_sender: OrderSender
    timer: Timer
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def open(self, group: ReplicaGroup, formation: Formation) -> None:
        """Order the head of a complete group to serve.

        Args:
            group: The group.
            formation: Its formation by this planner.
        """
        head = group.head
        if head.membership.state is not MemberState.READY:
            return
        if not formation.may_head_join_again:
            self.order_sender.send(head, GroupOrder(OrderKind.OPEN, *group.key))
            return
        now_s = self.timer.now_s()
        if now_s >= formation.next_open_s:
            formation.next_open_s = now_s + REPORT_INTERVAL_S
            opening = self._open_unchanged(head, group.key, formation)
            self._tasks.spawn(opening, "open-unchanged")

    async def _open_unchanged(
        self, head: BackendServer, key: Key, formation: Formation
    ) -> None:
        """Order a head to serve if it begins no other order from its report on."""
        got = await self.order_sender.backends.report(
            head.address, head.registered_id, timeout_s=ORDER_TIMEOUT_S
        )
        report = got.ok()
        place = report.membership if report is not None else None
        is_ready = place is not None and place.state is MemberState.READY
        if not is_ready or place.key != key or report.orders is None:
            return
        log_event("open_unchanged", group=key[0], epoch=key[1], orders=report.orders)
        order = GroupOrder(OrderKind.OPEN, *key, expected_orders=report.orders)

        def on_reply(reply: Result[OrderReply, Failure]) -> None:
            if reply.is_err() or reply.unwrap().is_accepted:
                # It takes effect soon, or may be carried out late.
                formation.next_open_s = self.timer.now_s() + RESEND_INTERVAL_S

        self.order_sender.send(
            head, order, on_reply, resend_interval_s=REPORT_INTERVAL_S
        )

    async def close(self) -> None:
        """Cancel the requests for reports."""
        await self._tasks.close()
