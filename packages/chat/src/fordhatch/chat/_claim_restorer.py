"""Rewriting of this node's claims after the store is restored from a backup.

A backup may lack recent claims, and a retry of a request whose claim is lost would run
again. Each node rewrites its claims as soon as it detects the restore, and no node
makes new claims in the meantime.
"""

from __future__ import annotations

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
from fordhatch.registry import TableCopy

from ._claim_rows import Claim, ClaimKey, ClaimState

RETENTION_S = 60.0
"""Retention of settled claims. It covers the age of the backup, some seconds, and the
time for which the store is unavailable before the restore."""

MAX_SETTLED_CLAIMS = 300
"""Limit of retained settled claims: their answers take at most 20 MB."""

HOLD_OFF_S = 1.0
"""Time without new claims after a restore. Nodes that hold claims call the store
several times a second, so they have rewritten their claims by then."""

CHECK_INTERVAL_S = 0.05
"""Interval of the check for a restore, which makes no call to the store."""

STORE_TIMEOUT_S = 1.0
"""Timeout of a call to the store."""

MAX_WRITE_ATTEMPTS = 5
"""Attempts to rewrite a claim."""

RETRY_PAUSE_S = 0.1
"""Pause before the next attempt."""


@attrs.define(eq=False, repr=False)
class ClaimRestorer:
    """Keeps the newest value of each of this node's claims, to rewrite it if lost."""

    store: StoreClient
    timer: Timer
    shared: TableCopy
    """This node's copy of the system's own table."""
    _claims: dict[ClaimKey, tuple[Claim, float]] = attrs.field(factory=dict)
    """Claims by key, each with the time of its last change."""
    _generation: int = 0
    _restored_s: float = -math.inf
    """Monotonic time at which this node detected the last restore of the store."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def remember(self, key: ClaimKey, claim: Claim) -> None:
        """Retain a claim's newest value."""
        self._claims.pop(key, None)
        self._claims[key] = claim, self.timer.now_s()
        self._evict()

    def forget(self, key: ClaimKey) -> None:
        """Drop a claim that was released."""
        self._claims.pop(key, None)

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
        """Return whether the hold-off after the last restore is over.

        All claims from before the restore are rewritten by then.
        """
        self._check_restore()
        return self.timer.now_s() - self._restored_s >= HOLD_OFF_S

    async def run(self) -> None:
        """Check for restores of the store until cancelled."""
        while True:
            self._check_restore()
            await self.timer.sleep(CHECK_INTERVAL_S)

    def _check_restore(self) -> None:
        """Rewrite every retained claim if the store was restored from a backup."""
        # A node that reads its tables from another node may not call the store itself.
        generation = max(self.store.generation, self.shared.version.generation)
        if generation <= self._generation:
            return
        self._generation = generation
        self._restored_s = self.timer.now_s()
        for key in self._claims:
            self._tasks.spawn(self._rewrite(key), "keep-claim")

    async def _rewrite(self, key: ClaimKey) -> None:
        """Rewrite a claim unless the store has its newest value."""
        row, version = key.row_key, ABSENT
        for _ in range(MAX_WRITE_ATTEMPTS):
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
        """Stop pending rewrites."""
        await self._tasks.close()


def _claim_in(conflicts: Sequence[Row]) -> Claim | None:
    """Return the claim in a row that differs from the expected one."""
    try:
        return Claim.from_row(conflicts[0]) if conflicts else None
    except DecodeError:
        return None
