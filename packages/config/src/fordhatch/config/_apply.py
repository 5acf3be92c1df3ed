"""Accepts operators' files: one transaction replaces the head and writes the audit.

The head is the row of the store that holds the newest accepted file.
"""

from __future__ import annotations

import json

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import ABSENT, DecodeError, Row, RowKey, StoreClient
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event

from ._audit import AuditRecord, accepted_key, refused_key
from ._changes import describe_changes
from ._declared_configuration import DECLARED_TABLE, HEAD_KEY, Head
from ._operators_file import OperatorsFile, digest_of

HEAD_ROW = RowKey(DECLARED_TABLE, HEAD_KEY)

MAX_ATTEMPTS = 4
"""Attempts at one apply, including those that read back after a lost answer."""

RETRY_PAUSE_S = 0.3
"""Pause before the next attempt, multiplied by the number of attempts made."""

CALL_TIMEOUT_S = 2.0
"""Timeout of a store call; a slow store answers within a few hundred milliseconds."""

RETRY_AFTER_S = 2.0
"""Delay before an operator may retry after a fault of the store."""


@attrs.frozen
class ApplyRequest:
    """A request to replace the declared state."""

    content: bytes
    base_revision: int
    """Revision on which the operator's file is based."""
    apply_id: str
    """Unique identifier of this apply, which makes retries idempotent."""
    operator: str


@attrs.frozen
class Applied:
    """An accepted file: it is durable and will take effect on every node."""

    revision: int
    digest: str
    changes: list[str]


@attrs.define(eq=False, repr=False)
class ConfigApplier:
    """Accepts operators' files. Any node can do this."""

    store: StoreClient
    timer: Timer
    row_bytes: int
    """Maximal size of a row's value in the store, in bytes."""

    async def apply(self, request: ApplyRequest) -> Result[Applied, Failure]:
        """Accept a file if the state has not changed since its base revision.

        Args:
            request: The file, its base revision and the operator.

        Returns:
            The accepted revision. A failure with ``ran`` no means that nothing
            changed; with ``ran`` maybe the same apply must be retried.
        """
        parsed = OperatorsFile.from_json(request.content)
        if parsed.is_err():
            text = "; ".join(str(m) for m in parsed.unwrap_err())
            return Err(Failure.from_code(ResultCode.CONFIG_INVALID, text))
        uncertain = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self.timer.sleep(self.timer.jittered(RETRY_PAUSE_S * attempt))
            applied = await self._attempt(request)
            if applied.is_ok() or applied.unwrap_err().code in _FINAL_CODES:
                return applied
            uncertain |= applied.unwrap_err().ran is Ran.MAYBE
        code = ResultCode.STORE_UNAVAILABLE
        if uncertain:
            code = ResultCode.CONFIG_OUTCOME_UNKNOWN
        return Err(Failure.from_code(code, retry_after_s=RETRY_AFTER_S))

    async def _attempt(self, request: ApplyRequest) -> Result[Applied, Failure]:
        """Read the head and, if it is still the base, write the next revision."""
        read = await self._read(request.base_revision + 1)
        if read.is_err():
            return Err(read.unwrap_err())
        row, head, audit = read.unwrap()
        if audit is not None and audit.apply_id == request.apply_id:
            return Ok(Applied(audit.revision, audit.digest, list(audit.changes)))
        revision = head.revision if head is not None else 0
        if revision != request.base_revision:
            failure = _conflict(audit, revision)
            await self._record_refusal(request, failure)
            return Err(failure)
        return await self._write(request, row, head)

    async def _read(
        self, revision: int
    ) -> Result[tuple[Row | None, Head | None, AuditRecord | None], Failure]:
        """Return the head's row, the head and a revision's audit record, if any."""
        # The table also holds the rows of evacuated zones.
        heads = await self.store.read(
            DECLARED_TABLE, first_key=HEAD_KEY, limit=1, timeout_s=CALL_TIMEOUT_S
        )
        if heads.is_err():
            return Err(heads.unwrap_err())
        row = next((r for r in heads.unwrap().rows if r.row_key == HEAD_ROW), None)
        key = accepted_key(revision)
        audits = await self.store.read(
            key.table, first_key=key.key, limit=1, timeout_s=CALL_TIMEOUT_S
        )
        if audits.is_err():
            return Err(audits.unwrap_err())
        found = next((r for r in audits.unwrap().rows if r.row_key == key), None)
        try:
            head = Head.from_bytes(row.value) if row is not None else None
            audit = AuditRecord.from_bytes(found.value) if found is not None else None
        except DecodeError as error:
            return Err(Failure.from_code(ResultCode.INTERNAL, str(error), ran=Ran.NO))
        return Ok((row, head, audit))

    async def _write(
        self, request: ApplyRequest, row: Row | None, head: Head | None
    ) -> Result[Applied, Failure]:
        before = json.loads(head.content) if head is not None else None
        changes = describe_changes(before, json.loads(request.content))
        new = Head(
            request.base_revision + 1,
            digest_of(request.content),
            request.apply_id,
            request.operator,
            self.timer.wall_s(),
            request.content,
        )
        value = new.to_bytes()
        audit_value = AuditRecord.from_head(new, changes).to_bytes()
        if max(len(value), len(audit_value)) > self.row_bytes:
            text = f"the file is longer than {self.row_bytes} bytes when compressed"
            return Err(Failure.from_code(ResultCode.CONFIG_INVALID, text))
        audit_key = accepted_key(new.revision)
        written = await self.store.write(
            {HEAD_ROW: row.version if row is not None else ABSENT, audit_key: ABSENT},
            {HEAD_ROW: value, audit_key: audit_value},
            timeout_s=CALL_TIMEOUT_S,
        )
        if written.is_err():
            return Err(written.unwrap_err())
        if not written.unwrap().is_committed:
            # A concurrent apply was committed first; the next attempt reads its record.
            return Err(Failure.from_code(ResultCode.STORE_CONFLICT))
        log_event(
            "config_accepted",
            revision=new.revision,
            operator=request.operator,
            changes=len(changes),
        )
        return Ok(Applied(new.revision, new.digest, changes))

    async def _record_refusal(self, request: ApplyRequest, failure: Failure) -> None:
        at_s = self.timer.wall_s()
        record = AuditRecord(
            revision=0,
            digest=digest_of(request.content),
            apply_id=request.apply_id,
            operator=request.operator,
            at_s=at_s,
            base_revision=request.base_revision,
            changes=(),
            outcome=failure.message,
        )
        key = refused_key(at_s, request.apply_id)
        written = await self.store.write(
            {}, {key: record.to_bytes()}, timeout_s=CALL_TIMEOUT_S
        )
        if written.is_err():
            log_event("audit_not_written", error=written.err().message)


_FINAL_CODES = (
    ResultCode.CONFIG_CONFLICT,
    ResultCode.CONFIG_INVALID,
    ResultCode.INTERNAL,
)
"""Codes of failures that another attempt cannot change."""


def _conflict(audit: AuditRecord | None, head_revision: int) -> Failure:
    text = f"the head is at revision {head_revision}, not at the base"
    if audit is not None:
        text = (
            f"revision {audit.revision} was applied by {audit.operator}; "
            f"the head is at revision {head_revision}"
        )
    return Failure.from_code(ResultCode.CONFIG_CONFLICT, text)
