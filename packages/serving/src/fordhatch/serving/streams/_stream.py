"""A caller's stream across all of its runs."""

from __future__ import annotations

import attrs

from fordhatch.catalog import EngineProfile

from .._request import Reply, ServedRequest
from ..exchange import SendFailure
from ..hedging import Hedging
from ..load import MemoryNeed
from ._events import EventOrder


@attrs.define(eq=False, repr=False)
class Stream:
    """One caller's stream across all of its runs."""

    request: ServedRequest
    reply: Reply
    order: EventOrder
    profile: EngineProfile
    tried: list[str] = attrs.field(factory=list)
    """Heads that the request was sent to, in order."""
    refused_beside: list[str] = attrs.field(factory=list)
    """Those of them that refused it while another run was in progress."""
    broken: list[str] = attrs.field(factory=list)
    """Those of them whose runs have ended before the stream was complete."""
    repeats: int = 0
    """Number of runs at heads that had run it before."""
    sends: int = 0
    """Number of attempts so far."""
    last_problem: SendFailure | None = None
    events: int = 0
    """Number of events forwarded so far."""
    has_content: bool = False
    """Whether an event has been forwarded that is more than a comment."""
    may_not_retry: bool = False
    """Whether no further attempt is made, as it may crash its backend server."""
    hedging: Hedging = attrs.field(factory=Hedging)
    """Its runs in progress."""
    is_hold_logged: bool = False
    """Whether the log tells that it waits for a blocked head."""

    @property
    def model(self) -> str:
        """The requested model."""
        return self.request.fields.model

    def forget_refusals(self) -> None:
        """Let heads be asked again that refused while no attempt was needed yet."""
        self.tried = [h for h in self.tried if h not in self.refused_beside]
        self.refused_beside.clear()

    def ask_again(self) -> None:
        """Let heads be asked again at which runs have ended."""
        self.tried = [h for h in self.tried if h not in self.broken]
        self.broken.clear()

    def record_send(self, head_id: str) -> None:
        """Record that the request is sent to a head."""
        self.tried.append(head_id)
        self.sends += 1
        self.repeats += head_id in self.request.ran_at

    def may_run(self, now_s: float) -> bool:
        """Return whether the route, the deadline and its events allow another run.

        Args:
            now_s: Current time in monotonic seconds.
        """
        request = self.request
        if not (self.can_resume and request.may_run(now_s)):
            return False
        # The request counts backend servers, each of them once.
        return request.counted_runs + self.repeats < request.route.attempts

    @property
    def can_resume(self) -> bool:
        """Whether another run can go on after what the caller has received."""
        return not self.has_content or self.order.last is not None

    @property
    def need(self) -> MemoryNeed:
        """Memory that the request needs at a group."""
        return MemoryNeed.from_request(self.request.fields, self.profile)
