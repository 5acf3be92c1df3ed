"""A model's groups with slots and queues, and callers who retry, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from fordhatch.scheduling import (
    GroupCapacity,
    ModelAdmission,
    ModelCapacity,
    Send,
    Ticket,
    UrgencyClasses,
    WaitingLine,
    queue_fraction,
    stream_patience_s,
)

SLOTS, HOLD_S, FIRST_S, GOAL_S, DEADLINE_S = 17, 1.0, 0.05, 0.25, 6.0
PATIENCE_S = stream_patience_s(GOAL_S, 0.2)
TICK_S = 0.05


@attrs.define(eq=False, repr=False)
class Call:
    """A caller with its attempts."""

    at_s: float
    rank: int = 0
    workspace: str = "w"
    is_abusive: bool = False
    refused_s: list[float] = attrs.field(factory=list)
    """How long after each arrival it was refused."""
    first_s: float | None = None
    attempt_s: float = 0.0

    @property
    def is_served(self) -> bool:
        return self.first_s is not None


@attrs.define(eq=False, repr=False)
class CallTicket(Ticket):
    call: Call | None = None


@attrs.define(eq=False, repr=False)
class Group:
    pace: float = 1.0
    slots: int = SLOTS
    running: int = 0
    queue: list = attrs.field(factory=list)

    def known(self) -> GroupCapacity:
        return GroupCapacity(self.slots, self.pace, self.running + len(self.queue))


@attrs.define(eq=False, repr=False)
class ScarceModel:
    """A node with the callers of all nodes."""

    groups: list[Group]
    ranks: int = 1
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    admission: ModelAdmission = attrs.field(
        factory=lambda: ModelAdmission(line=WaitingLine(1000))
    )
    now_s: float = 0.0
    peak_waiting: int = 0
    _events: list = attrs.field(factory=list)
    _count: int = 0

    def at(self, at_s: float, call: Callable[..., None], *args: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, call, args))

    def run(self, calls: Iterable[Call]) -> list[Call]:
        calls = sorted(calls, key=lambda c: c.at_s)
        for call in calls:
            self.at(call.at_s, self._arrive, call)
        for tick in range(int((calls[-1].at_s + DEADLINE_S) / TICK_S)):
            self.at(tick * TICK_S, self._review)
        while self._events:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        return calls

    def capacity(self) -> ModelCapacity:
        queued = Counter()
        for group in self.groups:
            for entry in group.queue:
                queued[entry[2].level] += 1
        return ModelCapacity(
            tuple(g.known() for g in self.groups),
            busy_s=HOLD_S / SLOTS,
            queued_by_level=queued,
            arrivals_per_s=self.admission.arrivals_per_s(self.now_s),
        )

    def _arrive(self, call: Call) -> None:
        call.attempt_s = self.now_s
        due_s = call.at_s + DEADLINE_S
        ticket = CallTicket(
            rank=call.rank,
            ranks=self.ranks,
            workspace=call.workspace,
            goal_s=GOAL_S,
            arrived_s=self.now_s,
            give_up_s=min(self.now_s + PATIENCE_S, due_s),
            due_s=due_s,
            first_s=FIRST_S,
            busy_s=HOLD_S / SLOTS,
            is_returning=bool(call.refused_s),
            call=call,
        )
        self.at(ticket.give_up_s, self.admission.leave, ticket)
        for other, decision in self.admission.arrive(
            ticket, self.capacity(), 1.0, self.now_s
        ):
            self._settle(other, decision)
        self._review()

    def _review(self) -> None:
        settled = self.admission.review(self.capacity(), 1.0, self.now_s)
        for ticket, decision in settled:
            self._settle(ticket, decision)
        self.peak_waiting = max(self.peak_waiting, len(self.admission.line))

    def _settle(self, ticket: Ticket, decision: object) -> None:
        call = ticket.call
        self.admission.leave(ticket)
        if isinstance(decision, Send):
            fraction = queue_fraction(ticket.level, ticket.ranks)
            open_groups = [
                g
                for g in self.groups
                if g.known().room(fraction, HOLD_S / SLOTS) >= 1.0
            ]
            group = min(
                open_groups or self.groups,
                key=lambda g: (g.running + len(g.queue) + 1) / g.slots * g.pace**2,
            )
            wire = UrgencyClasses(tuple(range(self.ranks))).wire_class(
                ticket.rank, is_over_share=ticket.is_over_share
            )
            self._count += 1
            heapq.heappush(group.queue, (wire, self._count, ticket))
            self._start(group)
            return
        call.refused_s.append(self.now_s - ticket.arrived_s)
        retry_s = self.admission.retry_after_s(
            ticket,
            decision.expected_s,
            self.capacity().requests_per_s,
            self.rng.random(),
            self.now_s,
        )
        assert retry_s <= (ticket.due_s - self.now_s) / 3.0 + 1e-9
        if len(call.refused_s) == 1:
            self.at(
                self.now_s + (0 if call.is_abusive else retry_s), self._arrive, call
            )

    def _start(self, group: Group) -> None:
        while group.queue and group.running < group.slots:
            ticket = heapq.heappop(group.queue)[2]
            if self.now_s + FIRST_S * group.pace > ticket.give_up_s:
                continue
            group.running += 1
            ticket.call.first_s = self.now_s + FIRST_S * group.pace
            hold_s = HOLD_S * group.pace * self.rng.uniform(0.5, 1.5)
            self.at(self.now_s + hold_s, self._end, group)

    def _end(self, group: Group) -> None:
        group.running -= 1
        self._start(group)


def poisson(
    per_s: float, from_s: float, to_s: float, seed: int, **fields: object
) -> list[Call]:
    """Return callers that arrive at random at a mean rate."""
    rng, at_s, calls = random.Random(seed), from_s, []
    while (at_s := at_s + rng.expovariate(per_s)) < to_s:
        calls.append(Call(at_s, **fields))
    return calls


def bound(calls: list[Call], per_s: float) -> int:
    """Return how many could be served if all arrivals were known.

    Each caller waits, retries once after a third of its time, and waits again; the
    caller that gives up first goes first. Only what is served before the last arrival
    counts, so that the bound can't move the load into the time after it.
    """
    pending = sorted(calls, key=lambda c: c.at_s)
    waiting: list[float] = []
    index = served = 0
    now_s, end_s = 0.0, pending[-1].at_s
    while now_s < end_s:
        if not waiting:
            now_s = max(now_s, pending[index].at_s)
        while index < len(pending) and pending[index].at_s <= now_s:
            call = pending[index]
            retry_s = 0.0 if call.is_abusive else DEADLINE_S / 3.0
            heapq.heappush(waiting, call.at_s + PATIENCE_S + retry_s)
            index += 1
        if waiting and heapq.heappop(waiting) >= now_s:
            served += 1
            now_s += 1.0 / per_s
    return served


def served_within(calls: list[Call]) -> int:
    """Return how many were served before the last arrival."""
    end_s = max(c.at_s for c in calls)
    return sum(c.is_served and c.first_s < end_s for c in calls)


def fraction(calls: Iterable[Call], **fields: object) -> float:
    """Return which part of the callers with these fields is served."""
    found = [c for c in calls if all(getattr(c, k) == v for k, v in fields.items())]
    return sum(c.is_served for c in found) / len(found)


def jain(values: Iterable[float]) -> float:
    """Return Jain's fairness index."""
    found = list(values)
    return sum(found) ** 2 / (len(found) * sum(v * v for v in found))
