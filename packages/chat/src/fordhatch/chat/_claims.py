"""At-most-once execution: a claim row per idempotency key, written before dispatch.

Once the row exists, no other node sends a request with this key. A retry gets the
stored answer, waits for the running request, or fails with an unknown outcome.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import ABSENT, DecodeError, StoreClient, StoreVersion
from fordhatch.core import Failure, Ran, ResultCode, TaskSet, Timer, log_event, metrics
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import QueryStatus, StatusReply
from fordhatch.registry import NodeAddress, TableCopy

from ._claim_restorer import ClaimRestorer
from ._claim_rows import (
    CLAIM_TABLE,
    PARTS,
    Claim,
    ClaimKey,
    ClaimState,
    StoredAnswer,
)
from ._rewrite_reports import RewriteReports

STORE_TIMEOUT_S = 1.0
"""Timeout of a call to the store, which normally answers within milliseconds."""

MIN_CALL_TIMEOUT_S = 0.001
"""Least timeout of a call for a request that is due."""

POLL_INTERVAL_S = 0.25
"""First interval between polls of a claim whose request is still running."""

MAX_POLL_INTERVAL_S = 1.0
"""Longest interval between such polls."""

MAX_WRITE_ATTEMPTS = 8
"""Attempts to write the outcome of a claim before its row is left unchanged."""

RETRY_PAUSE_S = 0.2
"""Pause before the second attempt; it doubles with each further one."""

STATUS_TIMEOUT_S = 1.0
"""Timeout of a status query to the node that holds a claim."""

RETRY_AFTER_S = 2.0
"""``Retry-After`` for callers after a fault of the store, or while a request runs."""

PARTS_PER_CLEANUP = 8
"""Parts of the table that one cleanup goes through. With a cleanup every ten seconds,
an expired row is removed within some minutes."""

CLEANUP_PAGE_ROWS = 500
"""Rows per page that a cleanup reads, the maximum that the store returns."""


@attrs.frozen
class Ticket:
    """A claim that this node holds: permission to dispatch the request once."""

    key: ClaimKey
    claim: Claim


@attrs.define(eq=False, repr=False)
class ClaimService:
    """Acquires, settles, releases and cleans up claims."""

    node_name: str
    start_id: str
    store: StoreClient
    pool: PeerPool
    nodes: Callable[[], Mapping[str, NodeAddress]]
    """The registered nodes by name."""
    timer: Timer
    expiry_s: float
    row_bytes: int
    shared: TableCopy = attrs.field(factory=TableCopy)
    """This node's copy of the system's own table."""
    restorer: ClaimRestorer = attrs.field(init=False)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _next_part: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the restorer of this node's claims."""
        reports = RewriteReports(
            self.node_name, self.store, self.pool, self.nodes, self.timer, self.shared
        )
        self.restorer = ClaimRestorer(self.store, self.timer, reports)

    # Acquiring.

    async def acquire(
        self, key: ClaimKey, due_s: float
    ) -> Result[Ticket | Claim, Failure]:
        """Claim a key for a single dispatch.

        Args:
            key: Workspace, idempotency key and digest of the request.
            due_s: When the final answer is due, in monotonic seconds.

        Returns:
            A ticket, or the claim that already exists. A failure has ``ran`` no:
            without a ticket the request is not sent.
        """
        if not self.restorer.may_claim():
            return Err(_claim_failure())
        generation = self.restorer.generation
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
            timeout_s=self._call_timeout_s(due_s),
        )
        if written.is_err() and written.unwrap_err().ran is Ran.NO:
            return Err(_claim_failure())
        if written.is_ok() and written.unwrap().is_committed:
            version = written.unwrap().version
            return self._issue_ticket(key, claim, version, generation)
        found = await self.look_up(key, due_s)
        if found.is_ok() and found.unwrap() is not None:
            present = found.unwrap()
            if present.write_id == claim.write_id:
                return self._issue_ticket(key, claim, present.version, generation)
            return Ok(present)
        if written.is_err():
            # The write may still take effect: release the claim if it does.
            self._tasks.spawn(
                self._release_if_written(key, claim.write_id), "release-late"
            )
        return Err(_claim_failure())

    def _issue_ticket(
        self, key: ClaimKey, claim: Claim, version: StoreVersion, generation: int
    ) -> Result[Ticket | Claim, Failure]:
        """Return the ticket, unless the store was restored after ``generation``.

        The response to the claim's own write may be the first sign of the restore, or
        come late, when new claims may be made again.
        """
        ticket = Ticket(key, attrs.evolve(claim, version=version))
        if not self.restorer.may_claim() or self.restorer.generation != generation:
            self._tasks.spawn(self.release(ticket), "release-after-return")
            return Err(_claim_failure())
        metrics.CLAIMS.labels("taken").inc()
        self.restorer.remember(key, claim)
        return Ok(ticket)

    def _new_write_id(self) -> str:
        return f"{self.start_id}-{self.timer.rng.getrandbits(64):016x}"

    def _call_timeout_s(self, due_s: float, limit_s: float = STORE_TIMEOUT_S) -> float:
        """Return the timeout of a call for a request, at least a millisecond."""
        return max(min(limit_s, due_s - self.timer.now_s()), MIN_CALL_TIMEOUT_S)

    async def look_up(
        self, key: ClaimKey, due_s: float = math.inf
    ) -> Result[Claim | None, Failure]:
        """Return the claim of a key, or None if the key is not claimed.

        Args:
            key: The claim's key.
            due_s: When the answer that needs it is due, in monotonic seconds.
        """
        row_key = key.row_key
        read = await self.store.read(
            CLAIM_TABLE,
            part=row_key.part,
            first_key=row_key.key,
            limit=1,
            timeout_s=self._call_timeout_s(due_s),
        )
        if read.is_err():
            return Err(_claim_failure())
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
        """Remove a claim whose request has not run."""
        metrics.CLAIMS.labels("released").inc()
        await self._write_outcome(ticket.key, ticket.claim, None)

    async def _release_if_written(self, key: ClaimKey, write_id: str) -> None:
        """Release a claim whose write got no response, if it took effect."""
        for attempt in range(MAX_WRITE_ATTEMPTS):
            await self._pause(attempt)
            found = await self.look_up(key)
            present = found.ok()
            if present is not None and present.write_id == write_id:
                await self._write_outcome(key, present, None)
                return

    async def settle(self, ticket: Ticket, answer: StoredAnswer) -> None:
        """Store the complete answer, so that a retry gets the same one.

        An answer that is too long for a row is recorded as lost.
        """
        done = attrs.evolve(ticket.claim, state=ClaimState.DONE, answer=answer)
        if len(done.to_bytes()) > self.row_bytes:
            log_event("answer_not_kept", key=ticket.key.row_key.key)
            await self.mark_lost(ticket)
            return
        metrics.CLAIMS.labels("settled").inc()
        await self._write_outcome(ticket.key, ticket.claim, done)

    async def mark_lost(self, ticket: Ticket) -> None:
        """Record that the request may have run and its answer is not stored."""
        metrics.CLAIMS.labels("lost").inc()
        lost = attrs.evolve(ticket.claim, state=ClaimState.LOST)
        await self._write_outcome(ticket.key, ticket.claim, lost)

    async def _write_outcome(
        self, key: ClaimKey, old: Claim, new: Claim | None
    ) -> None:
        """Write a claim's outcome, with retries for lost responses and short outages.

        Args:
            key: The claim's key.
            old: The claim as last written.
            new: The claim to write; None removes the row.
        """
        row_key = key.row_key
        version = old.version
        puts = {}
        if new is not None:
            new = attrs.evolve(new, write_id=self._new_write_id())
            puts[row_key] = new.to_bytes()
            self.restorer.remember(key, new)
        else:
            self.restorer.forget(key, old)
        removes = () if new is not None else (row_key,)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            await self._pause(attempt)
            written = await self.store.write(
                {row_key: version}, puts, removes, timeout_s=STORE_TIMEOUT_S
            )
            # An uncommitted write means that an earlier attempt took effect: only the
            # holder of a claim writes to it.
            if written.is_ok():
                return
            if written.unwrap_err().code is ResultCode.STORE_CONFLICT:
                version = await self._current_version(key, old)
        log_event("claim_not_settled", key=row_key.key)

    async def _current_version(self, key: ClaimKey, old: Claim) -> StoreVersion:
        """Return the version of a claim in a store that was restored from a backup."""
        found = await self.look_up(key)
        present = found.ok()
        if present is None:
            return ABSENT if found.is_ok() else old.version
        return present.version if present.start_id == self.start_id else old.version

    async def _pause(self, attempt: int) -> None:
        if attempt:
            pause_s = RETRY_PAUSE_S * 2 ** (attempt - 1)
            await self.timer.sleep(self.timer.jittered(pause_s))

    # Retries.

    async def wait(
        self, key: ClaimKey, claim: Claim, timeout_s: float
    ) -> Result[Claim | None, Failure]:
        """Wait while the request runs, here or on another node.

        Returns:
            The settled claim; None if it was released; a failure at the deadline,
            or as soon as the process that holds it is known to have ended.
        """
        deadline_s = self.timer.now_s() + timeout_s
        pause_s = POLL_INTERVAL_S
        while claim.state is ClaimState.RUNNING:
            if self.timer.now_s() + pause_s >= deadline_s:
                failure = Failure.from_code(
                    ResultCode.IN_PROGRESS, retry_after_s=RETRY_AFTER_S
                )
                return Err(failure)
            await self.timer.sleep(pause_s)
            pause_s = min(pause_s * 1.5, MAX_POLL_INTERVAL_S)
            # Queried before the row is read: otherwise a holder that settles its claim
            # and then ends would look like one that left the claim open.
            may_holder_run = await self._may_holder_run(claim, deadline_s)
            found = await self.look_up(key, deadline_s)
            if found.is_err():
                continue
            if found.unwrap() is None:
                return Ok(None)
            claim = found.unwrap()
            if claim.state is ClaimState.RUNNING and not may_holder_run:
                return Err(Failure.from_code(ResultCode.OUTCOME_UNKNOWN))
        return Ok(claim)

    async def _may_holder_run(self, claim: Claim, due_s: float) -> bool:
        """Return whether the process that holds the claim may still be running.

        It counts as ended if the node is no longer registered, answers with another
        ``start_id``, or accepts no connection. A query without an answer is no proof.
        """
        if claim.node_name == self.node_name:
            return claim.start_id == self.start_id
        address = self.nodes().get(claim.node_name)
        if address is None:
            return False
        answered = await self.pool.request(
            address.address,
            QueryStatus(),
            self._call_timeout_s(due_s, STATUS_TIMEOUT_S),
        )
        reply = answered.ok()
        if not isinstance(reply, StatusReply):
            is_due = self.timer.now_s() >= due_s
            return is_due or answered.is_ok() or answered.unwrap_err().ran is Ran.MAYBE
        return reply.start_id == claim.start_id

    # Cleanup.

    async def clean(self) -> None:
        """Remove expired claims from some parts of the table."""
        for _ in range(PARTS_PER_CLEANUP):
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
                limit=CLEANUP_PAGE_ROWS,
                timeout_s=STORE_TIMEOUT_S,
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
                        timeout_s=STORE_TIMEOUT_S,
                    )
            if not page.unwrap().has_more or not rows:
                return
            first_key = rows[-1].row_key.key + "\0"

    def run_to_completion(self, work: object, name: str) -> asyncio.Task[object]:
        """Run a coroutine to its end, even if the caller disconnects."""
        return self._tasks.spawn(work, name)  # type: ignore[arg-type]

    async def close(self) -> None:
        """Wait for pending writes of claims, then stop."""
        await self._tasks.drain()
        await self.restorer.close()


def _is_expired(row: object, now_s: float) -> bool:
    try:
        return Claim.from_row(row).expires_at_s < now_s  # type: ignore[arg-type]
    except DecodeError as error:
        log_event("claim_unreadable", key="", error=str(error))
        return True


def _claim_failure() -> Failure:
    return Failure.from_code(
        ResultCode.STORE_UNAVAILABLE,
        "the claim could not be written, so the request was not sent",
        ran=Ran.NO,
        retry_after_s=RETRY_AFTER_S,
    )
