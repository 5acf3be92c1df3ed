"""Keeps the retries of all nodes within the system's budget."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection

import attrs

from fordhatch.adapter import StoreClient
from fordhatch.budgets import BorrowedRetries, RetryLedger, RetryTerms, SlackShare
from fordhatch.catalog import SystemBounds
from fordhatch.core import TaskSet, Timer, log_event, metrics

from .._request import ServedRequest
from ._slack_pool import SlackPool

WAIT_FRACTION = 0.1
"""Part of the time left to a request for which its retry may wait for other nodes and
the store, which usually answer within some milliseconds."""

MAX_WAIT_S = 0.5
"""Longest such wait."""

MIN_BORROWED = 4
"""Fewest retries that a node asks for, so that a burst does not begin with a round of
messages for each of them."""

LOOK_S = 1.7
"""Time after which the list of nodes should have been looked at again, with its jitter.
A longer pause means that the process stood still."""

STALE_S = 0.5
"""Time after such a pause in which requests are read that were sent during it."""

RECENT_S = 1.0
"""Time in which the need of a node is measured."""

Borrow = Callable[[str, int], Awaitable[None]]
"""Asks other nodes for retries of a service; what they lend is added to the budget."""


@attrs.frozen
class BudgetState:
    """A node's part of the retry budget of one service, for logs and metrics."""

    service: str
    spent: int
    """Retries of this node within the window, with those that it has lent."""
    left: int
    """Retries that it may send now."""
    borrowed: int
    """Retries among them that other nodes have lent."""
    requests: int
    """Requests within the window."""
    slack: float
    """This node's part of the slack; 0 while it does not know enough of the others."""
    nodes: int
    """Number of nodes by which the slack is divided."""
    steady_s: float
    """For how long it has followed the list of nodes without a break, in seconds."""

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            **attrs.asdict(self),
            "slack": round(self.slack, 2),
            "steady_s": round(self.steady_s, 3),
        }


@attrs.frozen
class RetryLoan:
    """Answer to a node that asks for retries."""

    count: int
    valid_s: float
    """Time from the question on in which they may be used, in seconds."""
    again_s: float
    """Time after which to ask again, in seconds."""


@attrs.define(eq=False, repr=False)
class _ServiceBudget:
    """This node's part of the budget of one service."""

    ledger: RetryLedger
    borrowed: BorrowedRetries = attrs.field(factory=BorrowedRetries)
    getting: asyncio.Task[None] | None = None
    """The questions to other nodes and to the store in progress, if any."""


@attrs.frozen(eq=False, repr=False)
class RetryTicket:
    """A retry that was used for one attempt of a request."""

    budget: RetryBudget
    service: str
    spent_s: float
    """When it was used, in monotonic seconds."""
    is_borrowed: bool

    def may_still_send(self) -> bool:
        """Return whether the attempt may be sent, now that its connection is open."""
        return self.budget.may_still_send(self)

    def take_back(self) -> None:
        """Undo its use, as nothing was sent."""
        self.budget.take_back(self)


async def _borrow_nothing(_: str, __: int) -> None:
    return None


@attrs.define(eq=False, repr=False)
class RetryBudget:
    """This node's part of the retry budget, by service.

    Requests of this node earn retries. The slack is one number for the whole system and
    is divided among the nodes; see ``fordhatch.budgets``. A node that has nothing left
    borrows from nodes that need less than their part.
    """

    node_name: str
    timer: Timer
    terms: RetryTerms
    share: SlackShare
    pool: SlackPool
    borrow: Borrow = _borrow_nothing
    """Set by the node, which knows the others."""
    is_pool_open: bool = False
    """Whether all nodes leave the store's part of the slack alone."""
    _services: dict[str, _ServiceBudget] = attrs.field(factory=dict)
    _seen_s: float = -math.inf
    """When this process last showed that it runs."""
    _credit_from_s: float = -math.inf
    """Requests before this time earn nothing."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_bounds(
        cls,
        node_name: str,
        timer: Timer,
        bounds: SystemBounds,
        store: StoreClient,
        *,
        is_first_start: bool,
    ) -> RetryBudget:
        """Return a node's budget.

        Args:
            node_name: The node's name in the list of nodes.
            timer: The node's timer.
            bounds: The bounds of all nodes together.
            store: Counts the part of the slack that any start may take.
            is_first_start: Whether no node of the system has run before.
        """
        terms = _terms(bounds)
        share = SlackShare(node_name, terms)
        pool = SlackPool.from_store(store, timer, is_first_start=is_first_start)
        return cls(node_name, timer, terms, share, pool)

    def apply_bounds(self, bounds: SystemBounds) -> None:
        """Apply changed bounds; slack is held back as after a start."""
        terms = _terms(bounds)
        if terms != self.terms:
            self.terms = terms
            self.share = SlackShare(self.node_name, terms)
            self._services.clear()

    def observe_nodes(self, nodes: Collection[str], confirmed_s: float) -> None:
        """Look at the list of nodes; to be called once a second.

        Args:
            nodes: Names of the nodes in the list.
            confirmed_s: Time at which the list was certainly complete, in monotonic
                seconds.
        """
        now_s = self.timer.now_s()
        self._note_running(now_s)
        self.pool.note_generation()
        self.share.observe(now_s, nodes, confirmed_s)

    def _note_running(self, now_s: float) -> None:
        if now_s - self._seen_s > LOOK_S:
            self._credit_from_s = now_s + STALE_S
        self._seen_s = now_s

    def _service(self, service: str) -> _ServiceBudget:
        if service not in self._services:
            self._services[service] = _ServiceBudget(RetryLedger.from_terms(self.terms))
        return self._services[service]

    def count_first(self, service: str) -> None:
        """Count a caller's request, unless it may have waited for a halted process."""
        now_s = self.timer.now_s()
        self._note_running(now_s)
        if now_s >= self._credit_from_s:
            self._service(service).ledger.count_request(now_s)

    # Retries of this node.

    async def acquire(self, request: ServedRequest) -> bool:
        """Return whether a request may be sent once more, and use a retry for it.

        A request whose connection opens late is checked again at that time.
        """
        service = request.service
        self._service(service).ledger.count_need(self.timer.now_s())
        ticket = self._spend(service)
        if ticket is None:
            await self._wait_for_more(request)
            ticket = self._spend(service)
        metrics.REPEATS.labels("refused" if ticket is None else "sent").inc()
        if ticket is None:
            fields = self.state(service).log_fields()
            log_event("budget_spent", request=request.fields.request_id, **fields)
            return False
        request.retry = ticket
        return True

    def has_left(self, request: ServedRequest) -> bool:
        """Return whether a retry may be sent now; get some for later ones otherwise."""
        if self.state(request.service).left > 0:
            return True
        self._start_getting(request.service)
        return False

    def _spend(self, service: str) -> RetryTicket | None:
        budget, now_s = self._service(service), self.timer.now_s()
        if budget.borrowed.take(now_s):
            return RetryTicket(self, service, now_s, is_borrowed=True)
        if budget.ledger.spend(now_s, self.share.slack(now_s)):
            return RetryTicket(self, service, now_s, is_borrowed=False)
        return None

    def may_still_send(self, ticket: RetryTicket) -> bool:
        """Return whether a retry may be sent, now that its connection is open."""
        late_s = self.timer.now_s() - ticket.spent_s
        if late_s <= self.terms.bucket_s / 2.0:
            return True
        return self._spend(ticket.service) is not None

    def take_back(self, ticket: RetryTicket) -> None:
        """Undo the use of a retry, as nothing was sent."""
        if not ticket.is_borrowed:
            self._service(ticket.service).ledger.take_back(ticket.spent_s)

    async def _wait_for_more(self, request: ServedRequest) -> None:
        """Get retries from elsewhere, once for all requests that wait for them."""
        getting = self._start_getting(request.service)
        left_s = max(request.left_s(self.timer.now_s()), 0.0)
        wait_s = min(WAIT_FRACTION * left_s, MAX_WAIT_S)
        await asyncio.wait([getting], timeout=wait_s)

    def _start_getting(self, service: str) -> asyncio.Task[None]:
        budget = self._service(service)
        if budget.getting is None or budget.getting.done():
            budget.getting = self._tasks.spawn(self._get_more(service), "get-retries")
        return budget.getting

    async def _get_more(self, service: str) -> None:
        """Borrow from other nodes, and take the rest from the store."""
        budget = self._service(service)
        wanted = max(budget.ledger.needs(self.timer.now_s(), RECENT_S), MIN_BORROWED)
        await self.borrow(service, wanted)
        wanted -= budget.borrowed.left(self.timer.now_s())
        if wanted > 0 and self.is_pool_open and self.pool.is_worth_asking(service):
            loan = await self.pool.take(service, wanted, self.terms)
            budget.borrowed.add(loan.count, loan.asked_s + self.terms.loan_s)

    # Retries of other nodes.

    def lend(self, service: str, wanted: int) -> RetryLoan:
        """Give another node retries that this one is not likely to need itself."""
        budget, now_s = self._service(service), self.timer.now_s()
        ledger, slack = budget.ledger, self.share.slack(now_s)
        own_needs = ledger.needs(now_s, self.terms.window_s)
        spare = ledger.left(now_s, slack) - own_needs
        count = ledger.lend(now_s, slack, min(spare, wanted)) if slack else 0
        if count == wanted:
            return RetryLoan(count, self.terms.loan_s, 0.0)
        again_s = max(ledger.next_free_s(now_s), RECENT_S)
        return RetryLoan(count, self.terms.loan_s, again_s)

    def add_loan(self, service: str, loan: RetryLoan, asked_s: float) -> None:
        """Add retries that another node has lent.

        Args:
            service: The service that they are for.
            loan: The other node's answer.
            asked_s: When it was asked, in monotonic seconds.
        """
        self._service(service).borrowed.add(loan.count, asked_s + loan.valid_s)

    async def close(self) -> None:
        """Cancel questions to other nodes."""
        await self._tasks.close()

    def state(self, service: str) -> BudgetState:
        """Return what is left for a service, and why."""
        budget, now_s = self._service(service), self.timer.now_s()
        slack = self.share.slack(now_s)
        borrowed = budget.borrowed.left(now_s)
        return BudgetState(
            service,
            budget.ledger.retries(now_s),
            max(budget.ledger.left(now_s, slack), 0) + borrowed,
            borrowed,
            budget.ledger.requests(now_s),
            slack,
            self.share.node_count(),
            self.share.steady_s(now_s),
        )

    def states(self) -> list[BudgetState]:
        """Return the state of every service that has had requests."""
        return [self.state(service) for service in self._services]


def _terms(bounds: SystemBounds) -> RetryTerms:
    return RetryTerms(
        bounds.retry_budget_ratio, bounds.retry_slack, bounds.retry_window_s
    )
