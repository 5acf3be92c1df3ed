"""Backend servers that have ended while they ran a request, as nodes tell each other.

A row for each content and backend server: nodes count together what each of them has
seen only once, a node that starts reads it, and it outlives the loss of all nodes.
"""

from __future__ import annotations

import json
from enum import IntEnum

import attrs

CRASH_PREFIX = "crash/"
"""Begins the keys of these rows in the system's own table."""

CrashKey = tuple[str, str]
"""Digest of a request's content, and the backend server that has ended."""


class RunStage(IntEnum):
    """How far a run had come when its connection broke.

    The number is how much the crash speaks against it, beside the others that were
    there: of 28 servers that one content has ended, each had one run of the last stage.
    """

    FLOWING = 1
    """It had passed on events: it had been run for a while without harm."""
    WAITING = 2
    """No answer had begun: it may have waited in the queue, or have been read."""
    BEGUN = 4
    """The answer's head had come, and no event yet."""


def crash_key(digest: str, backend_id: str) -> str:
    """Return the key of the row that says under which content a server has ended."""
    return f"{CRASH_PREFIX}{digest}/{backend_id}"


def split_crash_key(key: str) -> CrashKey | None:
    """Return content and backend server of a row's key, None if it is malformed."""
    digest, _, backend_id = key.removeprefix(CRASH_PREFIX).partition("/")
    return (digest, backend_id) if digest and backend_id else None


@attrs.frozen
class CrashRecord:
    """A backend server ended while it ran a content."""

    digest: str
    backend_id: str
    stage: RunStage
    node_name: str
    """The node that had sent it."""
    seen_s: float = 0.0
    """When this node learned of it, in its own monotonic seconds."""

    @property
    def key(self) -> CrashKey:
        """Content and backend server."""
        return self.digest, self.backend_id

    def to_bytes(self) -> bytes:
        """Return the row's value."""
        fields = {"stage": int(self.stage), "node_name": self.node_name}
        return json.dumps(fields).encode()

    @classmethod
    def from_bytes(cls, key: CrashKey, value: bytes, seen_s: float) -> CrashRecord:
        """Return the record in a row.

        Args:
            key: Content and backend server, from the row's key.
            value: The row's value.
            seen_s: When it came, in monotonic seconds.

        Raises:
            ValueError, TypeError, KeyError, RecursionError: If the row is malformed.
        """
        fields = json.loads(value)
        node_name = str(fields["node_name"])
        return cls(*key, RunStage(fields["stage"]), node_name, seen_s)
