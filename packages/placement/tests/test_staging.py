from __future__ import annotations

import attrs
from test_layout import PROFILE, backend

from fordhatch.adapter import GroupOrder
from fordhatch.catalog import BackendServer
from fordhatch.core import Timer
from fordhatch.placement import Layout, LoadBudget, Staging


@attrs.define
class NotedOrders:
    """Takes the place of the order desk."""

    sent: list[tuple[str, str]] = attrs.field(factory=list)

    def send(self, backend: BackendServer, order: GroupOrder, **_: object) -> bool:
        self.sent.append((backend.backend_id, order.model))
        return True


async def test_a_load_on_a_reserved_backend_is_not_begun_again() -> None:
    timer = Timer.from_seed(1)
    orders = NotedOrders()
    staging = Staging(orders, LoadBudget(timer, 5.0), timer)
    empty = [backend(n) for n in "abcd"]
    layout = Layout(PROFILE, {})
    layout.count_backends(empty)
    staging.step(layout, empty, [], are_loads_free=False)
    first = list(orders.sent)
    assert first
    # A conversion reserves the domain for a moment: nobody there is free or grouped.
    staging.forget_done(empty)
    staging.step(layout, [], [], are_loads_free=False)
    staging.forget_done(empty)
    staging.step(layout, empty, [], are_loads_free=False)
    assert len({name for name, _ in orders.sent}) == len(orders.sent)
