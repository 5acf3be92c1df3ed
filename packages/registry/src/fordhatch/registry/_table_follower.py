"""Follows one table of the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs

from fordhatch.adapter import NOTHING, StoreVersion
from fordhatch.core import Failure, ResultCode, Timer, log_event, metrics

from ._table_copy import TableCopy
from ._table_source import TableSource, TableUpdate

RETRY_FIRST_S = 0.05
"""Pause after the first failed call."""

RETRY_MOST_S = 0.2
"""Longest pause between failed calls, so that the return of the store is seen well
within the second or two that entries take to come back."""

OUTAGE_AFTER_S = 1.2
"""If the store confirmed nothing for this long, to any node that is known of, it was
away, and not a single answer lost: entries lapse after three heartbeats, which is
longer."""

OnUpdate = Callable[[TableUpdate], TableUpdate]


@attrs.define(eq=False, repr=False)
class TableFollower:
    """What a node knows of one table, and how old that is."""

    table: str
    source: TableSource
    timer: Timer
    on_update: OnUpdate
    """Called with every update, in order; returns it as it is kept and passed on."""
    wait_s: float
    """How long the store may hold a watch without changes."""
    gather_s: float = 0.0
    """Pause between watches in which changes gather; saves calls."""
    must_be_fresh: bool = True
    """Whether anything is decided by the age of what is known."""
    copy: TableCopy = attrs.field(factory=TableCopy)
    confirmed_s: float = -math.inf
    """When the store was asked that last confirmed the copy: what is known is at
    least as new."""
    confirmed_before_s: float = -math.inf
    """The same before the update that is being taken."""
    steady_since_s: float = -math.inf
    """Since when the store has confirmed the table without an outage, to this node or
    to those that it got its knowledge from."""
    outage_ended_s: float = -math.inf
    """When this node last learned of the end of an outage of the store."""
    _confirmed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set at the next confirmation, and replaced by a new one then."""
    _was_away: bool = False
    """Whether, since the last confirmation, the store failed to answer, or another
    node was found to know nothing fresh either."""
    _failing_since_s: float | None = None
    _failures: int = 0
    _needs_whole: bool = False
    """Whether changes since the copy's version can't be had one by one any more."""
    _histories_gone: int = 0
    """Calls in a row to which the store had no history."""

    @property
    def version(self) -> StoreVersion:
        """Changes up to this version of the store have been seen."""
        return self.copy.version

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read at all."""
        return self.copy.version != NOTHING

    @property
    def is_failing(self) -> bool:
        """Whether the store has not answered since it was last asked."""
        return self._failing_since_s is not None

    def age_s(self) -> float:
        """Return the age of what is known, in seconds."""
        return self.timer.now_s() - self.confirmed_s

    def steady_s(self) -> float:
        """Return for how long the store had confirmed the table without an outage."""
        return self.confirmed_s - self.steady_since_s

    async def until_younger(self, age_s: float) -> None:
        """Wait until what is known is younger than this."""
        while self.age_s() > age_s:
            await self._confirmed.wait()

    async def follow(
        self, retry_most_s: float = RETRY_MOST_S, probe: TableFollower | None = None
    ) -> None:
        """Follow the table at the store until cancelled.

        Args:
            retry_most_s: Longest pause between failed calls.
            probe: The table that is asked for while the store is away; this one waits
                for it then. None for that table itself.
        """
        while True:
            while probe is not None and probe.is_failing:
                await self.timer.sleep(RETRY_FIRST_S)
            if not await self.refresh(self.wait_s):
                await self.timer.sleep(self._pause_s(self._failures, retry_most_s))
            elif self._histories_gone > 1:
                # Reading the table whole has not helped: the store says so of anything.
                again_s = self._pause_s(self._histories_gone, retry_most_s)
                await self.timer.sleep(again_s)
            elif self.gather_s:
                await self.timer.sleep(self.gather_s)

    async def refresh(self, wait_s: float = 0.0) -> bool:
        """Ask the store once for what has changed; returns whether it answered.

        Args:
            wait_s: How long the store may wait for a change.
        """
        sent_s = self.timer.now_s()
        after = NOTHING if self._needs_whole else self.copy.version
        got = await self.source.update(self.table, after, wait_s)
        if got.is_err() and got.err().code is ResultCode.STORE_HISTORY_GONE:
            log_event("store_history_gone", table=self.table, after=str(after))
            sent_s = self.timer.now_s()
            self._histories_gone += 1
            self._needs_whole = True
            got = await self.source.update(self.table, NOTHING, 0.0)
        else:
            self._histories_gone = 0
        if got.is_err():
            self.failed(got.unwrap_err())
            return False
        if self.take(got.unwrap(), sent_s):
            return True
        text = f"its answer is of {got.unwrap().version}, before {self.copy.version}"
        self.failed(Failure.from_code(ResultCode.STORE_UNAVAILABLE, text))
        return False

    def _pause_s(self, failures: int, most_s: float) -> float:
        pause_s = RETRY_FIRST_S * 2 ** min(failures - 1, 8)
        return self.timer.jittered(min(pause_s, most_s))

    def take(self, update: TableUpdate, sent_s: float) -> bool:
        """Take an update; returns whether it is no older than what is known.

        Args:
            update: What the store or another node has answered.
            sent_s: When it was asked, in monotonic seconds. Time passes between the
                request and the moment that the age speaks of, so counting from the
                request errs on the safe side, also after a freeze.
        """
        if self.copy.is_older(update):
            # A node that is behind, or an answer that was on its way for long.
            return False
        if self.copy.crosses(update):
            self._note_return(update)
        self.confirmed_before_s = self.confirmed_s
        self._confirm(sent_s - update.age_s, update.steady_s)
        if update.is_whole or update.rows:
            update = self.on_update(update)
        self.copy.take(update)
        self._needs_whole = self._needs_whole and not update.is_whole
        self._succeeded()
        return True

    def _note_return(self, update: TableUpdate) -> None:
        """Note that the store has come back from a copy; it was away before that."""
        self.outage_ended_s = self.timer.now_s()
        metrics.STORE_RETURNS.labels(self.table).inc()
        log_event(
            "store_came_back_older",
            table=self.table,
            known=str(self.copy.version),
            found=str(update.version),
            age_s=round(self.age_s(), 3),
            from_store=update.is_from_store,
        )

    def _confirm(self, confirmed_s: float, steady_s: float | None) -> None:
        """Note a confirmation, and whether an outage lay before it.

        Knowledge also ages while this node changes its reader, and a little at each
        node that passes it on. Only a span in which the store confirmed nothing to
        anybody is an outage: another node's steady time tells, and without one, what
        this node has met since its last confirmation.
        """
        steady_since_s = confirmed_s - (steady_s or 0.0)
        is_gap = steady_since_s - self.confirmed_s >= OUTAGE_AFTER_S
        is_outage = is_gap and (steady_s is not None or self._was_away)
        if not self.is_loaded:
            self.steady_since_s = steady_since_s
        elif is_outage:
            self.outage_ended_s = self.timer.now_s()
            self.steady_since_s = steady_since_s
        else:
            self.steady_since_s = min(self.steady_since_s, steady_since_s)
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        self._was_away = False
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    def _succeeded(self) -> None:
        if self._failing_since_s is not None:
            log_event(
                "store_regained",
                table=self.table,
                away_s=round(self.timer.now_s() - self._failing_since_s, 3),
            )
        self._failing_since_s = None
        self._failures = 0

    def found_stale(self) -> None:
        """Note that another node knows nothing fresh either."""
        self._was_away = True

    def failed(self, failure: Failure) -> None:
        """Note that the store did not answer."""
        self._was_away = True
        self._failures += 1
        if self._failing_since_s is None:
            self._failing_since_s = self.timer.now_s()
            log_event("store_lost", table=self.table, reason=failure.message)
