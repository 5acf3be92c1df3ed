"""Takes retries from the part of the slack that a row of the store counts."""

from __future__ import annotations

import math

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import (
    ABSENT,
    Row,
    RowKey,
    RowPage,
    StoreClient,
    StoreVersion,
)
from fordhatch.budgets import RetryTerms, SlackPoolRow
from fordhatch.core import Failure, ResultCode, Timer, log_event, metrics

POOL_TABLE = "fordhatch-retries"
"""A separate table that no node follows, with a row for each service."""

CALL_TIMEOUT_S = 0.3
"""Longest wait for an answer of the store."""

MAX_TRIES = 3
"""Attempts to replace the row, while other nodes replace it as well."""

BLOCK_FRACTION = 0.125
"""Largest part of the pool that one node takes at once."""

FAILURE_PAUSE_S = 1.0
"""Time for which the store is not asked again after a failure or lost attempts."""

_DECODE_ERRORS = (ValueError, TypeError, KeyError, OverflowError, RecursionError)


@attrs.frozen
class PoolLoan:
    """Retries taken from the pool."""

    count: int
    asked_s: float
    """When the store was asked, in monotonic seconds; they expire ``loan_s`` later."""


@attrs.frozen
class _PoolState:
    """The row as read, and the store's clock at that time."""

    row: SlackPoolRow
    version: StoreVersion
    """Version of the row."""
    now_s: float
    asked_s: float
    is_malformed: bool = False
    """Whether the row that is there could not be decoded."""


@attrs.define(eq=False, repr=False)
class SlackPool:
    """Takes retries when a start has no other: at most some calls for each window."""

    store: StoreClient
    timer: Timer
    is_first_start: bool
    _ask_again_s: dict[str, float] = attrs.field(factory=dict)
    """Until when the pool of a service is not asked."""
    _generation: int = 0
    """Generation of the store; 0 before its first answer."""
    _generation_since_s: float = math.inf
    """Since when this start knows that the store has not been restored."""

    @classmethod
    def from_store(
        cls, store: StoreClient, timer: Timer, *, is_first_start: bool
    ) -> SlackPool:
        """Return the pool as one start sees it.

        Args:
            store: Holds the rows.
            timer: The node's timer.
            is_first_start: Whether no node has run before, so that a row that is not
                there was never lost.
        """
        return cls(store, timer, is_first_start)

    def is_worth_asking(self, service: str) -> bool:
        """Return whether the pool may have something for a service."""
        return self._ask_again_s.get(service, -math.inf) <= self.timer.now_s()

    def note_generation(self) -> None:
        """Note since when the store has not been restored; to be called regularly."""
        is_noted = self._generation_since_s != math.inf
        if is_noted and self.store.generation == self._generation:
            return
        is_certain = self.is_first_start and self._generation == 0
        self._generation = self.store.generation
        self._generation_since_s = -math.inf if is_certain else self.timer.now_s()

    async def take(self, service: str, wanted: int, terms: RetryTerms) -> PoolLoan:
        """Take retries of a service; none if the store does not answer in time.

        Args:
            service: The service.
            wanted: How many at the most.
            terms: The budget of all nodes together.
        """
        self._pause(service, FAILURE_PAUSE_S)
        most = min(wanted, math.ceil(BLOCK_FRACTION * terms.pool_slack))
        for _ in range(MAX_TRIES):
            read = await self._read(service, terms)
            if read.is_err():
                self._log_nothing(service, read.unwrap_err().code.name)
                break
            state = read.unwrap()
            count = min(state.row.room(state.now_s, terms), most)
            if not count:
                self._pause(service, state.row.next_free_s(state.now_s, terms))
                self._log_nothing(service, "none left", state)
                if state.is_malformed:
                    # Written anew, it opens for all starts once a window has passed.
                    await self._replace(service, state, state.row)
                break
            row = state.row.granted(count, state.now_s, terms)
            if await self._replace(service, state, row):
                self._ask_again_s.pop(service, None)
                metrics.RETRIES_LENT.labels("from the store").inc(count)
                return PoolLoan(count, state.asked_s)
        else:
            self._log_nothing(service, "replaced by others")
        return PoolLoan(0, self.timer.now_s())

    def _log_nothing(
        self, service: str, why: str, state: _PoolState | None = None
    ) -> None:
        """Log that the store gave nothing, and what is known of its row."""
        known_s = self.timer.now_s() - self._generation_since_s
        log_event(
            "retry_pool_gave_nothing",
            service=service,
            why=why,
            row="" if state is None else str(state.version),
            generation=self._generation,
            known_s=round(max(known_s, 0.0), 3),
        )

    async def prepare(self, service: str, terms: RetryTerms) -> None:
        """Create the row of a service, so that starts need not doubt that it was lost.

        Args:
            service: The service.
            terms: The budget of all nodes together.
        """
        read = await self._read(service, terms)
        state = read.ok()
        if state is not None and state.version == ABSENT and not state.row.grants:
            await self._replace(service, state, state.row)

    def _pause(self, service: str, pause_s: float) -> None:
        self._ask_again_s[service] = self.timer.now_s() + pause_s

    async def _read(
        self, service: str, terms: RetryTerms
    ) -> Result[_PoolState, Failure]:
        asked_s = self.timer.now_s()
        got = await self.store.read(
            POOL_TABLE, first_key=service, limit=1, timeout_s=CALL_TIMEOUT_S
        )
        if got.is_err():
            return Err(got.unwrap_err())
        self.note_generation()
        page = got.unwrap()
        if page.now_s is None:
            text = "the store names no time"
            return Err(Failure.from_code(ResultCode.STORE_UNAVAILABLE, text))
        rows = [r for r in page.rows if r.row_key.key == service]
        if not rows:
            found = self._absent(page, terms)
            return Ok(_PoolState(found, ABSENT, page.now_s, asked_s))
        row = _decode(rows[0], page.version.generation)
        is_malformed = row is None
        if row is None:
            row = SlackPoolRow.closed(page.version.generation, page.now_s, terms)
        elif row.generation != page.version.generation:
            # What was granted before the store was restored may have been forgotten.
            row = self._unknown(page, terms)
        version = rows[0].version
        return Ok(_PoolState(row, version, page.now_s, asked_s, is_malformed))

    def _absent(self, page: RowPage, terms: RetryTerms) -> SlackPoolRow:
        """Return the row to assume where there is none."""
        generation = page.version.generation
        if page.is_generation_named and generation == 0:
            # A store that was never restored has lost no row: nobody has had a grant.
            return SlackPoolRow(generation)
        return self._unknown(page, terms)

    def _unknown(self, page: RowPage, terms: RetryTerms) -> SlackPoolRow:
        """Return the row to assume where none of this generation is there."""
        generation = page.version.generation
        known_s = self.timer.now_s() - self._generation_since_s
        if known_s >= terms.window_s + terms.bucket_s + terms.loan_s:
            return SlackPoolRow(generation)
        return SlackPoolRow.closed(generation, page.now_s, terms)

    async def _replace(
        self, service: str, state: _PoolState, row: SlackPoolRow
    ) -> bool:
        key = RowKey(POOL_TABLE, service)
        written = await self.store.write(
            {key: state.version}, {key: row.to_bytes()}, timeout_s=CALL_TIMEOUT_S
        )
        if written.is_err() or not written.unwrap().is_committed:
            return False
        # The store may have been restored, and have lost a row, since it was read.
        return written.unwrap().version.generation == row.generation


def _decode(row: Row, generation: int) -> SlackPoolRow | None:
    """Return the content of a row, None if it is malformed.

    Args:
        row: The row.
        generation: Generation of the store, which no row is ahead of.
    """
    try:
        found = SlackPoolRow.from_bytes(row.value)
        if found.generation > generation:
            raise ValueError(f"row of generation {found.generation} in {generation}")
        return found
    except _DECODE_ERRORS as error:
        code = ResultCode.RETRY_POOL_UNREADABLE
        log_event("retry_pool_unreadable", code=int(code), error=repr(error))
        return None
