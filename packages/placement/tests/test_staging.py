"""Staging of weights on backend servers."""

from __future__ import annotations

import attrs
from test_layout import PROFILE, backend

from fordhatch.adapter import GroupOrder
from fordhatch.catalog import BackendServer
from fordhatch.core import Timer
from fordhatch.placement import Layout, LoadBudget, Staging


@attrs.define
class RecordingOrderSender:
    """Records orders in place of the order sender."""

    sent: list[tuple[str, str]] = attrs.field(factory=list)

    def send(self, backend: BackendServer, order: GroupOrder, **_: object) -> bool:
        self.sent.append((backend.backend_id, order.model))
        return True

    def has_room(self) -> bool:
        return True


async def test_a_load_on_a_reserved_backend_is_not_repeated() -> None:
    timer = Timer.from_seed(1)
    order_sender = RecordingOrderSender()
    staging = Staging(order_sender, LoadBudget(timer, 5.0), timer)
    empty = [backend(n) for n in "abcd"]
    layout = Layout(PROFILE, {})
    layout.count_backends(empty)
    staging.step(layout, empty, [], are_loads_free=False)
    first = list(order_sender.sent)
    assert first
    # A conversion reserves the domain for a moment, so that none of its backend
    # servers is free or grouped.
    staging.discard_finished(empty)
    staging.step(layout, [], [], are_loads_free=False)
    staging.discard_finished(empty)
    staging.step(layout, empty, [], are_loads_free=False)
    assert len({name for name, _ in order_sender.sent}) == len(order_sender.sent)
