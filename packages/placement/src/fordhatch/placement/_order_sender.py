"""Sends orders to backend servers and tracks which orders were sent."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
from result import Result

from fordhatch.adapter import BackendClient, GroupOrder, OrderKind, OrderReply
from fordhatch.catalog import BackendServer
from fordhatch.core import CallLimiter, Failure, TaskSet, Timer, log_event, metrics

ORDER_TIMEOUT_S = 0.4
"""Timeout of an order. A backend server answers within milliseconds."""

RESEND_INTERVAL_S = 0.6
"""Time after which an order is retried if its effect has not been observed."""

MAX_ORDERS_AT_ONCE = 64
"""Maximum number of orders in progress: a node with half of a core sends that many and
reads the replies within half of an order's timeout."""

OnReply = Callable[[Result[OrderReply, Failure]], None]

OrderKey = tuple[str, OrderKind, str, int]
"""Backend server, kind, group or model, and epoch of an order."""


@attrs.define(eq=False, repr=False)
class OrderSender:
    """Sends orders and suppresses retries of the same order that come too soon.

    Every order names its group and epoch. An order that arrives after a newer one has
    been accepted is therefore refused or has no effect.
    """

    backends: BackendClient
    timer: Timer
    fencing_token: Callable[[], int]
    """Returns the fencing token of the lease under which orders are sent."""
    on_superseded: Callable[[], None]
    """Called when a backend server has seen a higher token than the one sent."""
    _sent_s: dict[OrderKey, float] = attrs.field(factory=dict)
    """Time at which each order was sent last."""
    _waiting: set[OrderKey] = attrs.field(factory=set)
    """Orders that wait for their turn."""
    _unanswered: int = 0
    """Orders that wait for their turn or for a reply."""
    _limiter: CallLimiter = attrs.field(factory=lambda: CallLimiter(MAX_ORDERS_AT_ONCE))
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def send(
        self,
        backend: BackendServer,
        order: GroupOrder,
        on_reply: OnReply | None = None,
        *,
        resend_interval_s: float = RESEND_INTERVAL_S,
    ) -> bool:
        """Send an order unless the same order was sent recently.

        Args:
            backend: The backend server that receives the order.
            order: The order.
            on_reply: Called with the reply, or with the failure if none arrived.
            resend_interval_s: Time before the same order may be sent again, in
                seconds.

        Returns:
            Whether the order is being sent.
        """
        key = (backend.backend_id, order.kind, order.group or order.model, order.epoch)
        now_s = self.timer.now_s()
        sent_s = self._sent_s.get(key, -math.inf)
        if key in self._waiting or now_s - sent_s < resend_interval_s:
            return False
        self._waiting.add(key)
        self._unanswered += 1
        order = attrs.evolve(order, fencing_token=self.fencing_token())
        self._tasks.spawn(
            self._send_in_turn(backend, order, key, on_reply), str(order.kind)
        )
        return True

    def has_room(self) -> bool:
        """Return whether an order would be sent at once.

        Who gives many orders asks before each batch: orders that wait are late, and
        the time that is allowed for their effect runs.
        """
        return self._unanswered < MAX_ORDERS_AT_ONCE

    async def _send_in_turn(
        self,
        backend: BackendServer,
        order: GroupOrder,
        key: OrderKey,
        on_reply: OnReply | None,
    ) -> None:
        try:
            async with self._limiter.slot():
                self._sent_s[key] = self.timer.now_s()
                self._waiting.discard(key)
                response = await self.backends.order(
                    backend.address,
                    backend.registered_id,
                    order,
                    timeout_s=ORDER_TIMEOUT_S,
                )
        finally:
            self._waiting.discard(key)
            self._unanswered -= 1
        self._handle_reply(backend, order, response)
        if on_reply is not None:
            on_reply(response)

    def _handle_reply(
        self,
        backend: BackendServer,
        order: GroupOrder,
        response: Result[OrderReply, Failure],
    ) -> None:
        reply = response.ok()
        outcome = str(reply.status) if reply is not None else response.err().code.name
        metrics.ORDERS.labels(outcome).inc()
        log_event(
            "order_sent",
            order=order.kind,
            backend=backend.backend_id,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            fencing_token=order.fencing_token,
            outcome=outcome,
        )
        # A join may also be refused because of its epoch, if the same planner has
        # sent a newer join since.
        if reply is not None and reply.is_outdated and order.kind is not OrderKind.JOIN:
            self._check_superseded(order)

    def _check_superseded(self, order: GroupOrder) -> None:
        """Report a higher token, unless this node's own token has risen since."""
        if order.fencing_token == self.fencing_token():
            self.on_superseded()

    def forget(self) -> None:
        """Forget the orders that were sent."""
        self._sent_s.clear()

    async def close(self) -> None:
        """Cancel the orders in flight."""
        await self._tasks.close()
