"""Orders to engines: sent until every engine reports what its row says."""

from __future__ import annotations

from collections.abc import Container

import attrs

from fordhatch.core import TaskSet, Timer, log_event, metrics, new_id
from fordhatch.engine import EngineClient, Order

from ._lease import PlannerLease
from ._rows import MODEL, GroupRow, InstanceRow
from ._view import LOADING, MISMATCH, READY, GroupView, InstanceView

RESEND_S = 1.0
"""Pause before an order is sent again."""

MOST_LOADING = 8
"""Shards that load at once; more would only share the weight store's rate."""

_Sent = tuple[int, tuple[str, ...]]


@attrs.define(eq=False)
class OrderSender:
    """Brings engines in line with their rows, the cheapest repairs first."""

    engines: EngineClient
    lease: PlannerLease
    timer: Timer
    not_before_s: dict[str, float] = attrs.field(factory=dict)
    """Groups whose old permits may still be valid until then."""
    _acknowledged: dict[str, _Sent] = attrs.field(factory=dict)
    _last_sent_s: dict[str, float] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def reconcile(self, groups: list[GroupView], importance: dict[str, int]) -> None:
        """Send the orders that are due.

        Args:
            groups: The groups that are not dissolved.
            importance: Importance by service.
        """
        loading = sum(s == LOADING for g in groups for s in g.states.values())
        due = [(g, self._due(g)) for g in groups if g.row.kind == MODEL]
        # What returns a group to service with the fewest loads goes first.
        due.sort(
            key=lambda item: (-importance.get(item[0].row.service, 0), len(item[1]))
        )
        for group, ranks in due:
            if not ranks or not self._may_start(group.row):
                continue
            if loading and loading + len(ranks) > MOST_LOADING:
                break
            loading += len(ranks)
            for rank in ranks:
                self._spawn(group.row, rank)

    def _may_start(self, row: GroupRow) -> bool:
        return self.timer.now_s() >= self.not_before_s.get(row.group_id, 0.0)

    def _due(self, group: GroupView) -> list[int]:
        ranks = []
        for rank, member in enumerate(group.row.members):
            wanted = (member.fencing_token, tuple(group.row.adapters))
            acknowledged = self._acknowledged.get(member.instance_id) == wanted
            state = group.states.get(member.instance_id)
            if (
                state == MISMATCH
                or (not acknowledged and state != READY)
                or (not acknowledged and group.row.adapters)
            ):
                ranks.append(rank)
        return [r for r in ranks if self._paused(group.row.members[r].instance_id)]

    def _paused(self, instance_id: str) -> bool:
        last_s = self._last_sent_s.get(instance_id, float("-inf"))
        return self.timer.now_s() - last_s >= RESEND_S

    def _spawn(self, row: GroupRow, rank: int) -> None:
        member = row.members[rank]
        self._last_sent_s[member.instance_id] = self.timer.now_s()
        order = Order(
            new_id("order"),
            member.instance_id,
            "load",
            member.fencing_token,
            row.group_id,
            row.epoch,
            rank,
            row.size,
            [m.address for m in row.members],
            row.model,
            row.version,
            row.adapters,
            row.shard_bytes,
        )
        self._tasks.spawn(self._send(member.address, order), "order")

    def keep_only(self, instance_ids: Container[str], now_s: float) -> None:
        """Drop what is known of instances that are gone, and waits that are over."""
        for known in (self._acknowledged, self._last_sent_s):
            for name in [n for n in known if n not in instance_ids]:
                del known[name]
        for group_id, until_s in list(self.not_before_s.items()):
            if until_s < now_s:
                del self.not_before_s[group_id]

    def release(self, view: InstanceView, row: InstanceRow) -> None:
        """Tell a free instance's engine that it belongs to no group."""
        if not self._paused(row.instance_id):
            return
        self._last_sent_s[row.instance_id] = self.timer.now_s()
        order = Order(new_id("order"), row.instance_id, "release", row.fencing_token)
        self._tasks.spawn(self._send(view.instance.address, order), "order")

    async def _send(self, address: str, order: Order) -> None:
        # The lease is checked as late as possible; an engine that ignores fencing
        # is covered by the watchers, which withhold the permit on any mismatch.
        if not self.lease.may_send():
            return
        token = self.lease.token
        reply = await self.engines.order(address, order)
        outcome = "accepted" if reply.is_ok() else "failed"
        metrics.ORDERS.labels(outcome).inc()
        log_event(
            "order_sent",
            instance=order.instance_id,
            kind=order.kind,
            group=order.group_id or "-",
            epoch=order.epoch,
            token=order.fencing_token,
            outcome=outcome,
        )
        if not self.lease.held() or self.lease.token != token:
            log_event("order_outlived_lease", instance=order.instance_id)
            return
        if reply.is_ok():
            sent = (order.fencing_token, tuple(order.adapters))
            self._acknowledged[order.instance_id] = sent

    async def close(self) -> None:
        """Stop sending."""
        await self._tasks.close()
