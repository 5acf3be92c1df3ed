"""The audit trail: operator, time, base revision, changes and outcome of each apply."""

from __future__ import annotations

import json
import zlib

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import DecodeError, RowKey, StoreClient
from fordhatch.core import Failure, log_event

from ._declared_configuration import Head

AUDIT_TABLE = "fordhatch-audit"
"""Table of the audit trail; no node watches it."""

ACCEPTED_PREFIX = "accepted/"
"""Key prefix of the rows of accepted files, ordered by revision."""

REFUSED_PREFIX = "refused/"
"""Key prefix of the rows of files refused because of a concurrent apply.

They are ordered by time and apply identifier.
"""

ZONE_PREFIX = "zones/"
"""Key prefix of the rows of evacuated and restored zones, ordered by time."""

MAX_CHANGES = 200
"""Maximal number of changes listed in a record; a new file has hundreds."""

READ_TIMEOUT_S = 2.0
"""Timeout of the read of one page."""


def accepted_key(revision: int) -> RowKey:
    """Return the row key of an accepted revision."""
    return RowKey(AUDIT_TABLE, f"{ACCEPTED_PREFIX}{revision:010d}")


def refused_key(at_s: float, apply_id: str) -> RowKey:
    """Return the row key of a refused apply."""
    return RowKey(AUDIT_TABLE, f"{REFUSED_PREFIX}{at_s:017.3f}-{apply_id}")


def zone_key(at_s: float, zone: str) -> RowKey:
    """Return the row key of the evacuation or restoration of a zone."""
    return RowKey(AUDIT_TABLE, f"{ZONE_PREFIX}{at_s:017.3f}-{zone}")


@attrs.frozen
class AuditRecord:
    """One apply and its outcome, or one change of a zone."""

    revision: int
    """0 if the file was refused, and for a zone."""
    digest: str
    apply_id: str
    operator: str
    at_s: float
    base_revision: int
    changes: tuple[str, ...]
    outcome: str
    content: str = ""
    """The accepted file; empty if it was refused."""

    @classmethod
    def from_head(cls, head: Head, changes: list[str]) -> AuditRecord:
        """Return the record of a file that is about to be accepted."""
        named = tuple(changes[:MAX_CHANGES])
        if len(changes) > MAX_CHANGES:
            named = (*named, f"and {len(changes) - MAX_CHANGES} more")
        return cls(
            head.revision,
            head.digest,
            head.apply_id,
            head.operator,
            head.at_s,
            head.revision - 1,
            named,
            "accepted",
            head.content.decode(),
        )

    def to_bytes(self) -> bytes:
        """Return the row's value."""
        return zlib.compress(json.dumps(attrs.asdict(self)).encode())

    @classmethod
    def from_bytes(cls, value: bytes) -> AuditRecord:
        """Return the record in a row's value.

        Raises:
            DecodeError: If the row is malformed.
        """
        try:
            fields = json.loads(zlib.decompress(value))
            return cls(**{**fields, "changes": tuple(fields["changes"])})
        except (zlib.error, ValueError, TypeError, KeyError) as error:
            raise DecodeError([repr(error)]) from error


async def read_audit(
    store: StoreClient, after_key: str, limit: int
) -> Result[tuple[list[AuditRecord], str], Failure]:
    """Return a page of the audit trail.

    Args:
        store: The platform's store.
        after_key: Last key of the previous page; empty for the first page.
        limit: Maximal number of rows to read.

    Returns:
        The records, accepted ones first, each kind in key order; and the last key
        of the page, empty if no page follows. Malformed rows are logged and skipped.
    """
    first_key = after_key + "\0" if after_key else ""
    page = await store.read(
        AUDIT_TABLE, first_key=first_key, limit=limit, timeout_s=READ_TIMEOUT_S
    )
    if page.is_err():
        return Err(page.unwrap_err())
    rows = page.unwrap().rows
    records = []
    for row in rows:
        try:
            records.append(AuditRecord.from_bytes(row.value))
        except DecodeError as error:
            log_event("audit_unreadable", key=row.row_key.key, error=str(error))
    end = rows[-1].row_key.key if rows and page.unwrap().has_more else ""
    return Ok((records, end))
