"""Requests of the soak test's callers, with what came back."""

from __future__ import annotations

import json
import re
import time

import attrs
from soak_timeline import ProcessLife

REQUEST_ID_HEADER = "x-request-id"
"""Header in which an answer names the id of its request, if the product sends one."""

PATIENCE_S = 8.0
"""How long a caller waits for an answer after its time limit."""

MAX_KEPT_BYTES = 1 << 20
"""Length of a body beyond which the rest is only counted."""

SLACK_S = 0.5
"""Uncertainty of the times that the callers and the faults record."""

_CHUNK_ID = re.compile(rb'"id": "(req-[0-9a-f]+)"')


@attrs.define(eq=False, repr=False)
class Exchange:
    """One request of a caller, with what came back; times are monotonic."""

    text: str
    """Text that identifies the request at the backend servers."""
    kind: str
    life: ProcessLife
    """Process to which the connection led."""
    timeout_s: float
    is_stream: bool = False
    sent_s: float = attrs.field(factory=time.monotonic)
    ended_s: float = 0.0
    status: int = 0
    """Status of the answer, 0 without a head."""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytearray = attrs.field(factory=bytearray)
    """First part of the answer's body."""
    received_bytes: int = 0
    wrong: str = ""
    """What is wrong with the content of an answer that is whole, if anything."""
    is_complete: bool = False
    """Whether the message was received to its end."""
    known_id: str = ""
    """Id that the caller gave the request."""
    has_last_line: bool = True
    """Whether a whole stream ends with a line that says so."""
    is_taken: bool = True
    """Whether a node may have read the request."""
    reads_slowly: bool = False
    """Whether the caller itself delays the end of the answer."""
    is_retried: bool = False
    """Whether the caller may send the same text again, as another request."""
    crashes_engines: bool = False
    """Whether it has a message that crashes engines."""
    is_half_closed: bool = False
    """Whether the caller had closed its side of the connection."""

    @property
    def node(self) -> str:
        """Name of the node."""
        return self.life.node

    def add(self, piece: bytes) -> None:
        """Record a piece of the body."""
        self.received_bytes += len(piece)
        if len(self.body) < MAX_KEPT_BYTES:
            self.body += piece

    def end(self) -> None:
        """Record that nothing more is received."""
        self.ended_s = time.monotonic()

    @property
    def request_id(self) -> str:
        """Id that the caller or the answer names, empty if neither does."""
        named = self.known_id or self.headers.get(REQUEST_ID_HEADER, "")
        found = _CHUNK_ID.search(bytes(self.body[:1000]))
        return named or (found.group(1).decode() if found else "")

    @property
    def final_status(self) -> int:
        """Status of an answer whose message is complete, otherwise 0."""
        return self.status if self.is_complete else 0

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete, be it a success or a refusal."""
        if not self.is_complete:
            return False
        has_events = self.is_stream and self.status == 200 and self.has_last_line
        return not has_events or b"data: [DONE]" in self.body

    @property
    def ran(self) -> str:
        """What the answer says about whether the request has run."""
        try:
            return str(json.loads(bytes(self.body))["error"]["ran"])
        except (ValueError, KeyError, TypeError):
            # No failure of the service itself, or a part of it.
            return "maybe"

    @property
    def says_not_run(self) -> bool:
        """Whether the answer reports that the request has not run."""
        return self.final_status in (429, 503) and self.ran == "no"

    def __str__(self) -> str:
        signals_s = self.life.stop_signals_s
        since = f"{self.ended_s - signals_s[0]:.2f} s" if signals_s else "no"
        sent = f"{self.sent_s - signals_s[0]:.2f} s" if signals_s else "no"
        return (
            f"{self.request_id or 'no id'} ({self.kind} {self.text!r}) at {self.node} "
            f"pid {self.life.process.pid}, status {self.status}, "
            f"{self.received_bytes} bytes, after {self.ended_s - self.sent_s:.2f} s; "
            f"sent {sent} and ended {since} after the signal to stop"
        )
