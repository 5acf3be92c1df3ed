"""At most once: a claim row for each idempotency key, written before the dispatch.

Once the row is there nobody else ever sends a request with this key: a repeat gets the
stored answer, waits for the running one, or is told that the outcome is not known.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import ABSENT, DecodeError, StoreClient, StoreVersion
from fordhatch.core import Failure, Ran, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import QueryStatus, StatusReply
from fordhatch.registry import NodeAddress

from ._claim_rows import (
    CLAIM_TABLE,
    PARTS,
    Claim,
    ClaimKey,
    ClaimState,
    StoredAnswer,
)
from ._kept_claims import KeptClaims

CALL_TIMEOUT_S = 1.0
"""Longest wait for the store; it answers within milliseconds when it is well."""

POLL_S = 0.25
"""First pause between looks at a claim that is running elsewhere."""

LONGEST_POLL_S = 1.0
"""Longest pause between such looks."""

ATTEMPTS = 8
"""Tries to write the outcome of a claim before it is left as it is."""

RETRY_PAUSE_S = 0.2
"""Pause before the second of them; it doubles each time."""

ASK_TIMEOUT_S = 1.0
"""Longest wait for the node that holds a claim."""

RETRY_AFTER_S = 2.0
"""When a caller may come back after trouble of the store."""

CLEAN_PARTS = 8
"""Parts of the table that one pass of the cleaner looks through; with a pass each ten
seconds every expired row is gone some minutes later."""

CLEAN_PAGE = 500
"""Rows in one page of the cleaner, the most that the store returns."""


@attrs.frozen
class Ticket:
    """A claim that this node holds: it may send the request, once."""

    key: ClaimKey
    claim: Claim


@attrs.define(eq=False, repr=False)
class ClaimService:
    """Takes, settles and releases claims."""

    node_name: str
    start_id: str
    store: StoreClient
    pool: PeerPool
    nodes: Callable[[], Mapping[str, NodeAddress]]
    """The registered nodes by name."""
    timer: Timer
    expiry_s: float
    row_bytes: int
    kept: KeptClaims = attrs.field(init=False)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _next_part: int = 0

    def __attrs_post_init__(self) -> None:
        """Build what remembers the claims."""
        self.kept = KeptClaims(self.store, self.timer)

    # Taking.

    async def take(self, key: ClaimKey) -> Result[Ticket | Claim, Failure]:
        """Claim a key for the one dispatch.

        Args:
            key: Workspace, idempotency key and digest of the request.

        Returns:
            A ticket, or the claim that was there already. A failure has ``ran``
            no: without a ticket nothing is sent.
        """
        if not self.kept.may_claim():
            return Err(_not_claimed())
        claim = Claim(
            self._new_write_id(),
            ClaimState.RUNNING,
            key.request_digest,
            self.node_name,
            self.start_id,
            self.timer.wall_s() + self.expiry_s,
        )
        written = await self.store.write(
            {key.row_key: ABSENT},
            {key.row_key: claim.to_bytes()},
            timeout_s=CALL_TIMEOUT_S,
        )
        if written.is_err() and written.unwrap_err().ran is Ran.NO:
            return Err(_not_claimed())
        if written.is_ok() and written.unwrap().is_committed:
            return await self._taken(key, claim, written.unwrap().version)
        found = await self.look_up(key)
        if found.is_ok() and found.unwrap() is not None:
            present = found.unwrap()
            if present.write_id == claim.write_id:
                return await self._taken(key, claim, present.version)
            return Ok(present)
        if written.is_err():
            # The write may still take effect: take it back when it does.
            self._tasks.spawn(self._release_late(key, claim.write_id), "release-late")
        return Err(_not_claimed())

    async def _taken(
        self, key: ClaimKey, claim: Claim, version: StoreVersion
    ) -> Result[Ticket | Claim, Failure]:
        """Return the ticket, unless this very answer tells of a return of the store."""
        ticket = Ticket(key, attrs.evolve(claim, version=version))
        if not self.kept.may_claim():
            self._tasks.spawn(self.release(ticket), "release-after-return")
            return Err(_not_claimed())
        metrics.CLAIMS.labels("taken").inc()
        self.kept.note(key, claim)
        return Ok(ticket)

    def _new_write_id(self) -> str:
        return f"{self.start_id}-{self.timer.rng.getrandbits(64):016x}"

    async def look_up(self, key: ClaimKey) -> Result[Claim | None, Failure]:
        """Return the claim of a key, if there is one."""
        row_key = key.row_key
        read = await self.store.read(
            CLAIM_TABLE,
            part=row_key.part,
            first_key=row_key.key,
            limit=1,
            timeout_s=CALL_TIMEOUT_S,
        )
        if read.is_err():
            return Err(_not_claimed())
        row = next((r for r in read.unwrap().rows if r.row_key == row_key), None)
        if row is None:
            return Ok(None)
        try:
            return Ok(Claim.from_row(row))
        except DecodeError as error:
            log_event("claim_unreadable", key=row_key.key, error=str(error))
            return Err(Failure.from_code(ResultCode.OUTCOME_UNKNOWN))

    # The outcome.

    async def release(self, ticket: Ticket) -> None:
        """Give up a claim whose request has not run."""
        metrics.CLAIMS.labels("released").inc()
        await self._replace(ticket.key, ticket.claim, None)

    async def _release_late(self, key: ClaimKey, write_id: str) -> None:
        for attempt in range(ATTEMPTS):
            await self._pause(attempt)
            found = await self.look_up(key)
            present = found.ok()
            if present is not None and present.write_id == write_id:
                await self._replace(key, present, None)
                return

    async def settle(self, ticket: Ticket, answer: StoredAnswer) -> None:
        """Store the whole answer, so that a repeat gets the same one."""
        done = attrs.evolve(ticket.claim, state=ClaimState.DONE, answer=answer)
        if len(done.to_bytes()) > self.row_bytes:
            log_event("answer_not_kept", key=ticket.key.row_key.key)
            await self.mark_lost(ticket)
            return
        metrics.CLAIMS.labels("settled").inc()
        await self._replace(ticket.key, ticket.claim, done)

    async def mark_lost(self, ticket: Ticket) -> None:
        """Record that the request may have run and its answer is not kept."""
        metrics.CLAIMS.labels("lost").inc()
        lost = attrs.evolve(ticket.claim, state=ClaimState.LOST)
        await self._replace(ticket.key, ticket.claim, lost)

    async def _replace(self, key: ClaimKey, old: Claim, new: Claim | None) -> None:
        """Write a claim's outcome, through lost answers and short outages."""
        row_key = key.row_key
        version = old.version
        puts = {}
        if new is not None:
            new = attrs.evolve(new, write_id=self._new_write_id())
            puts[row_key] = new.to_bytes()
            self.kept.note(key, new)
        else:
            self.kept.forget(key)
        removes = () if new is not None else (row_key,)
        for attempt in range(ATTEMPTS):
            await self._pause(attempt)
            written = await self.store.write(
                {row_key: version}, puts, removes, timeout_s=CALL_TIMEOUT_S
            )
            # A conflict means that an earlier try took effect: nobody else writes
            # to a claim that another node holds.
            if written.is_ok():
                return
            if written.unwrap_err().code is ResultCode.STORE_CONFLICT:
                version = await self._version_now(key, old)
        log_event("claim_not_settled", key=row_key.key)

    async def _version_now(self, key: ClaimKey, old: Claim) -> StoreVersion:
        """Return the version of a claim in a store that has come back from a copy."""
        found = await self.look_up(key)
        present = found.ok()
        if present is None:
            return ABSENT if found.is_ok() else old.version
        return present.version if present.start_id == self.start_id else old.version

    async def _pause(self, attempt: int) -> None:
        if attempt:
            pause_s = RETRY_PAUSE_S * 2 ** (attempt - 1)
            await self.timer.sleep(self.timer.jittered(pause_s))

    # Repeats.

    async def wait(
        self, key: ClaimKey, claim: Claim, timeout_s: float
    ) -> Result[Claim | None, Failure]:
        """Wait while another node runs the request.

        Returns:
            The settled claim; None where it was released; a failure at the
            deadline, or as soon as the node that holds it is known to be gone.
        """
        deadline_s = self.timer.now_s() + timeout_s
        pause_s = POLL_S
        while claim.state is ClaimState.RUNNING:
            if self.timer.now_s() + pause_s >= deadline_s:
                failure = Failure.from_code(
                    ResultCode.IN_PROGRESS, retry_after_s=RETRY_AFTER_S
                )
                return Err(failure)
            await self.timer.sleep(pause_s)
            pause_s = min(pause_s * 1.5, LONGEST_POLL_S)
            # Asked before the row is read: a holder that has just settled its claim
            # and ended must not be taken for one that left it open.
            holder_lives = await self._holder_lives(claim)
            found = await self.look_up(key)
            if found.is_err():
                continue
            if found.unwrap() is None:
                return Ok(None)
            claim = found.unwrap()
            if claim.state is ClaimState.RUNNING and not holder_lives:
                return Err(Failure.from_code(ResultCode.OUTCOME_UNKNOWN))
        return Ok(claim)

    async def _holder_lives(self, claim: Claim) -> bool:
        """Return whether the process that took the claim may still be running.

        Only a proof counts: another start answers at the node's address.
        """
        if claim.node_name == self.node_name:
            return claim.start_id == self.start_id
        address = self.nodes().get(claim.node_name)
        if address is None:
            return False
        asked = await self.pool.request(address.address, QueryStatus(), ASK_TIMEOUT_S)
        reply = asked.ok()
        if not isinstance(reply, StatusReply):
            return asked.is_ok() or asked.unwrap_err().ran is Ran.MAYBE
        return reply.start_id == claim.start_id

    # Cleaning.

    async def clean(self) -> None:
        """Remove expired claims from some parts of the table."""
        for _ in range(CLEAN_PARTS):
            part = PARTS[self._next_part]
            self._next_part = (self._next_part + 1) % len(PARTS)
            await self._clean_part(part)

    async def _clean_part(self, part: str) -> None:
        first_key = ""
        while True:
            page = await self.store.read(
                CLAIM_TABLE,
                part=part,
                first_key=first_key,
                limit=CLEAN_PAGE,
                timeout_s=CALL_TIMEOUT_S,
            )
            if page.is_err():
                return
            rows = page.unwrap().rows
            now_s = self.timer.wall_s()
            for row in rows:
                if _is_expired(row, now_s):
                    await self.store.write(
                        {row.row_key: row.version},
                        {},
                        (row.row_key,),
                        timeout_s=CALL_TIMEOUT_S,
                    )
            if not page.unwrap().has_more or not rows:
                return
            first_key = rows[-1].row_key.key + "\0"

    def finish(self, work: object, name: str) -> asyncio.Task[object]:
        """Run something to its end, also when its caller has left."""
        return self._tasks.spawn(work, name)  # type: ignore[arg-type]

    async def close(self) -> None:
        """Wait for claims that are being settled, then stop."""
        await self._tasks.drain()
        await self.kept.close()


def _is_expired(row: object, now_s: float) -> bool:
    try:
        return Claim.from_row(row).expires_at_s < now_s  # type: ignore[arg-type]
    except DecodeError as error:
        log_event("claim_unreadable", key="", error=str(error))
        return True


def _not_claimed() -> Failure:
    return Failure.from_code(
        ResultCode.STORE_UNAVAILABLE,
        "the claim could not be written, so the request was not sent",
        ran=Ran.NO,
        retry_after_s=RETRY_AFTER_S,
    )
