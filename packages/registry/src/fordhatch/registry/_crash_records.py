"""Records of backend servers that crashed while they ran a request.

There is a row for each feature (a digest of a request's content, or of a part of its
prompt) and backend server. Nodes share
the rows, so that crashes of which each node has seen only one are counted together. A
starting node reads the rows, and they outlive the loss of all nodes.
"""

from __future__ import annotations

import json
from enum import IntEnum

import attrs

CRASH_PREFIX = "crash/"
"""Prefix of the keys of these rows in the system's own table."""

PROVEN_PREFIX = "proven/"
"""Prefix of the keys of the rows that name a suspected part of prompts on which a
backend server has written a complete answer."""

CrashKey = tuple[str, str]
"""Digest of a feature of requests, and the id of the backend server that crashed."""


class RunStage(IntEnum):
    """The stage of a request's run on a backend server when its connection broke.

    The number is the weight of the crash against this run, relative to the other runs
    on the server: of 28 servers that one content crashed, each had one run of the last
    stage.
    """

    FLOWING = 1
    """Events were passed on: the request had run for a while without a fault."""
    WAITING = 2
    """No response had begun: the request may have been queued, or been read."""
    BEGUN = 4
    """The response's headers had arrived, but no event yet."""


def crash_key(digest: str, backend_id: str) -> str:
    """Return the key of the row for a feature and the server that crashed."""
    return f"{CRASH_PREFIX}{digest}/{backend_id}"


def proven_key(part: str) -> str:
    """Return the key of the row that says that a part crashes no backend server."""
    return f"{PROVEN_PREFIX}{part}"


def split_crash_key(key: str) -> CrashKey | None:
    """Return feature and backend server of a row's key, None if it is malformed."""
    digest, _, backend_id = key.removeprefix(CRASH_PREFIX).partition("/")
    return (digest, backend_id) if digest and backend_id else None


@attrs.frozen
class CrashRecord:
    """A crash of a backend server while it ran requests with a feature."""

    digest: str
    """Digest of the feature."""
    backend_id: str
    stage: RunStage
    """Stage of the run; with several runs, the one with the highest weight."""
    node_name: str
    """The node that sent the request."""
    seen_s: float = 0.0
    """When this node learned of the crash, in its own monotonic seconds."""

    @property
    def key(self) -> CrashKey:
        """Feature and backend server."""
        return self.digest, self.backend_id

    def to_bytes(self) -> bytes:
        """Return the row's value."""
        fields = {"stage": int(self.stage), "node_name": self.node_name}
        return json.dumps(fields).encode()

    @classmethod
    def from_bytes(cls, key: CrashKey, value: bytes, seen_s: float) -> CrashRecord:
        """Return the record in a row.

        Args:
            key: Feature and backend server, from the row's key.
            value: The row's value.
            seen_s: When the row was read, in monotonic seconds.

        Raises:
            ValueError, TypeError, KeyError, RecursionError: If the row is malformed.
        """
        fields = json.loads(value)
        node_name = str(fields["node_name"])
        return cls(*key, RunStage(fields["stage"]), node_name, seen_s)
