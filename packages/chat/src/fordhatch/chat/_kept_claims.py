"""Claims that this node has made, for when a restored store has lost them.

A claim that is lost would let a repeat of its request run. Whoever holds it writes it
again as soon as the return is seen, and no node claims anything in the meantime.
"""

from __future__ import annotations

import math

import attrs

from fordhatch.adapter import ABSENT, StoreClient
from fordhatch.core import TaskSet, Timer, log_event

from ._claim_rows import Claim, ClaimKey, ClaimState

KEEP_S = 60.0
"""How long a settled claim is remembered: the copy that a store comes back from is some
seconds old, and the store was away for some more."""

MOST_KEPT = 300
"""Settled claims that are remembered: their answers take 20 MB at the most."""

HOLD_OFF_S = 1.0
"""How long nothing is claimed after a return: whoever holds a claim asks the store
several times a second, and has written it again by then."""

LOOK_S = 0.05
"""Pause between looks for a return; the store is not asked for it."""

CALL_TIMEOUT_S = 1.0
"""Longest wait for the store."""

ATTEMPTS = 5
"""Tries to write a claim again."""

RETRY_S = 0.1
"""Pause before the next of them."""


@attrs.define(eq=False, repr=False)
class KeptClaims:
    """The newest value of each claim that this node has made."""

    store: StoreClient
    timer: Timer
    _claims: dict[ClaimKey, tuple[Claim, float]] = attrs.field(factory=dict)
    """Claims by key, each with the time of its last change."""
    _generation: int = 0
    _returned_s: float = -math.inf
    """When this node learned that the store had come back from a copy."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def note(self, key: ClaimKey, claim: Claim) -> None:
        """Remember a claim as it was written."""
        self._claims.pop(key, None)
        self._claims[key] = claim, self.timer.now_s()
        self._forget_old()

    def forget(self, key: ClaimKey) -> None:
        """Forget a claim that was given up."""
        self._claims.pop(key, None)

    def _forget_old(self) -> None:
        since_s = self.timer.now_s() - KEEP_S
        settled = [
            (key, at_s)
            for key, (claim, at_s) in self._claims.items()
            if claim.state is not ClaimState.RUNNING
        ]
        beyond = len(settled) - MOST_KEPT
        for index, (key, at_s) in enumerate(settled):
            if index < beyond or at_s < since_s:
                del self._claims[key]

    def may_claim(self) -> bool:
        """Return whether every claim of before the last return is written again."""
        self._look()
        return self.timer.now_s() - self._returned_s >= HOLD_OFF_S

    async def run(self) -> None:
        """Look for returns of the store, until cancelled."""
        while True:
            self._look()
            await self.timer.sleep(LOOK_S)

    def _look(self) -> None:
        """Write every claim again if the store has come back from a copy."""
        if self.store.generation == self._generation:
            return
        self._generation = self.store.generation
        self._returned_s = self.timer.now_s()
        for key, (claim, _) in self._claims.items():
            self._tasks.spawn(self._write_again(key, claim), "keep-claim")

    async def _write_again(self, key: ClaimKey, claim: Claim) -> None:
        row = key.row_key
        for _ in range(ATTEMPTS):
            written = await self.store.write(
                {row: ABSENT}, {row: claim.to_bytes()}, timeout_s=CALL_TIMEOUT_S
            )
            if written.is_ok():
                if written.unwrap().is_committed:
                    log_event("claim_written_again", key=row.key, state=claim.state)
                return
            await self.timer.sleep(self.timer.jittered(RETRY_S))
        log_event("claim_not_written_again", key=row.key, state=claim.state)

    async def close(self) -> None:
        """Stop writing."""
        await self._tasks.close()
