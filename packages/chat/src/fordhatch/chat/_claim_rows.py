"""Claim rows: the store's record of each idempotency key that was used."""

from __future__ import annotations

import base64
import hashlib
import json
import zlib
from enum import StrEnum

import attrs

from fordhatch.adapter import ABSENT, DecodeError, Row, RowKey, StoreVersion

CLAIM_TABLE = "fordhatch-claims"
"""The table of claims. No node subscribes to its updates."""

PART_DIGITS = 2
"""Leading hexadecimal digits of a claim's hash that name its part of the table. The
store runs the transactions of one part one after another, so claims are spread."""

PARTS = tuple(f"{number:0{PART_DIGITS}x}" for number in range(16**PART_DIGITS))
"""Every part of the table."""


class ClaimState(StrEnum):
    """Progress of the request that a claim stands for."""

    RUNNING = "running"
    DONE = "done"
    """The request ran, and its answer is stored."""
    LOST = "lost"
    """The request was sent, and its answer is not available."""


@attrs.frozen
class ClaimKey:
    """Identity of a request that is to run once.

    The digest is not part of the row's key: it detects a key that is reused for
    another request.
    """

    workspace: str
    idempotency_key: str
    request_digest: str

    @property
    def row_key(self) -> RowKey:
        """Key of the claim's row."""
        name = f"{self.workspace}\n{self.idempotency_key}".encode()
        digest = hashlib.sha256(name).hexdigest()
        return RowKey(CLAIM_TABLE, digest, digest[:PART_DIGITS])


@attrs.frozen
class StoredAnswer:
    """A complete answer as received from the backend server."""

    status: int
    headers: list[list[str]]
    body: bytes
    is_stream: bool
    """Whether the body holds the events of a model's streamed answer."""

    def to_json(self) -> dict[str, object]:
        """Return the answer in the form stored in a row."""
        return {**attrs.asdict(self), "body": base64.b64encode(self.body).decode()}

    @classmethod
    def from_json(cls, fields: dict[str, object]) -> StoredAnswer:
        """Return the answer from the form stored in a row."""
        return cls(**{**fields, "body": base64.b64decode(str(fields["body"]))})


@attrs.frozen
class Claim:
    """A claim as stored in its row."""

    write_id: str
    """Changes with every write: after a lost response of the store, a read shows
    whether the write took effect."""
    state: ClaimState
    request_digest: str
    node_name: str
    start_id: str
    """Identifies the process of the node that made the claim."""
    expires_at_s: float
    """Wall-clock time after which the row is removed; used for cleanup only."""
    answer: StoredAnswer | None = None
    version: StoreVersion = ABSENT
    """The row's version in the store; not part of its value."""

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
