"""At most once: a claim row for each idempotency key, written before the dispatch.

The claim is written as late as possible, by the node that is about to send the
request and only then. A request that is still queued has no row, so that nothing
has to be undone when its node dies; once the row is there, nobody else will ever
send a request with this key, unless the engine itself proves that the first one
was never seen and never will be.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
from typing import Any

import attrs
import xxhash
from result import Err, Ok, Result

from fordhatch.core import (
    Failure,
    Ran,
    ResultCode,
    TaskSet,
    Timer,
    log_event,
    metrics,
    new_id,
)
from fordhatch.membership import DEAD, MembershipTable, rendezvous_rank
from fordhatch.platform import ObjectStore, Row, TableService
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import Answer, ClaimsCommitted, CommitClaims

from ._batcher import CONFLICT, UNKNOWN, WRITTEN, ClaimBatcher, ClaimOutcome, ClaimWrite

CLAIM_PREFIX = "claims/"
"""Prefix of every claim row."""

CLAIM_SHARDS = 2
"""Claims are spread over so many owners in a region, however many nodes it has.

Few owners make full batches; see ``docs/CAPACITY.md`` for the arithmetic.
"""

OWNER_TIMEOUT_S = 4.0
"""How long a claim owner may take for a batch."""

RUNNING = "running"
DONE = "done"
LOST = "lost"
"""The request was sent and its outcome will not be known."""

POLL_S = 0.25
"""First pause between looks at a claim that is running elsewhere."""

LONGEST_POLL_S = 1.0
"""Longest pause between such looks."""

RELEASE_ATTEMPTS = 8
"""Attempts to take back a claim that was never used."""

SETTLE_WAIT_S = 1.0
"""Longest time that settling a claim holds up its caller."""

CLEAN_PAGE = 256
"""Claim rows in one page of the cleaner."""

CLEAN_PAGES = 16
"""Pages in one pass of the cleaner; see ``docs/CAPACITY.md`` for the arithmetic."""


@attrs.frozen
class ClaimKey:
    """What makes two requests the same one."""

    workspace: str
    idempotency_key: str
    request_digest: str

    @property
    def row_key(self) -> str:
        """Key of the claim row."""
        name = f"{self.workspace}\n{self.idempotency_key}".encode()
        digest = hashlib.sha256(name).hexdigest()
        return f"{CLAIM_PREFIX}{self.shard:02d}/{digest}"

    @property
    def shard(self) -> int:
        """Shard of the claim."""
        name = f"{self.workspace}\n{self.idempotency_key}".encode()
        return xxhash.xxh3_64_intdigest(name) % CLAIM_SHARDS


@attrs.frozen
class ClaimTarget:
    """Where a claimed request is sent."""

    request_id: str
    group_id: str
    epoch: int
    address: str
    boot_id: str
    """Start of the engine; empty where it cannot be asked about requests."""


@attrs.frozen
class Ticket:
    """A claim that this node holds: it may send the request, once."""

    key: ClaimKey
    attempt_id: str
    value: dict[str, Any]


@attrs.frozen
class Present:
    """A claim row that was there already."""

    row: Row

    @property
    def state(self) -> str:
        """State of the claim."""
        return str(self.row.value["state"])


@attrs.define(eq=False)
class ClaimService:
    """Takes, settles and releases claims through their owners."""

    node_id: str
    region: str
    table: TableService
    objects: ObjectStore
    batcher: ClaimBatcher
    pool: PeerPool
    nodes: MembershipTable
    timer: Timer
    expiry_s: float
    max_inline_bytes: int
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _clean_after: str = CLAIM_PREFIX

    # Writing through the owner of a shard.

    def _owner(self, shard: int) -> str:
        near = [n.node_id for n in self.nodes.usable() if n.region == self.region]
        ranked = rendezvous_rank(f"claims|{shard}", near)
        return ranked[0] if ranked else self.node_id

    async def _submit(self, shard: int, write: ClaimWrite) -> ClaimOutcome:
        owner = self.nodes.find(self._owner(shard))
        if owner is None or owner.node_id == self.node_id:
            return await self.batcher.submit(write)
        message = CommitClaims([attrs.asdict(write)])
        reply = await self.pool.request(owner.address, message, OWNER_TIMEOUT_S)
        if reply.is_ok():
            return _from_message(reply.unwrap(), write)
        if reply.unwrap_err().ran is Ran.NO:
            # Ownership is an economy, not a guarantee: any node may write.
            return await self.batcher.submit(write)
        outcomes = await self.batcher.judge([write])
        return outcomes[write.key]

    async def commit_for_peer(self, message: CommitClaims) -> ClaimsCommitted:
        """Write claims as the owner of their shard."""
        outcomes, rows = [], []
        for fields in message.rows:
            write = ClaimWrite(**fields)
            if not write.key.startswith(CLAIM_PREFIX):
                outcomes.append(UNKNOWN)
                rows.append(None)
                continue
            outcome = await self.batcher.submit(write)
            outcomes.append(outcome.result)
            rows.append(attrs.asdict(outcome.row) if outcome.row else None)
        return ClaimsCommitted(outcomes, rows)

    # The life of a claim.

    async def look_up(self, key: ClaimKey) -> Result[Present | None, Failure]:
        """Return the claim of a key, if there is one."""
        read = await self.table.read([key.row_key])
        if read.is_err():
            return Err(_store_out())
        row = read.unwrap()[key.row_key]
        return Ok(Present(row) if row.value is not None else None)

    async def take(
        self, key: ClaimKey, target: ClaimTarget
    ) -> Result[Ticket | Present, Failure]:
        """Claim a key for the one dispatch.

        Args:
            key: Workspace, idempotency key and digest of the request.
            target: Where the request would be sent.

        Returns:
            A ticket, or the claim that was there already. A failure has ``ran``
            no: without a ticket nothing is sent.
        """
        attempt_id = new_id("attempt")
        value = {
            "attempt_id": attempt_id,
            "write_id": attempt_id,
            "state": RUNNING,
            "digest": key.request_digest,
            "node": self.node_id,
            "started": self.nodes.own.started,
            "expires_at": self.timer.wall_s() + self.expiry_s,
            "target": attrs.asdict(target),
        }
        outcome = await self._submit(key.shard, ClaimWrite(key.row_key, "", value))
        if outcome.result == WRITTEN:
            return Ok(Ticket(key, attempt_id, value))
        if outcome.result == CONFLICT and outcome.row is not None:
            if outcome.row.value is not None:
                return Ok(Present(outcome.row))
            return Err(_store_out())
        # The write may still take effect: take it back when it does.
        self._tasks.spawn(self._release(Ticket(key, attempt_id, value)), "release")
        return Err(_store_out())

    async def release(self, ticket: Ticket) -> None:
        """Give up a claim whose request was not sent, or proved not to have run.

        Waits a little, so that the next attempt finds the key free; the work goes
        on in the background when the store is slow.
        """
        metrics.CLAIMS.labels("released").inc()
        task = self._tasks.spawn(self._release(ticket), "claim-release")
        await asyncio.wait({task}, timeout=SETTLE_WAIT_S)

    async def _release(self, ticket: Ticket) -> None:
        write = ClaimWrite(ticket.key.row_key, ticket.attempt_id, None)
        for attempt in range(RELEASE_ATTEMPTS):
            outcome = await self._submit(ticket.key.shard, write)
            if outcome.result == WRITTEN:
                return
            row = outcome.row
            if outcome.result == CONFLICT and row is not None and row.value is not None:
                return
            await self.timer.sleep(self.timer.jittered(0.2 * 2**attempt))
        log_event("claim_not_released", key=ticket.key.row_key)

    async def settle(self, ticket: Ticket, answer: Answer) -> None:
        """Store the whole answer, so that a repeat gets the same one."""
        stored: dict[str, Any] = {
            "status": answer.status,
            "headers": answer.headers,
        }
        if len(answer.body) > self.max_inline_bytes:
            name = f"answers-{ticket.attempt_id}"
            if (await self.objects.put(name, answer.body)).is_err():
                await self._finish(ticket, {"state": LOST})
                return
            stored["object"] = name
        else:
            stored["body"] = base64.b64encode(answer.body).decode()
        await self._finish(ticket, {"state": DONE, "answer": stored})

    async def mark_lost(self, ticket: Ticket) -> None:
        """Record that the request may have run and its answer is lost."""
        await self._finish(ticket, {"state": LOST})

    async def _finish(self, ticket: Ticket, fields: dict[str, Any]) -> None:
        value = {**ticket.value, **fields}
        for attempt in range(RELEASE_ATTEMPTS):
            value["write_id"] = new_id("write")
            write = ClaimWrite(ticket.key.row_key, ticket.attempt_id, dict(value))
            outcome = await self._submit(ticket.key.shard, write)
            if outcome.result in (WRITTEN, CONFLICT):
                return
            await self.timer.sleep(self.timer.jittered(0.2 * 2**attempt))
        log_event("claim_not_settled", key=ticket.key.row_key)

    async def close_claim(self, ticket: Ticket, answer: Answer | None) -> None:
        """Settle a claim, or mark it lost, without holding up the caller for long."""
        work = self.mark_lost(ticket) if answer is None else self.settle(ticket, answer)
        task = self._tasks.spawn(work, "claim-settle")
        await asyncio.wait({task}, timeout=SETTLE_WAIT_S)

    # Repeats.

    async def answer_of(self, present: Present) -> Result[Answer, Failure]:
        """Return the stored answer of a claim that is done, or why there is none."""
        value = present.row.value
        if present.state == LOST:
            return Err(Failure.from_code(ResultCode.OUTCOME_UNKNOWN))
        if present.state == RUNNING:
            return Err(Failure.from_code(ResultCode.IN_PROGRESS, retry_after_s=1.0))
        stored = value["answer"]
        if "object" in stored:
            body = await self.objects.get(stored["object"])
            if body.is_err() or body.unwrap() is None:
                failure = Failure.from_code(
                    ResultCode.STORE_UNAVAILABLE, ran=Ran.MAYBE, retry_after_s=2.0
                )
                return Err(failure)
            content = body.unwrap()
        else:
            content = base64.b64decode(stored["body"])
        metrics.CLAIMS.labels("replayed").inc()
        return Ok(Answer(stored["status"], stored["headers"], content, True))

    async def wait(
        self, key: ClaimKey, present: Present, timeout_s: float
    ) -> Result[Present | None, Failure]:
        """Wait while another node runs the request.

        Returns:
            The settled claim, None where it was released, or a failure at the
            deadline or as soon as the node that held it is known to be gone.
        """
        deadline_s = self.timer.now_s() + timeout_s
        pause_s = POLL_S
        while present.state == RUNNING:
            if not self._holder_lives(present):
                return Ok(present)
            if self.timer.now_s() + pause_s >= deadline_s:
                break
            await self.timer.sleep(pause_s)
            pause_s = min(pause_s * 1.5, LONGEST_POLL_S)
            found = await self.look_up(key)
            if found.is_ok() and found.unwrap() is None:
                return Ok(None)
            if found.is_ok():
                present = found.unwrap()
        if present.state == RUNNING:
            return Err(Failure.from_code(ResultCode.IN_PROGRESS, retry_after_s=1.0))
        return Ok(present)

    def _holder_lives(self, present: Present) -> bool:
        """Return whether the process that took the claim may still be running."""
        value = present.row.value
        record = self.nodes.find(str(value["node"]))
        if record is None or record.state == DEAD:
            return False
        started = int(value["started"])
        # A node that started anew under the same name knows nothing of the claim.
        return record.started == started

    async def reopen(self, key: ClaimKey, present: Present) -> bool:
        """Delete a claim whose request is proved never to have run.

        Returns:
            Whether the row named is gone, so that the key may be claimed anew.
        """
        attempt_id = str(present.row.value["attempt_id"])
        write = ClaimWrite(key.row_key, attempt_id, None)
        outcome = await self._submit(key.shard, write)
        log_event("claim_reopened", key=key.row_key, outcome=outcome.result)
        return outcome.result == WRITTEN

    # Cleaning.

    async def clean(self) -> None:
        """Delete expired claims, some pages at a time; any one node does it.

        Rows are in the order of their hashes, so that expired ones are everywhere:
        how many pages a pass reads sets how late the last of them goes.
        """
        for _ in range(CLEAN_PAGES):
            if not await self._clean_page():
                return

    async def _clean_page(self) -> bool:
        """Clean one page; returns whether there are more before the last row."""
        read = await self.table.scan(
            CLAIM_PREFIX, after=self._clean_after, limit=CLEAN_PAGE
        )
        if read.is_err():
            return False
        rows = read.unwrap()
        now = self.timer.wall_s()
        for row in rows:
            if float(row.value["expires_at"]) < now:
                write = ClaimWrite(row.key, str(row.value["attempt_id"]), None)
                self._tasks.spawn(self.batcher.submit(write), "claim-clean")
        if len(rows) < CLEAN_PAGE:
            self._clean_after = CLAIM_PREFIX
            return False
        self._clean_after = rows[-1].key
        return True

    async def close(self) -> None:
        """Wait for claims that are being settled, then stop."""
        await self._tasks.drain()
        await self.batcher.close()


def _from_message(message: ClaimsCommitted, write: ClaimWrite) -> ClaimOutcome:
    if len(message.outcomes) != 1 or len(message.rows) != 1:
        return ClaimOutcome(UNKNOWN)
    row = Row(**message.rows[0]) if message.rows[0] else None
    return ClaimOutcome(message.outcomes[0], row)


def _store_out() -> Failure:
    return Failure.from_code(
        ResultCode.STORE_UNAVAILABLE,
        "the claim could not be written, so the request was not sent",
        ran=Ran.NO,
        retry_after_s=2.0,
    )
