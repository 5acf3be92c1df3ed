"""Record of every attempt that reached a backend server, and of how it ended."""

from __future__ import annotations

import json
import time
from enum import StrEnum
from typing import Any

import attrs

from ._calls import BackendCall


class AttemptEnd(StrEnum):
    """How an attempt ended at the backend server."""

    OPEN = "open"
    """It is still in progress."""
    WHOLE = "whole"
    """The answer was sent to its end."""
    REFUSED = "refused"
    """The request was refused without being run."""
    BROKEN = "broken"
    """The backend server broke the answer off, by a crash for example."""
    INVALID = "invalid"
    """The backend server sent an answer that is none."""
    ENDLESS = "endless"
    """The backend server sent bytes without end."""
    LEFT = "left"
    """The node closed the connection before the end of the answer."""


@attrs.define(eq=False, repr=False)
class Attempt:
    """One attempt of a request; times are monotonic, in seconds."""

    request_id: str
    text: str
    """Text that identifies the caller's request: its last message or ``text``."""
    address: str
    began_s: float
    ended_s: float = 0.0
    end: AttemptEnd = AttemptEnd.OPEN
    event_times_s: list[float] = attrs.field(factory=list)
    """When its events were sent."""
    is_lengthless: bool = False
    """Whether the answer ends with its connection."""
    lost_s: float | None = None
    """When the process at the address ended, None if it has not."""

    def finish(self, end: AttemptEnd) -> None:
        """Record the end of the attempt; the first record counts."""
        if self.end is AttemptEnd.OPEN:
            self.end, self.ended_s = end, time.monotonic()

    def record_event(self, event: bytes) -> None:
        """Record that an event is sent; an empty one marks the answer's head."""
        if event:
            self.event_times_s.append(time.monotonic())

    def to_json(self) -> dict[str, Any]:
        """Return the fields for the control interface."""
        return attrs.asdict(self)


@attrs.define(eq=False, repr=False)
class AttemptLog:
    """All attempts since the start, in order of arrival."""

    attempts: list[Attempt] = attrs.field(factory=list)

    def begin(self, call: BackendCall, address: str) -> Attempt:
        """Record an attempt that has arrived."""
        text = _identifying_text(call.body)
        attempt = Attempt(call.request_id, text, address, time.monotonic())
        self.attempts.append(attempt)
        return attempt

    def break_off(self, address: str) -> None:
        """Record that the process at an address ended with its open attempts."""
        for attempt in self.attempts:
            if attempt.address == address and attempt.lost_s is None:
                attempt.finish(AttemptEnd.BROKEN)
                attempt.lost_s = time.monotonic()


def _identifying_text(body: bytes) -> str:
    try:
        content = json.loads(body)
        if "messages" in content:
            return str(content["messages"][-1]["content"])
        return str(content["text"])
    except (ValueError, KeyError, TypeError, IndexError):
        return ""
