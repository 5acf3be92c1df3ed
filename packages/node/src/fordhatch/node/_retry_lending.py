"""Lends retries of this node's part of the budget, and borrows from other nodes."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from fordhatch.core import TaskSet, Timer, log_event, metrics
from fordhatch.protocol import Channel, PeerPool
from fordhatch.protocol.messages import BorrowRetries, RetriesLent
from fordhatch.registry import NodeAddress, StoreView
from fordhatch.serving import RetryBudget, RetryLoan

LOOK_INTERVAL_S = 1.0
"""Time between looks at the list of nodes."""

MAX_LENDERS = 8
"""Nodes that are asked at once."""

ROUND_INTERVAL_S = 0.05
"""Shortest time between two rounds of questions for a service."""

ANSWER_TIMEOUT_S = 0.1
"""Longest wait for an answer; nodes answer within some milliseconds."""

UNANSWERED_PAUSE_S = 5.0
"""Time for which a node that has not answered is not asked again."""


@attrs.define(eq=False, repr=False)
class RetryLending:
    """Exchanges parts of the retry budget with other nodes.

    Nothing is sent while every node gets along with its own part.
    """

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    budget: RetryBudget
    _ask_again_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Until when a node is not asked for a service, by both names."""
    _round_s: dict[str, float] = attrs.field(factory=dict)
    """When the last round of questions for a service began."""
    _is_prepared: bool = False
    """Whether this start has seen to the rows of the store's part of the slack."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to follow the list of nodes."""
        self.budget.borrow = self.borrow
        look = self.timer.every(LOOK_INTERVAL_S, self._look, name="retry-share")
        self._tasks.spawn(look, "retry-share")

    async def _look(self) -> None:
        nodes = self.view.shared.nodes
        # Nodes of the build before this one divide all of the slack among the nodes.
        lends = [n.can_lend for n in nodes.values()]
        self.budget.is_pool_open = bool(lends) and all(lends)
        self.budget.observe_nodes(nodes, self.view.own.confirmed_s)
        await self._prepare_pool(nodes)
        for state in self.budget.states():
            gauges = {
                "spent": state.spent,
                "left": state.left,
                "borrowed": state.borrowed,
                "requests": state.requests,
                "slack": state.slack,
            }
            for kind, value in gauges.items():
                metrics.RETRY_BUDGET.labels(state.service, kind).set(value)

    async def _prepare_pool(self, nodes: Mapping[str, NodeAddress]) -> None:
        """Create the rows of all services, on one of the nodes, once it may."""
        terms, current = self.budget.terms, self.view.configuration.current
        is_due = self.budget.share.steady_s(self.timer.now_s()) >= terms.hold_off_s
        if self._is_prepared or not is_due or current is None:
            return
        self._is_prepared = True
        if min(nodes) == self.node_name:
            for service in current.services:
                await self.budget.pool.prepare(service, terms)

    async def borrow(self, service: str, wanted: int) -> None:
        """Ask some nodes for retries and add what they lend to the budget."""
        now_s = self.timer.now_s()
        if now_s - self._round_s.get(service, -math.inf) < ROUND_INTERVAL_S:
            return
        lenders = self._lenders(service, now_s)
        if not lenders:
            return
        self._round_s[service] = now_s
        each = math.ceil(wanted / len(lenders))
        tasks = [
            self._tasks.spawn(self._ask(node, service, each), "borrow-retries")
            for node in lenders
        ]
        for task in tasks:
            await task

    def _lenders(self, service: str, now_s: float) -> list[NodeAddress]:
        self._ask_again_s = {
            key: at_s for key, at_s in self._ask_again_s.items() if at_s > now_s
        }
        nodes = [
            node
            for node in self.view.shared.nodes.values()
            if node.can_lend
            and node.name != self.node_name
            and (node.name, service) not in self._ask_again_s
        ]
        return self.timer.rng.sample(nodes, min(MAX_LENDERS, len(nodes)))

    async def _ask(self, node: NodeAddress, service: str, count: int) -> None:
        asked_s = self.timer.now_s()
        message = BorrowRetries(service, count)
        answer = await self.pool.request(node.address, message, ANSWER_TIMEOUT_S)
        reply, now_s = answer.ok(), self.timer.now_s()
        if not isinstance(reply, RetriesLent):
            self._ask_again_s[node.name, service] = now_s + UNANSWERED_PAUSE_S
            return
        if reply.again_s > 0.0:
            self._ask_again_s[node.name, service] = now_s + reply.again_s
        loan = RetryLoan(reply.count, reply.valid_s, reply.again_s)
        self.budget.add_loan(service, loan, asked_s)
        metrics.RETRIES_LENT.labels("borrowed").inc(reply.count)

    async def answer(self, message: BorrowRetries, channel: Channel) -> None:
        """Lend what this node is not likely to need itself."""
        loan = self.budget.lend(message.service, message.count)
        if loan.count:
            metrics.RETRIES_LENT.labels("lent").inc(loan.count)
            log_event(
                "retries_lent",
                service=message.service,
                peer=channel.peer_name,
                count=loan.count,
                wanted=message.count,
            )
        await channel.send(RetriesLent(loan.count, loan.valid_s, loan.again_s))

    async def close(self) -> None:
        """Stop asking."""
        await self._tasks.close()
