"""Many nodes that choose among the same groups by totals that are some time old."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable

import attrs

from fordhatch.catalog import (
    BackendServer,
    BackendState,
    GroupMembership,
    MemberState,
)
from fordhatch.registry import BackendDirectory
from fordhatch.serving import (
    BackendChoice,
    BackendHealth,
    BackpressureTracker,
)
from fordhatch.serving.groups._head_choice import HeadChoice
from fordhatch.serving.load._load_book import LoadBook
from fordhatch.serving.load._memory_need import MemoryNeed
from fordhatch.serving.load._shared_load import SharedLoad, Totals

REPORT_INTERVAL_S = 0.2
LINK_LATENCY_S = 0.0005

USUAL_ANSWER_TOKENS = 200


@attrs.define
class ManualClock:
    """A clock that the trial advances."""

    at_s: float = 0.0

    def now_s(self) -> float:
        """Return the trial's time in seconds."""
        return self.at_s


class NoStalls:
    """A stall watch without silent groups."""

    def is_lost(self, head: BackendServer) -> bool:
        """Return False."""
        return False

    is_avoided = is_lost


@attrs.define
class FixedHeads:
    """A directory whose heads do not change."""

    heads: list[BackendServer]

    def open_heads(self, service: str, model: str) -> list[BackendServer]:
        """Return all heads."""
        return self.heads

    def plain(self, service: str) -> list[BackendServer]:
        """Return the same as plain servers."""
        return self.heads


class LeastOfAll(HeadChoice):
    """Chooses the head with the lowest total of all."""

    def _choose_by_totals(
        self, heads: list[BackendServer], need: MemoryNeed, totals: Totals
    ) -> BackendServer | None:
        return min(heads, key=lambda head: self._total_cost(head, need, totals))


class TwoOfAll(HeadChoice):
    """Chooses the better one of two random heads of all zones."""

    def _choose_by_totals(
        self, heads: list[BackendServer], need: MemoryNeed, totals: Totals
    ) -> BackendServer | None:
        sampled = self.rng.sample(heads, 2)
        return min(sampled, key=lambda head: self._total_cost(head, need, totals))


class PlainChoice(BackendChoice):
    """Chooses as calls to plain services do."""

    def choose(self, service: str, *_: object) -> BackendServer | None:
        """Return the backend server of a request."""
        return super().choose(service, ())


WAYS = {
    "own": HeadChoice,
    "least": LeastOfAll,
    "two": TwoOfAll,
    "two_by_zone": HeadChoice,
    "plain_own": PlainChoice,
    "plain_totals": PlainChoice,
}
"""Ways to choose. Those with ``own`` in their names know no totals; ``two_by_zone`` and
``plain_totals`` are the system's own."""


@attrs.frozen
class LoadTrial:
    """Settings of one trial."""

    way: str = "two_by_zone"
    nodes: int = 70
    heads_by_zone: tuple[int, ...] = (12, 12, 12)
    slots: int = 17
    service_s: float = 1.5
    """Mean time of a request at a group that is not slow, in seconds."""
    use: float = 0.85
    """Callers' requests as a fraction of what all groups can complete."""
    slow_heads: int = 0
    """Number of groups that are ``slow_factor`` times slower."""
    slow_factor: float = 5.0
    prompt_tokens: int = 2_000
    capacity_tokens: int = 700_000
    lost_reports: float = 0.0
    """Fraction of the reports that get lost."""
    duration_s: float = 30.0
    crowded: float = 0.0
    """Fraction of the requests that all go to nodes of the first zone; the remainder is
    spread evenly over all nodes."""
    late_s: float = 0.1
    """Wait from which a request counts as late, in seconds."""
    seed: int = 1


@attrs.define
class _Head:
    """A group: its slots, its queue and the memory of its requests."""

    entry: BackendServer
    pace: float
    running: int = 0
    tokens: int = 0
    queue: deque[_Request] = attrs.field(factory=deque)


@attrs.define(eq=False, repr=False)
class _Request:
    node: int
    arrived_s: float
    tokens: int
    work_s: float
    held: object


@attrs.define
class LoadFigures:
    """Measures of one trial."""

    late_s: float
    waits_s: list[float] = attrs.field(factory=list)
    by_zone: Counter[str] = attrs.field(factory=Counter)
    other_zone: int = 0
    overfilled: int = 0
    """Requests that exceeded a group's memory while another group had room."""
    max_requests: int = 0
    """Most requests at one group at a time."""

    @property
    def late(self) -> float:
        """Fraction of the requests that waited longer than ``late_s``."""
        return sum(w > self.late_s for w in self.waits_s) / max(len(self.waits_s), 1)

    @property
    def mean_wait_s(self) -> float:
        """Mean wait for a slot, in seconds."""
        return sum(self.waits_s) / max(len(self.waits_s), 1)

    @property
    def other_zone_fraction(self) -> float:
        """Fraction of the requests that went to another zone than their node's."""
        return self.other_zone / max(sum(self.by_zone.values()), 1)


@attrs.define(eq=False, repr=False)
class LoadPlay:
    """A running trial."""

    trial: LoadTrial
    clock: ManualClock
    rng: random.Random
    heads: dict[str, _Head]
    choices: list[HeadChoice | PlainChoice]
    loads: list[SharedLoad]
    figures: LoadFigures
    book: LoadBook = attrs.field(factory=LoadBook)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _count: int = 0

    @classmethod
    def create(cls, trial: LoadTrial) -> LoadPlay:
        """Create the nodes and the groups."""
        clock, rng = ManualClock(), random.Random(trial.seed)
        zones = [f"z{number}" for number in range(len(trial.heads_by_zone))]
        entries = [
            _entry(zone, index, trial.slots)
            for zone, count in zip(zones, trial.heads_by_zone, strict=True)
            for index in range(count)
        ]
        slow = set(rng.sample(range(len(entries)), trial.slow_heads))
        heads = {
            entry.backend_id: _Head(entry, trial.slow_factor if i in slow else 1.0)
            for i, entry in enumerate(entries)
        }
        loads = [SharedLoad(clock, lambda _: True) for _ in range(trial.nodes)]
        choices = [
            _choice(
                trial,
                clock,
                zones[index % len(zones)],
                FixedHeads(entries),
                random.Random(f"{trial.seed}/{index}"),
                SharedLoad(clock) if trial.way.endswith("own") else load,
            )
            for index, load in enumerate(loads)
        ]
        figures = LoadFigures(trial.late_s)
        return cls(trial, clock, rng, heads, choices, loads, figures)

    def run(self) -> LoadFigures:
        """Run to the end and return the measures."""
        trial = self.trial
        for node in range(trial.nodes):
            self._at(
                REPORT_INTERVAL_S * self.rng.random(), lambda n=node: self._tell(n)
            )
        per_s = sum(trial.slots / head.pace for head in self.heads.values())
        per_s *= trial.use / trial.service_s
        self._at(0.0, lambda: self._arrive(per_s))
        while self._events and self._events[0][0] < trial.duration_s:
            self.clock.at_s, _, step = heapq.heappop(self._events)
            step()
        return self.figures

    def _at(self, delay_s: float, step: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.clock.at_s + delay_s, self._count, step))

    def _tell(self, node: int) -> None:
        """Send a node's report to the collector, and apply its reply."""
        jitter = 0.8 + 0.4 * self.rng.random()
        self._at(REPORT_INTERVAL_S * jitter, lambda: self._tell(node))
        if self.rng.random() < self.trial.lost_reports:
            return
        asked_s, report = self.clock.at_s, self.loads[node].report()

        def collect() -> None:
            now_s = self.clock.at_s
            self.book.record(str(node), report, now_s)
            if self.book.is_complete(now_s):
                totals = self.book.totals_without(str(node))
                age_s = self.book.mean_age_s(now_s)
                load = self.loads[node]
                self._at(
                    LINK_LATENCY_S, lambda: load.apply_totals(totals, age_s, asked_s)
                )

        self._at(LINK_LATENCY_S, collect)

    def _arrive(self, per_s: float) -> None:
        """Send one caller's request to the group that its node chooses."""
        trial = self.trial
        self._at(self.rng.expovariate(per_s), lambda: self._arrive(per_s))
        node = self.rng.randrange(trial.nodes)
        if self.rng.random() < trial.crowded:
            node -= node % len(trial.heads_by_zone)
        prompt = int(self.rng.expovariate(1.0 / trial.prompt_tokens))
        need = MemoryNeed(prompt + USUAL_ANSWER_TOKENS, trial.capacity_tokens)
        found = self.choices[node].choose("llm", "m", (), need)
        head = self.heads[found.backend_id]
        held = self.loads[node].counted("llm", found.backend_id, need.tokens)
        held.__enter__()
        self.choices[node].health.in_flight[found.backend_id] += 1
        work_s = self.rng.expovariate(1.0 / trial.service_s) * head.pace
        request = _Request(node, self.clock.at_s, need.tokens, work_s, held)
        self._record(head, request)
        head.tokens += need.tokens
        head.queue.append(request)
        self._run_next(head)

    def _record(self, head: _Head, request: _Request) -> None:
        figures, entry = self.figures, head.entry
        figures.by_zone[entry.zone] += 1
        figures.other_zone += entry.zone != self.choices[request.node].zone
        at_head = head.running + len(head.queue) + 1
        figures.max_requests = max(figures.max_requests, at_head)
        limit_tokens = self.trial.capacity_tokens - request.tokens
        if head.tokens > limit_tokens:
            least = min(other.tokens for other in self.heads.values())
            figures.overfilled += least <= limit_tokens

    def _run_next(self, head: _Head) -> None:
        while head.queue and head.running < self.trial.slots:
            request = head.queue.popleft()
            head.running += 1
            self.figures.waits_s.append(self.clock.at_s - request.arrived_s)
            self._at(request.work_s, lambda r=request: self._end(head, r))

    def _end(self, head: _Head, request: _Request) -> None:
        head.running -= 1
        head.tokens -= request.tokens
        self.choices[request.node].health.in_flight[head.entry.backend_id] -= 1
        request.held.__exit__(None, None, None)
        self._run_next(head)


def _choice(
    trial: LoadTrial,
    clock: ManualClock,
    zone: str,
    heads: FixedHeads,
    rng: random.Random,
    load: SharedLoad,
) -> HeadChoice | PlainChoice:
    way, health = WAYS[trial.way], BackendHealth(clock)
    pressure = BackpressureTracker(clock, BackendDirectory(clock))
    if issubclass(way, HeadChoice):
        nodes = trial.nodes
        return way(zone, heads, health, NoStalls(), pressure, rng, lambda: nodes, load)
    return way(zone, heads, health, pressure, load, rng)


def _entry(zone: str, index: int, slots: int) -> BackendServer:
    membership = GroupMembership(f"{zone}.{index}", index, 0, MemberState.OPEN)
    return BackendServer(
        f"i-{zone}-{index}",
        "llm",
        "10.0.0.1:80",
        zone,
        BackendState.READY,
        slots,
        membership=membership,
    )


def play_load(trial: LoadTrial) -> LoadFigures:
    """Run a trial; equal settings give the same requests."""
    return LoadPlay.create(trial).run()
