"""Rewriting of this node's claims after the store is restored from a backup.

A backup may lack recent claims, and a retry of a request whose claim is lost would run
again. Each node rewrites its claims as soon as it detects the restore, and reports
that. No node makes new claims until all nodes that are there have reported.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

import attrs

from fordhatch.adapter import (
    ABSENT,
    DecodeError,
    Row,
    RowKey,
    StoreClient,
    StoreVersion,
)
from fordhatch.core import TaskSet, Timer, log_event

from ._claim_rows import Claim, ClaimKey, ClaimState
from ._rewrite_reports import RewriteReports

RETENTION_S = 60.0
"""Retention of settled claims. It covers the age of the backup, some seconds, and the
time for which the store is unavailable before the restore."""

MAX_SETTLED_CLAIMS = 300
"""Limit of retained settled claims: their answers take at most 20 MB."""

HOLD_OFF_S = 1.0
"""Minimum time without new claims after a restore. The reports that the restored store
has lost are back in every node's copy by then; nodes of an older build write none."""

MAX_HOLD_OFF_S = RETENTION_S
"""Maximum time without new claims after a restore, while a node that is there does not
report. Such a node has dropped its settled claims by then."""

CHECK_INTERVAL_S = 0.05
"""Interval of the check for a restore, which makes no call to the store."""

STORE_TIMEOUT_S = 1.0
"""Timeout of a call to the store."""

RETRY_PAUSE_S = 0.1
"""Pause before the next attempt."""


@attrs.define(eq=False, repr=False)
class ClaimRestorer:
    """Keeps the newest value of each of this node's claims, to rewrite it if lost."""

    store: StoreClient
    timer: Timer
    reports: RewriteReports
    generation: int = 0
    """The newest generation of the store that this node has acted on."""
    _claims: dict[ClaimKey, tuple[Claim, float]] = attrs.field(factory=dict)
    """Claims by key, each with the time of its last change."""
    _rewritten: int = 0
    """Newest generation in which this node's earlier claims are present again."""
    _restored_s: float = -math.inf
    """Monotonic time at which this node detected the last restore of the store."""
    _is_open: bool = False
    """Whether new claims may be made in this generation."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def remember(self, key: ClaimKey, claim: Claim) -> None:
        """Retain a claim's newest value."""
        self._claims.pop(key, None)
        self._claims[key] = claim, self.timer.now_s()
        self._evict()

    def forget(self, key: ClaimKey, claim: Claim) -> None:
        """Drop a claim that was released, but not an earlier one of the same key.

        Before this node learns of a restore it may claim a key whose claim was lost.
        """
        if key in self._claims and self._claims[key][0].write_id == claim.write_id:
            del self._claims[key]

    def _evict(self) -> None:
        """Drop settled claims beyond the retention period or the limit."""
        oldest_s = self.timer.now_s() - RETENTION_S
        settled = [
            (key, at_s)
            for key, (claim, at_s) in self._claims.items()
            if claim.state is not ClaimState.RUNNING
        ]
        excess = len(settled) - MAX_SETTLED_CLAIMS
        for index, (key, at_s) in enumerate(settled):
            if index < excess or at_s < oldest_s:
                del self._claims[key]

    def may_claim(self) -> bool:
        """Return whether new claims may be made.

        All claims from before the last restore are rewritten by then, except those of
        nodes that are gone.
        """
        self._check_restore()
        if not self._is_open and self._is_complete():
            self._is_open = True
            if self._restored_s > -math.inf:
                held_off_s = round(self.timer.now_s() - self._restored_s, 3)
                missing = self.reports.missing(self.generation, self._restored_s)
                log_event("claims_resumed", held_off_s=held_off_s, missing=missing)
            self._tasks.spawn(
                self.reports.remove_gone(self.generation, self._restored_s),
                "remove-reports",
            )
        return self._is_open

    def _is_complete(self) -> bool:
        """Return whether no claim from before the restore is still to be rewritten."""
        if not self.reports.has_own(self.generation):
            # The other nodes would not wait for this one after the next restore.
            return False
        held_off_s = self.timer.now_s() - self._restored_s
        if held_off_s < HOLD_OFF_S:
            return False
        missing = self.reports.missing(self.generation, self._restored_s)
        return not missing or held_off_s >= MAX_HOLD_OFF_S

    async def run(self) -> None:
        """Check for restores of the store, and report, until cancelled."""
        while True:
            self._check_restore()
            if self._rewritten == self.generation:
                await self.reports.write_own(self.generation)
            if not self.may_claim() and self.reports.is_query_due():
                for name in self.reports.missing(self.generation, self._restored_s):
                    self._tasks.spawn(self.reports.query(name), f"query-{name}")
            await self.timer.sleep(CHECK_INTERVAL_S)

    def _check_restore(self) -> None:
        """Rewrite every retained claim if the store was restored from a backup."""
        generation = self.reports.generation()
        if generation <= self.generation:
            return
        self.generation = generation
        self._restored_s = self.timer.now_s()
        self._is_open = False
        self._tasks.spawn(self._rewrite_all(generation), "keep-claims")

    async def _rewrite_all(self, generation: int) -> None:
        """Rewrite the retained claims, until the next restore."""
        keys = list(self._claims)
        await asyncio.gather(*(self._rewrite(key, generation) for key in keys))
        if self.generation == generation:
            self._rewritten = generation

    async def _rewrite(self, key: ClaimKey, generation: int) -> None:
        """Rewrite a claim unless the store has its newest value."""
        row, version = key.row_key, ABSENT
        ends_s = self.timer.now_s() + MAX_HOLD_OFF_S
        while self.generation == generation and self.timer.now_s() < ends_s:
            if key not in self._claims:
                return
            claim, _ = self._claims[key]
            written = await self.store.write(
                {row: version}, {row: claim.to_bytes()}, timeout_s=STORE_TIMEOUT_S
            )
            if written.is_ok() and written.unwrap().is_committed:
                log_event("claim_written_again", key=row.key, state=claim.state)
                version = written.unwrap().version
                if key not in self._claims:
                    await self._remove(row, version)
                elif self._claims[key][0] is not claim:
                    # It was settled meanwhile, and that write has met this one.
                    continue
                return
            if written.is_ok():
                found = _claim_in(written.unwrap().conflicts)
                if found is not None and found.write_id == claim.write_id:
                    return
                if found is not None and found.start_id == claim.start_id:
                    # The backup has an earlier state of the same claim.
                    version = found.version
                    continue
                # Another node has not noticed the restore and releases its claim.
                version = ABSENT
            await self.timer.sleep(self.timer.jittered(RETRY_PAUSE_S))
        log_event("claim_not_written_again", key=row.key)

    async def _remove(self, row: RowKey, version: StoreVersion) -> None:
        """Remove a row whose claim was released while it was rewritten."""
        await self.store.write({row: version}, {}, (row,), timeout_s=STORE_TIMEOUT_S)

    async def close(self) -> None:
        """Stop pending rewrites and withdraw the report."""
        await self._tasks.close()
        await self.reports.withdraw()


def _claim_in(conflicts: Sequence[Row]) -> Claim | None:
    """Return the claim in a row that differs from the expected one."""
    try:
        return Claim.from_row(conflicts[0]) if conflicts else None
    except DecodeError:
        return None
