"""Claim rows: one for each idempotency key that was used."""

from __future__ import annotations

import base64
import hashlib
import json
import zlib
from enum import StrEnum

import attrs

from fordhatch.adapter import ABSENT, DecodeError, Row, RowKey, StoreVersion

CLAIM_TABLE = "fordhatch-claims"
"""The table of claims; nobody follows it."""

PART_DIGITS = 2
"""Hexadecimal digits of a claim's hash that name its part of the table: the store
carries out the transactions of one part one after the other."""

PARTS = tuple(f"{number:0{PART_DIGITS}x}" for number in range(16**PART_DIGITS))
"""Every part of the table."""


class ClaimState(StrEnum):
    """How far the request of a claim is."""

    RUNNING = "running"
    DONE = "done"
    """It ran, and its answer is stored."""
    LOST = "lost"
    """It was sent, and its answer will not be known."""


@attrs.frozen
class ClaimKey:
    """What makes two requests the same one."""

    workspace: str
    idempotency_key: str
    request_digest: str

    @property
    def row_key(self) -> RowKey:
        """The claim's row."""
        name = f"{self.workspace}\n{self.idempotency_key}".encode()
        digest = hashlib.sha256(name).hexdigest()
        return RowKey(CLAIM_TABLE, digest, digest[:PART_DIGITS])


@attrs.frozen
class StoredAnswer:
    """A complete answer as it came from the backend server."""

    status: int
    headers: list[list[str]]
    body: bytes
    is_stream: bool
    """Whether the body is the events of a model's answer."""

    def to_json(self) -> dict[str, object]:
        """Return the answer as it stands in the row."""
        return {**attrs.asdict(self), "body": base64.b64encode(self.body).decode()}

    @classmethod
    def from_json(cls, fields: dict[str, object]) -> StoredAnswer:
        """Return the answer that stands in a row."""
        return cls(**{**fields, "body": base64.b64decode(str(fields["body"]))})


@attrs.frozen
class Claim:
    """A claim as it lies in the store."""

    write_id: str
    """Changes with every write, so that a lost answer can be read back."""
    state: ClaimState
    request_digest: str
    node_name: str
    start_id: str
    """The start of the node that took it."""
    expires_at_s: float
    """Time of day; rows are only cleaned by it, nothing is decided."""
    answer: StoredAnswer | None = None
    version: StoreVersion = ABSENT
    """The row's version; not part of its value."""

    def to_bytes(self) -> bytes:
        """Return the row's value."""
        fields = attrs.asdict(self, recurse=False)
        del fields["version"]
        fields["answer"] = self.answer.to_json() if self.answer else None
        return zlib.compress(json.dumps(fields).encode())

    @classmethod
    def from_row(cls, row: Row) -> Claim:
        """Return the claim in a row.

        Raises:
            DecodeError: If the row is malformed.
        """
        try:
            fields = json.loads(zlib.decompress(row.value))
            answer = fields.pop("answer")
            fields["state"] = ClaimState(fields["state"])
            stored = StoredAnswer.from_json(answer) if answer else None
            return cls(**fields, answer=stored, version=row.version)
        except (zlib.error, ValueError, TypeError, KeyError) as error:
            raise DecodeError([repr(error)]) from error
