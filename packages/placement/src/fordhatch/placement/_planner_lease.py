"""The lease that makes one node the planner."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Awaitable, Callable

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
"""A table of its own, that nobody follows: each renewal would wake every node."""

LEASE_ROW = RowKey(LEASE_TABLE, "planner")

LEASE_S = 1.6
"""How long a lease holds after the sending of its last renewal."""

RENEW_S = 0.45
"""Time between renewals: three may fail before the lease ends."""

TERMS_PER_GENERATION = 10**9
"""More than the store's counter reaches within a generation."""

MARGIN_S = 0.2
"""The holder stops this much before others may take over."""

CALL_TIMEOUT_S = 0.8
"""Longest wait for the store."""

CANDIDATES = 2
"""Nodes that look at the lease often; the others look rarely, which is enough if the
candidates are lost too, and saves calls."""

START_CANDIDATES = 8
"""Nodes that look at once after their start, while they know no holder: where all have
started at once, some of these are there. Looks at the lease were one call in seven of
those in the logs of a bad day."""

NODES_AFTER_S = 10.0
"""A node that has just started first waits this long for the names of the others: while
it has not read the table that names them, it could not plan either."""

NODES_LOOK_S = 0.02
"""Time between looks whether the names are there."""

CANDIDATE_LOOK_S = 0.45
"""Time between looks of the first candidates."""

OTHER_LOOK_S = 2.5
"""Shortest time between looks of the others."""

LOOK_S_PER_RANK = 0.5
"""Added to that time for each node that comes before: the looks of all nodes together
then grow with the logarithm of their number, and those of the first few are enough
when the candidates are lost."""


@attrs.frozen
class HolderNews:
    """What a node says of the lease."""

    is_holder: bool
    version: StoreVersion
    """Of the lease's row at that node's last renewal."""


@attrs.define(eq=False, repr=False)
class PlannerLease:
    """This node's side of the lease.

    Only the store's row versions decide: whoever replaces the version that it saw
    last is the holder. Time is measured on this node's own steady clock.

    Where the store has come back from an older copy, the row says nothing of whoever
    held the lease before, and may still go by its own clock: it is waited out.
    """

    node_name: str
    store: StoreClient
    timer: Timer
    node_names: Callable[[], set[str]]
    """Names of the known nodes, for the order of candidates."""
    is_leaving: Callable[[], bool]
    ask: Callable[[str], Awaitable[HolderNews | None]] | None = None
    """Asks a node for its renewals, which costs no call to the store; returns None
    where it doesn't answer."""
    epoch_base: int = 0
    """Made of the row's version at this node's last renewal; epochs that are derived
    from it are higher than those of every earlier holder."""
    fencing_token: int = 0
    """Made of the row's version when this node last became the holder: the same for
    the whole of its term, and above that of every earlier holder."""
    _version: StoreVersion = ABSENT
    _seen_s: float = -math.inf
    _valid_until_s: float = -math.inf
    _renewed: StoreVersion = ABSENT
    """The row's version at this node's last renewal."""
    _renewed_until_s: float = -math.inf
    """Until when nobody else can have taken over from that renewal."""
    _was_holder: bool = False
    _holder: str = ""
    """The node that had the lease at the last look."""
    _acquired: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_first_holder: bool = False
    """Whether nobody had ever had the lease when this node took it."""

    @property
    def version(self) -> StoreVersion:
        """The row's version as this node knows it."""
        return self._version

    def is_held(self) -> bool:
        """Return whether this node may plan now."""
        return self.timer.now_s() < self._valid_until_s

    async def until_held(self) -> None:
        """Wait until this node may plan; whoever never does is never woken."""
        while not self.is_held():
            self._acquired.clear()
            await self._acquired.wait()

    async def run(self) -> None:
        """Renew, or look and take over, until cancelled."""
        await self._begin()
        while True:
            if self.is_held():
                await self._renew()
                await self.timer.sleep(RENEW_S)
            else:
                self._note_loss()
                if not await self._holder_renews():
                    await self._look()
                # Who has just taken over renews soon, however rarely it had to look.
                look_s = self.timer.jittered(self._look_interval_s())
                await self.timer.sleep(RENEW_S if self.is_held() else look_s)

    async def _begin(self) -> None:
        """Wait for the names of the other nodes, and for longer behind many of them."""
        if self.ask is None:
            return
        began_s = self.timer.now_s()
        while not self.node_names() and self.timer.now_s() - began_s < NODES_AFTER_S:
            await self.timer.sleep(NODES_LOOK_S)
        if self._rank() >= START_CANDIDATES:
            await self.timer.sleep(self.timer.jittered(self._look_interval_s()))

    def _rank(self) -> int:
        """Return how many known nodes come before this one."""
        return sum(name < self.node_name for name in self.node_names())

    def _look_interval_s(self) -> float:
        rank = self._rank()
        often = CANDIDATES if self._version.number else START_CANDIDATES
        if rank < often:
            return CANDIDATE_LOOK_S
        return max(OTHER_LOOK_S, LOOK_S_PER_RANK * rank)

    def _note_loss(self) -> None:
        if self._was_holder:
            self._was_holder = False
            metrics.PLANNER_LEADER.set(0)
            log_event("planner_lost", version=str(self._version))

    async def _holder_renews(self) -> bool:
        """Return whether the holder says that it goes on renewing.

        Its word only postpones the next look at the store: who takes over replaces
        the version that it knows, and fails if there is a newer one.
        """
        if self.ask is None or self._holder in ("", self.node_name):
            return False
        news = await self.ask(self._holder)
        if news is None or not news.is_holder:
            return False
        now_s = self.timer.now_s()
        if news.version > self._version:
            self._version = news.version
            self._seen_s = now_s
        return now_s - self._seen_s < LEASE_S

    async def _look(self) -> None:
        page = await self.store.read(LEASE_TABLE, limit=1, timeout_s=CALL_TIMEOUT_S)
        if page.is_err() or self.is_leaving():
            return
        found = _LeaseRow.from_page(page.unwrap())
        now_s = self.timer.now_s()
        if found.version != self._version or self._seen_s == -math.inf:
            self._version = found.version
            self._seen_s = now_s
        expired = now_s - self._seen_s >= LEASE_S
        self._holder = found.holder or ""
        # An earlier start of this very node can't plan any more.
        is_free = found.is_current and found.holder in ("", self.node_name)
        if expired or is_free or self._may_go_on(found):
            await self._write("taken")

    def _may_go_on(self, found: _LeaseRow) -> bool:
        """Return whether a row is a copy of this node's own while that still holds."""
        own = self._renewed
        is_copy = found.holder == self.node_name and found.version.number <= own.number
        return self.timer.now_s() < self._renewed_until_s and is_copy

    async def _renew(self) -> None:
        await self._write("renewed")

    async def _write(self, what: str) -> None:
        sent_s = self.timer.now_s()
        replaced = self._version
        value = _value(self.node_name, replaced.generation)
        written = await self.store.write(
            {LEASE_ROW: replaced}, {LEASE_ROW: value}, timeout_s=CALL_TIMEOUT_S
        )
        if written.is_err():
            # The write may take effect later; the next look shows its version, and
            # then this node waits like any other.
            if written.unwrap_err().code is ResultCode.STORE_CONFLICT:
                self._lost_race(())
            return
        result = written.unwrap()
        if not result.is_committed:
            self._lost_race(result.conflicts)
            return
        if result.version.generation != replaced.generation:
            # The number was given out again: what it replaced is not known.
            self._lost_race((Row(LEASE_ROW, result.version, value),))
            return
        self._version = self._renewed = result.version
        self.epoch_base = _term(result.version)
        self._seen_s = self.timer.now_s()
        self._valid_until_s = sent_s + LEASE_S - MARGIN_S
        self._renewed_until_s = self._valid_until_s
        self._acquired.set()
        if not self._was_holder:
            self._was_holder = True
            self.fencing_token = _term(result.version)
            self.is_first_holder = replaced.number == 0
            metrics.PLANNER_LEADER.set(1)
            log_event("planner_became", version=str(result.version), how=what)

    def _lost_race(self, conflicts: tuple[Row, ...]) -> None:
        self._holder = ""
        self._valid_until_s = -math.inf
        self._version = next((row.version for row in conflicts), ABSENT)
        self._seen_s = self.timer.now_s()

    def superseded(self) -> None:
        """Stop planning: a backend server has seen a higher fencing token.

        Only the store tells who the holder is. If it is still this node, its next
        term has a higher token.
        """
        if not self.is_held():
            return
        self._valid_until_s = self._renewed_until_s = -math.inf
        log_event("planner_superseded", fencing_token=self.fencing_token)

    async def release(self) -> None:
        """Give the lease up, so that another node takes over at once."""
        if not self.is_held():
            return
        self._valid_until_s = self._renewed_until_s = -math.inf
        value = _value("", self._version.generation)
        await self.store.write(
            {LEASE_ROW: self._version}, {LEASE_ROW: value}, timeout_s=CALL_TIMEOUT_S
        )
        log_event("planner_released", version=str(self._version))


@attrs.frozen
class _LeaseRow:
    """The lease's row as it was read."""

    version: StoreVersion
    """Its number is 0 where there is no row."""
    holder: str | None
    """Empty where nobody has the lease; None where that can't be read."""
    is_current: bool
    """Whether who has written it knew of the store's present generation: it then
    tells who had the lease last."""

    @classmethod
    def from_page(cls, page: RowPage) -> _LeaseRow:
        """Return the row in a page of the lease's table."""
        row = next(iter(page.rows), None)
        generation = page.version.generation
        if row is None:
            return cls(StoreVersion(generation, 0), "", generation == 0)
        try:
            fields = json.loads(row.value)
            holder, written_in = str(fields["holder"]), fields.get("generation", 0)
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            RecursionError,
        ) as error:
            log_event("lease_unreadable", error=repr(error))
            return cls(row.version, None, is_current=False)
        return cls(row.version, holder, written_in == generation)


def _value(holder: str, generation: int) -> bytes:
    """Return the value of the lease's row."""
    return json.dumps({"holder": holder, "generation": generation}).encode()


def _term(version: StoreVersion) -> int:
    """Return a number that is higher than that of every earlier version."""
    return version.generation * TERMS_PER_GENERATION + version.number
