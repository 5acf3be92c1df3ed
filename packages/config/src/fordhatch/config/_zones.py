"""Evacuates and restores availability zones, each in one transaction with its audit."""

from __future__ import annotations

import json

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import (
    ABSENT,
    DecodeError,
    Row,
    RowKey,
    StoreClient,
    decode_evacuation_key,
    evacuation_key,
)
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event

from ._audit import AUDIT_TABLE, ZONE_PREFIX, AuditRecord, zone_key
from ._declared_configuration import DECLARED_TABLE

MAX_ATTEMPTS = 4
"""Attempts at one change, including those that read back after a lost answer."""

RETRY_PAUSE_S = 0.3
"""Pause before the next attempt, multiplied by the number of attempts made."""

CALL_TIMEOUT_S = 2.0
"""Timeout of a store call; a slow store answers within a few hundred milliseconds."""

RETRY_AFTER_S = 2.0
"""Delay before an operator may retry after a fault of the store."""

MAX_PAGES = 20
"""Maximum number of pages of the audit trail that are read for the zones' times."""


@attrs.frozen
class ZoneChange:
    """Who changed the state of a zone, and when."""

    zone: str
    is_evacuated: bool
    operator: str
    at_s: float
    """Unix time of the change, for people only."""

    def to_bytes(self) -> bytes:
        """Return the value of the zone's row; only the row's existence matters."""
        return json.dumps({"operator": self.operator, "at_s": self.at_s}).encode()

    @classmethod
    def from_row(cls, zone: str, value: bytes) -> ZoneChange:
        """Return the evacuation that a zone's row records, as far as it tells."""
        try:
            fields = json.loads(value)
            return cls(zone, True, str(fields["operator"]), float(fields["at_s"]))
        except (ValueError, TypeError, KeyError, RecursionError):
            return cls(zone, True, "", 0.0)


@attrs.define(eq=False, repr=False)
class ZoneOperations:
    """Writes and removes the rows of evacuated zones. Any node can do this."""

    store: StoreClient
    timer: Timer

    async def change(
        self, zone: str, operator: str, *, is_evacuated: bool
    ) -> Result[ZoneChange, Failure]:
        """Evacuate or restore a zone; a repetition changes nothing.

        Args:
            zone: Name of the availability zone.
            operator: Who asks for the change.
            is_evacuated: Whether the zone is evacuated from now on.

        Returns:
            The change that is in force: this one, or an earlier one to the same state.
            A failure with ``ran`` maybe means that the change may be in force.
        """
        try:
            decode_evacuation_key(evacuation_key(zone))
        except DecodeError as error:
            return Err(Failure.from_code(ResultCode.BAD_REQUEST, str(error)))
        failure = Failure.from_code(ResultCode.STORE_UNAVAILABLE)
        may_have_run = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self.timer.sleep(self.timer.jittered(RETRY_PAUSE_S * attempt))
            change = ZoneChange(zone, is_evacuated, operator, self.timer.wall_s())
            done = await self._attempt(change)
            if done.is_ok():
                return done
            failure = done.unwrap_err()
            may_have_run |= failure.ran is Ran.MAYBE
        code = failure.code
        if may_have_run:
            code = ResultCode.STORE_OUTCOME_UNKNOWN
        return Err(
            Failure.from_code(code, failure.message, retry_after_s=RETRY_AFTER_S)
        )

    async def _attempt(self, change: ZoneChange) -> Result[ZoneChange, Failure]:
        key = RowKey(DECLARED_TABLE, evacuation_key(change.zone))
        read = await self.store.read(
            key.table, first_key=key.key, limit=1, timeout_s=CALL_TIMEOUT_S
        )
        if read.is_err():
            return Err(read.unwrap_err())
        row = next((r for r in read.unwrap().rows if r.row_key == key), None)
        if change.is_evacuated and row is not None:
            return Ok(ZoneChange.from_row(change.zone, row.value))
        if not change.is_evacuated and row is None:
            return Ok(change)
        return await self._write(change, key, row)

    async def _write(
        self, change: ZoneChange, key: RowKey, row: Row | None
    ) -> Result[ZoneChange, Failure]:
        audit_key = zone_key(change.at_s, change.zone)
        puts = {audit_key: _audit_record(change).to_bytes()}
        if change.is_evacuated:
            puts[key] = change.to_bytes()
        written = await self.store.write(
            {key: row.version if row is not None else ABSENT, audit_key: ABSENT},
            puts,
            () if change.is_evacuated else (key,),
            timeout_s=CALL_TIMEOUT_S,
        )
        if written.is_err():
            return Err(written.unwrap_err())
        if not written.unwrap().is_committed:
            # Another operator was first; the next attempt reads what is in force.
            return Err(Failure.from_code(ResultCode.STORE_CONFLICT))
        log_event(
            "zone_change_accepted",
            zone=change.zone,
            evacuated=change.is_evacuated,
            operator=change.operator,
        )
        return Ok(change)


def _audit_record(change: ZoneChange) -> AuditRecord:
    before, after = "in use", "evacuated"
    if not change.is_evacuated:
        before, after = after, before
    return AuditRecord(
        revision=0,
        digest="",
        apply_id="",
        operator=change.operator,
        at_s=change.at_s,
        base_revision=0,
        changes=(f"zone {change.zone}: {before} -> {after}",),
        outcome="evacuated" if change.is_evacuated else "restored",
    )


async def read_zone_changes(
    store: StoreClient,
) -> Result[dict[str, ZoneChange], Failure]:
    """Return the latest change of each zone in the audit trail."""
    found: dict[str, ZoneChange] = {}
    first_key = ZONE_PREFIX
    for _ in range(MAX_PAGES):
        page = await store.read(
            AUDIT_TABLE, first_key=first_key, timeout_s=CALL_TIMEOUT_S
        )
        if page.is_err():
            return Err(page.unwrap_err())
        rows = page.unwrap().rows
        for row in rows:
            change = _decode_change(row)
            if change is not None:
                found[change.zone] = change
        if not rows or not page.unwrap().has_more:
            break
        first_key = rows[-1].row_key.key + "\0"
    return Ok(found)


def _decode_change(row: Row) -> ZoneChange | None:
    """Return the change in a row of the audit trail, None if it is of another kind."""
    key = row.row_key.key
    if not key.startswith(ZONE_PREFIX):
        return None
    try:
        record = AuditRecord.from_bytes(row.value)
    except DecodeError as error:
        log_event("audit_unreadable", key=key, error=str(error))
        return None
    _, _, zone = key.partition("-")
    is_evacuated = record.outcome == "evacuated"
    return ZoneChange(zone, is_evacuated, record.operator, record.at_s)
