"""Sends orders to backend servers and remembers what was asked for."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from result import Result

from fordhatch.adapter import BackendClient, GroupOrder, OrderKind, OrderReply
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, TaskSet, Timer, log_event, metrics

ORDER_TIMEOUT_S = 0.4
"""A backend server answers an order within milliseconds."""

RESEND_S = 0.6
"""An order whose effect is not seen is sent again after this time."""

OnReply = Callable[[Result[OrderReply, Failure]], None]


@attrs.define(eq=False, repr=False)
class OrderDesk:
    """Orders in flight; the same order is not sent again too soon.

    Every order names its group and epoch, so an order that is carried out late is
    refused, or changes nothing, once a newer one has been accepted.
    """

    backends: BackendClient
    timer: Timer
    fencing_token: Callable[[], int]
    """Returns the token of the lease under which orders are sent."""
    superseded: Callable[[], None]
    """Called when a backend server has seen a higher token than the one sent."""
    _sent_s: dict[tuple[str, OrderKind, str, int], float] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def send(
        self,
        backend: BackendServer,
        order: GroupOrder,
        on_reply: OnReply | None = None,
        *,
        again_s: float = RESEND_S,
    ) -> bool:
        """Send an order unless it was sent a short time ago.

        Args:
            backend: Who gets it.
            order: The order.
            on_reply: Called with the reply, or with the failure where none came.
            again_s: When the same order may be sent again, in seconds.

        Returns:
            Whether it is being sent.
        """
        key = (backend.backend_id, order.kind, order.group or order.model, order.epoch)
        now_s = self.timer.now_s()
        if now_s - self._sent_s.get(key, -again_s) < again_s:
            return False
        self._sent_s[key] = now_s
        order = attrs.evolve(order, fencing_token=self.fencing_token())
        self._tasks.spawn(self._deliver(backend, order, on_reply), str(order.kind))
        return True

    async def _deliver(
        self, backend: BackendServer, order: GroupOrder, on_reply: OnReply | None
    ) -> None:
        got = await self.backends.order(
            backend.address, backend.registered_id, order, timeout_s=ORDER_TIMEOUT_S
        )
        reply = got.ok()
        outcome = str(reply.status) if reply is not None else got.err().code.name
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
        # A join may also be refused for its epoch, when the same planner has ordered
        # another one since.
        if reply is not None and reply.is_too_old and order.kind is not OrderKind.JOIN:
            self._note_superseded(order)
        if on_reply is not None:
            on_reply(got)

    def _note_superseded(self, order: GroupOrder) -> None:
        """Stop, unless this node has a newer token than the order had."""
        if order.fencing_token == self.fencing_token():
            self.superseded()

    def forget(self) -> None:
        """Forget what was sent."""
        self._sent_s.clear()

    async def close(self) -> None:
        """Cancel what is being sent."""
        await self._tasks.close()
