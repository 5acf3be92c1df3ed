"""The lease in the store that makes one node the planner."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Awaitable, Callable, Sequence

import attrs

from fordhatch.adapter import (
    ABSENT,
    Row,
    RowKey,
    RowPage,
    StoreClient,
    StoreVersion,
)
from fordhatch.core import ResultCode, Timer, log_event, metrics

LEASE_TABLE = "fordhatch-lease"
"""A separate table that no node subscribes to. In a shared table, each renewal would
notify every node."""

LEASE_ROW = RowKey(LEASE_TABLE, "planner")

LEASE_DURATION_S = 1.6
"""Validity of a lease, counted from when its last renewal was sent."""

RENEW_INTERVAL_S = 0.45
"""Time between renewals. Three may fail before the lease expires."""

VERSIONS_PER_GENERATION = 10**9
"""Upper bound for the store's version counter within one generation."""

SAFETY_MARGIN_S = 0.2
"""The holder stops planning this long before another node may take over."""

CALL_TIMEOUT_S = 0.8
"""Timeout of a store call."""

CANDIDATE_COUNT = 2
"""Number of nodes that poll the lease often. The other nodes poll it rarely, which
saves calls and is enough to take over if the candidates are lost too."""

START_CANDIDATE_COUNT = 8
"""Number of nodes that poll the lease right after their start and until they know a
holder. If all nodes start at the same time, some of these are available. The number is
limited because polls of the lease can be one in seven of all store calls."""

NODES_TIMEOUT_S = 10.0
"""Longest time for which a node waits after its start for the names of the other nodes.
Until it has read the table with these names, it could not plan either."""

NODES_POLL_INTERVAL_S = 0.02
"""Time between checks for the names of the other nodes."""

CANDIDATE_POLL_INTERVAL_S = 0.45
"""Time between polls of the lease by a candidate."""

MIN_OTHER_POLL_INTERVAL_S = 2.5
"""Shortest time between polls of the lease by a node that is not a candidate."""

POLL_INTERVAL_PER_RANK_S = 0.5
"""Poll interval of a node that is not a candidate, for each node that comes before it.
The total rate of polls then grows with the logarithm of the number of
nodes, and the first few nodes poll often enough when the candidates are lost."""

MIN_POLL_WAIT_S = 0.001
"""Shortest wait: a rest from rounding is too short to move the clock on."""

MAX_POLL_WAIT_S = 1.0
"""Time after which a waiting node looks again how many nodes come before it."""


@attrs.frozen
class LeaseHolderStatus:
    """State of the lease as reported by a node."""

    is_holder: bool
    version: StoreVersion
    """Version of the lease row at that node's last renewal."""


@attrs.define(eq=False, repr=False)
class PlannerLease:
    """This node's side of the lease.

    Only the store's row versions decide: the node that replaces the version it saw
    last becomes the holder. Time is measured on the node's own monotonic clock.

    After the store is restored from a backup, the row does not show which node held
    the lease before. That node may still plan until the lease expires on its own
    clock, so other nodes wait for the full duration of a lease.
    """

    node_name: str
    store: StoreClient
    timer: Timer
    candidates: Callable[[], Sequence[str]]
    """Returns the names of the known nodes, the best candidate first."""
    is_leaving: Callable[[], bool]
    query_holder: Callable[[str], Awaitable[LeaseHolderStatus | None]] | None = None
    """Queries a node for the state of the lease without a call to the store; returns
    None if the node does not answer."""
    may_hold: Callable[[], bool] = lambda: True
    """Returns whether this node can plan; otherwise it leaves the lease to another."""
    epoch_base: int = 0
    """Derived from the row's version at this node's last renewal. Epochs derived from
    it are higher than those of every earlier holder."""
    fencing_token: int = 0
    """Derived from the row's version when this node last became the holder. It stays
    the same for the whole term and is higher than that of every earlier holder."""
    _version: StoreVersion = ABSENT
    _version_seen_s: float = -math.inf
    _valid_until_s: float = -math.inf
    _renewed_version: StoreVersion = ABSENT
    """Version of the row at this node's last renewal."""
    _renewed_until_s: float = -math.inf
    """Time until which no other node can have taken over after that renewal."""
    _was_holder: bool = False
    _holder: str = ""
    """Node that held the lease at the last poll."""
    _acquired: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_first_holder: bool = False
    """Whether no node had ever held the lease when this node acquired it."""

    @property
    def version(self) -> StoreVersion:
        """Version of the row that this node knows."""
        return self._version

    def is_held(self) -> bool:
        """Return whether this node may plan now."""
        return self.timer.now_s() < self._valid_until_s

    async def until_held(self) -> None:
        """Wait until this node may plan, which may never happen."""
        while not self.is_held():
            self._acquired.clear()
            await self._acquired.wait()

    async def run(self) -> None:
        """Renew the lease, or poll it and take over, until cancelled."""
        await self._wait_for_nodes()
        while True:
            if self.is_held() and not self.may_hold():
                await self.release()
            if self.is_held():
                await self._renew()
                await self.timer.sleep(RENEW_INTERVAL_S)
            else:
                self._record_loss()
                if self.may_hold() and not await self._holder_renews():
                    await self._poll()
                await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        """Wait one poll interval, or less if the node comes further to the front."""
        factor = self.timer.jittered(1.0)
        if self.is_held():
            # A node that has just taken over must renew soon, even if its poll
            # interval is long.
            await self.timer.sleep(RENEW_INTERVAL_S)
            return
        began_s = self.timer.now_s()
        left_s = factor * self._poll_interval_s()
        while left_s > 0:
            await self.timer.sleep(max(min(left_s, MAX_POLL_WAIT_S), MIN_POLL_WAIT_S))
            waited_s = self.timer.now_s() - began_s
            left_s = factor * self._poll_interval_s() - waited_s

    async def _wait_for_nodes(self) -> None:
        """Wait for the names of the other nodes before the first poll.

        A node behind the start candidates waits for one poll interval more.
        """
        if self.query_holder is None:
            return
        started_s = self.timer.now_s()
        while (
            not self.candidates() and self.timer.now_s() - started_s < NODES_TIMEOUT_S
        ):
            await self.timer.sleep(NODES_POLL_INTERVAL_S)
        if self._rank() >= START_CANDIDATE_COUNT:
            await self.timer.sleep(self.timer.jittered(self._poll_interval_s()))

    def _rank(self) -> int:
        """Return how many known nodes come before this one."""
        names = self.candidates()
        return names.index(self.node_name) if self.node_name in names else len(names)

    def _poll_interval_s(self) -> float:
        rank = self._rank()
        frequent_count = (
            CANDIDATE_COUNT if self._version.number else START_CANDIDATE_COUNT
        )
        if rank < frequent_count:
            return CANDIDATE_POLL_INTERVAL_S
        return max(MIN_OTHER_POLL_INTERVAL_S, POLL_INTERVAL_PER_RANK_S * rank)

    def _record_loss(self) -> None:
        if self._was_holder:
            self._was_holder = False
            metrics.PLANNER_LEADER.set(0)
            log_event("planner_lost", version=str(self._version))

    async def _holder_renews(self) -> bool:
        """Return whether the holder reports that it still renews the lease.

        The report only postpones the next poll of the store. A node that takes over
        replaces the version it knows, which fails if a newer version exists.
        """
        if self.query_holder is None or self._holder in ("", self.node_name):
            return False
        status = await self.query_holder(self._holder)
        if status is None or not status.is_holder:
            return False
        now_s = self.timer.now_s()
        if status.version > self._version:
            self._version = status.version
            self._version_seen_s = now_s
        return now_s - self._version_seen_s < LEASE_DURATION_S

    async def _poll(self) -> None:
        page = await self.store.read(LEASE_TABLE, limit=1, timeout_s=CALL_TIMEOUT_S)
        if page.is_err() or self.is_leaving():
            return
        found = _LeaseRow.from_page(page.unwrap())
        now_s = self.timer.now_s()
        if found.version != self._version or self._version_seen_s == -math.inf:
            self._version = found.version
            self._version_seen_s = now_s
        expired = now_s - self._version_seen_s >= LEASE_DURATION_S
        self._holder = found.holder or ""
        # A row with this node's own name is from its previous run, which no longer
        # plans.
        is_free = found.is_current and found.holder in ("", self.node_name)
        if expired or is_free or self._may_resume(found):
            await self._write("taken")

    def _may_resume(self, found: _LeaseRow) -> bool:
        """Return whether a row is an older copy of this node's own valid lease."""
        own = self._renewed_version
        is_copy = found.holder == self.node_name and found.version.number <= own.number
        return self.timer.now_s() < self._renewed_until_s and is_copy

    async def _renew(self) -> None:
        await self._write("renewed")

    async def _write(self, transition: str) -> None:
        sent_s = self.timer.now_s()
        replaced = self._version
        value = _row_value(self.node_name, replaced.generation)
        written = await self.store.write(
            {LEASE_ROW: replaced}, {LEASE_ROW: value}, timeout_s=CALL_TIMEOUT_S
        )
        if written.is_err():
            # The write may still take effect later. The next poll then shows its
            # version, and this node waits like any other node.
            if written.unwrap_err().code is ResultCode.STORE_CONFLICT:
                self._handle_conflict(())
            return
        result = written.unwrap()
        if not result.is_committed:
            self._handle_conflict(result.conflicts)
            return
        if result.version.generation != replaced.generation:
            # The store was restored and reused the number, so it is unknown which
            # row the write replaced.
            self._handle_conflict((Row(LEASE_ROW, result.version, value),))
            return
        self._version = self._renewed_version = result.version
        self.epoch_base = _ordinal(result.version)
        self._version_seen_s = self.timer.now_s()
        self._valid_until_s = sent_s + LEASE_DURATION_S - SAFETY_MARGIN_S
        self._renewed_until_s = self._valid_until_s
        self._acquired.set()
        if not self._was_holder:
            self._was_holder = True
            self.fencing_token = _ordinal(result.version)
            self.is_first_holder = replaced.number == 0
            metrics.PLANNER_LEADER.set(1)
            log_event("planner_became", version=str(result.version), how=transition)

    def _handle_conflict(self, conflicts: tuple[Row, ...]) -> None:
        self._holder = ""
        self._valid_until_s = -math.inf
        self._version = next((row.version for row in conflicts), ABSENT)
        self._version_seen_s = self.timer.now_s()

    def step_down(self) -> None:
        """Stop planning because a backend server has seen a higher fencing token.

        Only the store determines the holder. If it is still this node, its next term
        has a higher token.
        """
        if not self.is_held():
            return
        self._valid_until_s = self._renewed_until_s = -math.inf
        log_event("planner_superseded", fencing_token=self.fencing_token)

    async def release(self) -> None:
        """Give up the lease, so that another node can take over immediately."""
        if not self.is_held():
            return
        self._valid_until_s = self._renewed_until_s = -math.inf
        value = _row_value("", self._version.generation)
        await self.store.write(
            {LEASE_ROW: self._version}, {LEASE_ROW: value}, timeout_s=CALL_TIMEOUT_S
        )
        log_event("planner_released", version=str(self._version))


@attrs.frozen
class _LeaseRow:
    """The lease row as read from the store."""

    version: StoreVersion
    """The number is 0 if there is no row."""
    holder: str | None
    """Empty if no node holds the lease; None if the row cannot be decoded."""
    is_current: bool
    """Whether the row was written in the store's present generation. Only then does it
    show the last holder."""

    @classmethod
    def from_page(cls, page: RowPage) -> _LeaseRow:
        """Return the row in a page of the lease table."""
        row = next(iter(page.rows), None)
        generation = page.version.generation
        if row is None:
            return cls(StoreVersion(generation, 0), "", generation == 0)
        try:
            fields = json.loads(row.value)
            holder, generation_written = (
                str(fields["holder"]),
                fields.get("generation", 0),
            )
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            RecursionError,
        ) as error:
            log_event("lease_unreadable", error=repr(error))
            return cls(row.version, None, is_current=False)
        return cls(row.version, holder, generation_written == generation)


def _row_value(holder: str, generation: int) -> bytes:
    """Return the encoded value of the lease row."""
    return json.dumps({"holder": holder, "generation": generation}).encode()


def _ordinal(version: StoreVersion) -> int:
    """Return a number that is higher than that of every earlier version.

    It also rises when a restored store starts a new generation with lower numbers.
    """
    return version.generation * VERSIONS_PER_GENERATION + version.number
