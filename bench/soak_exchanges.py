"""Requests of the soak test's callers, and whether their ends are allowed."""

from __future__ import annotations

import json
import re
import time
from typing import Any

import attrs
from soak_timeline import ProcessLife, Timeline

REQUEST_ID_HEADER = "x-request-id"
"""Header in which an answer names the id of its request, if the product sends one."""

LATE_REQUEST_S = 3.0
"""A stop may cut only requests that were sent within this time of the signal."""

LAST_GRACE_FRACTION = 1.0 / 6.0
"""Part of the grace period, at its end, in which a stop may cut answers."""

UNREAD_S = 1.0
"""A connection that ends within this time of a request may not have been read; a
request that no backend server has seen and that got no byte is then not accepted."""

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


@attrs.define(eq=False, repr=False)
class ExchangeChecks:
    """Checks the ends of all exchanges against what happened in the run."""

    timeline: Timeline
    attempts: list[dict[str, Any]]
    """Attempts that reached backend servers, see the stand-ins' ``AttemptLog``."""
    runs: dict[str, int]
    """Runs by request id."""
    grace_s: float
    _by_text: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Index the attempts by the text of their request."""
        for attempt in self.attempts:
            self._by_text.setdefault(attempt["text"], []).append(attempt)

    def attempts_of(self, exchange: Exchange) -> list[dict[str, Any]]:
        """Return the attempts at backend servers for an exchange."""
        return self._by_text.get(exchange.text, [])

    def outcome(self, exchange: Exchange) -> str:
        """Return how an exchange ended: whole, not taken, allowed or cut."""
        if exchange.is_whole:
            return "whole" if exchange.status == 200 else f"{exchange.status}"
        if self._was_not_taken(exchange):
            return "not taken"
        reason = self._reason(exchange)
        return f"cut, {reason}" if reason else "answer cut"

    def _was_not_taken(self, exchange: Exchange) -> bool:
        has_bytes = exchange.status or exchange.body
        waited_s = exchange.ended_s - exchange.sent_s
        return not (has_bytes or self.attempts_of(exchange)) and waited_s < UNREAD_S

    def _reason(self, exchange: Exchange) -> str:
        """Return a reason for which the service may cut the answer, or empty."""
        life = exchange.life
        from_s, to_s = exchange.sent_s, exchange.ended_s + SLACK_S
        if life.killed_s is not None and life.killed_s <= to_s:
            return "killed"
        if any(pause.overlaps(from_s, to_s) for pause in life.pauses):
            return "frozen"
        if exchange.is_half_closed:
            return "half-closed"
        ends = {attempt["end"] for attempt in self.attempts_of(exchange)}
        if ends & {"broken", "endless"}:
            return "broken off"
        if exchange.ended_s - exchange.sent_s >= exchange.timeout_s - SLACK_S:
            return "deadline"
        cuts = self.timeline.link_cuts.get(exchange.node, ())
        if any(cut.overlaps(from_s - SLACK_S, to_s) for cut in cuts):
            return "links"
        return "grace" if self._was_grace_over(exchange) else ""

    def _was_grace_over(self, exchange: Exchange) -> bool:
        if not exchange.life.stop_signals_s:
            return False
        signal_s = exchange.life.stop_signals_s[0]
        last_s = signal_s + self.grace_s * (1.0 - LAST_GRACE_FRACTION)
        was_at_work = any(
            attempt["end"] == "open" or attempt["ended_s"] >= last_s
            for attempt in self.attempts_of(exchange)
        )
        is_late = exchange.sent_s - signal_s > LATE_REQUEST_S
        return exchange.ended_s >= last_s and was_at_work and not is_late

    def violations(self, exchange: Exchange) -> list[str]:
        """Return the guarantees that the end of an exchange breaks."""
        found = []
        ends = {attempt["end"] for attempt in self.attempts_of(exchange)}
        # What a backend server sends without end is no answer of the service.
        if exchange.wrong and "endless" not in ends:
            found.append(f"{exchange.wrong}: {exchange}")
        if self._never_ended(exchange):
            found.append(f"no end {PATIENCE_S} s after the time limit: {exchange}")
        if self.outcome(exchange) == "answer cut":
            found.append(f"answer cut: {exchange}; attempts {sorted(ends)}")
        if exchange.says_not_run and self._has_run(exchange):
            found.append(f"ran though refused as not run: {exchange}")
        return found

    def _never_ended(self, exchange: Exchange) -> bool:
        took_s = exchange.ended_s - exchange.sent_s
        if exchange.reads_slowly or took_s < exchange.timeout_s + PATIENCE_S - SLACK_S:
            return False
        from_s, to_s = exchange.sent_s, exchange.ended_s
        return not any(pause.overlaps(from_s, to_s) for pause in exchange.life.pauses)

    def _has_run(self, exchange: Exchange) -> bool:
        ids = {exchange.request_id}
        if not exchange.request_id and not exchange.is_retried:
            ids = {attempt["request_id"] for attempt in self.attempts_of(exchange)}
        return any(self.runs.get(request_id, 0) for request_id in ids)
