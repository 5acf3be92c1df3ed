"""Accepting an operators' file: one transaction moves the head and writes the audit."""

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

ATTEMPTS = 4
"""How often a transaction with a lost answer is tried or read back."""

RETRY_PAUSE_S = 0.3
"""Pause before reading back after a lost answer."""

CALL_TIMEOUT_S = 2.0
"""Longest wait for the store; a slow one answers within some hundred milliseconds."""

RETRY_AFTER_S = 2.0
"""When an operator may come back after trouble of the store."""


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


@attrs.define(eq=False, repr=False)
class ConfigApplier:
    """Accepts operators' files on any node."""

    store: StoreClient
    timer: Timer
    row_bytes: int
    """Longest value that a row of the store takes."""

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
        uncertain = False
        for attempt in range(ATTEMPTS):
            if attempt:
                await self.timer.sleep(self.timer.jittered(RETRY_PAUSE_S * attempt))
            tried = await self._try(request)
            if tried.is_ok() or tried.unwrap_err().code in _FINAL:
                return tried
            uncertain |= tried.unwrap_err().ran is Ran.MAYBE
        code = ResultCode.STORE_UNAVAILABLE
        if uncertain:
            code = ResultCode.CONFIG_OUTCOME_UNKNOWN
        return Err(Failure.from_code(code, retry_after_s=RETRY_AFTER_S))

    async def _try(self, request: ApplyRequest) -> Result[Applied, Failure]:
        """Read what is there and, if the base still holds, write the next revision."""
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
        """Return the head's row, the head, and the audit of a revision, if any."""
        heads = await self.store.read(DECLARED_TABLE, limit=1, timeout_s=CALL_TIMEOUT_S)
        if heads.is_err():
            return Err(heads.unwrap_err())
        row = next(iter(heads.unwrap().rows), None)
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
            # Somebody else was faster; the next look says who.
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


_FINAL = (
    ResultCode.CONFIG_CONFLICT,
    ResultCode.CONFIG_INVALID,
    ResultCode.INTERNAL,
)
"""Failures that another try doesn't change."""


def _conflict(audit: AuditRecord | None, head_revision: int) -> Failure:
    text = f"the head is at revision {head_revision}, not at the base"
    if audit is not None:
        text = (
            f"revision {audit.revision} was applied by {audit.operator}; "
            f"the head is at revision {head_revision}"
        )
    return Failure.from_code(ResultCode.CONFIG_CONFLICT, text)
