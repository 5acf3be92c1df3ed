"""Accepting an operators' file: one transaction moves the head and writes the audit."""

from __future__ import annotations

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event
from fordhatch.platform import ObjectStore, Row, TableService, Transaction, VersionCheck

from ._changes import describe_changes
from ._follower import HEAD_KEY, ConfigFollower
from ._operators_file import OperatorsFile, digest_of

AUDIT_PREFIX = "audit/accepted/"
"""Audit rows of accepted files, by revision."""

AUDIT_REFUSED_PREFIX = "audit/refused/"
"""Audit rows of files that lost a race, by time and apply identifier."""

ATTEMPTS = 4
"""How often a transaction with a lost answer is tried or read back."""

RETRY_PAUSE_S = 0.3
"""Pause before reading back after a lost answer."""


@attrs.frozen
class ApplyRequest:
    """An operator's wish to replace the declared state."""

    content: bytes
    base_revision: int
    """The revision that the operator's file was written against."""
    apply_id: str
    """Unique to this apply; repeating it is harmless."""
    operator: str


@attrs.frozen
class Applied:
    """A file that was accepted: it is durable and will come into force everywhere."""

    revision: int
    digest: str
    changes: list[str]


@attrs.define(eq=False)
class ConfigApplier:
    """Accepts operators' files on any node."""

    table: TableService
    objects: ObjectStore
    follower: ConfigFollower
    timer: Timer

    async def apply(self, request: ApplyRequest) -> Result[Applied, Failure]:
        """Accept a file if nobody changed the state since its base revision.

        Args:
            request: The file, its base and who applies it.

        Returns:
            What was accepted. A failure with ``ran`` no means that nothing
            changed; with ``ran`` maybe the same apply must be repeated.
        """
        parsed = OperatorsFile.from_json(request.content)
        if parsed.is_err():
            text = "; ".join(str(m) for m in parsed.unwrap_err())
            return Err(Failure.from_code(ResultCode.CONFIG_INVALID, text))
        digest = digest_of(request.content)
        stored = await self.objects.put(f"configs-{digest}", request.content)
        if stored.is_err():
            # An object without a head row that names it is not in force.
            failure = Failure.from_code(
                ResultCode.STORE_UNAVAILABLE, retry_after_s=2.0, ran=Ran.NO
            )
            return Err(failure)
        return await self._move_head(request, digest)

    async def _move_head(
        self, request: ApplyRequest, digest: str
    ) -> Result[Applied, Failure]:
        uncertain = False
        for attempt in range(ATTEMPTS):
            if attempt:
                await self.timer.sleep(self.timer.jittered(RETRY_PAUSE_S * attempt))
            audit_key = _audit_key(request.base_revision + 1)
            read = await self.table.read([HEAD_KEY, audit_key])
            if read.is_err():
                continue
            rows = read.unwrap()
            settled = self._already_settled(request, rows[HEAD_KEY], rows[audit_key])
            if settled is not None:
                await self._record_refusal(request, settled)
                return settled
            changes = await self._changes(request, rows[HEAD_KEY])
            transaction = self._transaction(request, rows[HEAD_KEY], digest, changes)
            done = await self.table.transact(transaction)
            if done.is_ok() and done.unwrap().committed:
                return Ok(self._accepted(request, digest, changes))
            uncertain |= done.is_err() and done.unwrap_err().ran is Ran.MAYBE
        code = ResultCode.CONFIG_OUTCOME_UNKNOWN
        if not uncertain:
            code = ResultCode.STORE_UNAVAILABLE
        return Err(Failure.from_code(code, retry_after_s=2.0))

    def _already_settled(
        self, request: ApplyRequest, head: Row, audit: Row
    ) -> Result[Applied, Failure] | None:
        if audit.value is not None and audit.value["apply_id"] == request.apply_id:
            return Ok(
                Applied(
                    int(audit.value["revision"]),
                    str(audit.value["digest"]),
                    list(audit.value["changes"]),
                )
            )
        head_revision = int(head.value["revision"]) if head.value else 0
        if head_revision == request.base_revision:
            return None
        if audit.value is None:
            text = f"the head is at revision {head_revision}, not at the base"
        else:
            text = (
                f"revision {audit.value['revision']} was applied by "
                f"{audit.value['operator']} at {audit.value['at']}; "
                f"the head is at revision {head_revision}"
            )
        return Err(Failure.from_code(ResultCode.CONFIG_CONFLICT, text))

    async def _changes(self, request: ApplyRequest, head: Row) -> list[str]:
        before: Any = None
        if head.value is not None:
            content = await self.objects.get(f"configs-{head.value['digest']}")
            if content.is_ok() and content.unwrap() is not None:
                before = json.loads(content.unwrap())
        return describe_changes(before, json.loads(request.content))

    def _transaction(
        self, request: ApplyRequest, head: Row, digest: str, changes: list[str]
    ) -> Transaction:
        revision = request.base_revision + 1
        record = {
            "revision": revision,
            "digest": digest,
            "apply_id": request.apply_id,
            "operator": request.operator,
            "at": self.timer.wall_s(),
        }
        audit = {
            **record,
            "base_revision": request.base_revision,
            "changes": changes,
            "outcome": "accepted",
        }
        audit_key = _audit_key(revision)
        checks = (VersionCheck(HEAD_KEY, head.version), VersionCheck(audit_key, 0))
        return Transaction(checks, {HEAD_KEY: record, audit_key: audit})

    def _accepted(
        self, request: ApplyRequest, digest: str, changes: list[str]
    ) -> Applied:
        revision = request.base_revision + 1
        log_event(
            "config_accepted",
            revision=revision,
            operator=request.operator,
            changes=len(changes),
        )
        return Applied(revision, digest, changes)

    async def _record_refusal(
        self, request: ApplyRequest, settled: Result[Applied, Failure]
    ) -> None:
        if settled.is_ok():
            return
        at = self.timer.wall_s()
        row = {
            "revision": None,
            "digest": digest_of(request.content),
            "apply_id": request.apply_id,
            "operator": request.operator,
            "at": at,
            "base_revision": request.base_revision,
            "changes": [],
            "outcome": settled.unwrap_err().message,
        }
        key = f"{AUDIT_REFUSED_PREFIX}{at:017.3f}-{request.apply_id}"
        await self.table.transact(Transaction(puts={key: row}))

    async def audit(self) -> Result[list[dict[str, Any]], Failure]:
        """Return the audit trail in time order."""
        rows = []
        for prefix in (AUDIT_PREFIX, AUDIT_REFUSED_PREFIX):
            read = await self.table.scan(prefix)
            if read.is_err():
                return read
            rows.extend(row.value for row in read.unwrap())
        return Ok(sorted(rows, key=lambda row: row["at"]))


def _audit_key(revision: int) -> str:
    return f"{AUDIT_PREFIX}{revision:010d}"
