"""A caller's stream across all of its runs."""

from __future__ import annotations

import attrs

from fordhatch.catalog import EngineProfile

from ._events import EventOrder
from ._request import Reply, ServedRequest
from .exchange import SendFailure
from .hedging import Hedging
from .load import MemoryNeed


@attrs.define(eq=False, repr=False)
class Stream:
    """One caller's stream across all of its runs."""

    request: ServedRequest
    reply: Reply
    order: EventOrder
    profile: EngineProfile
    tried: list[str] = attrs.field(factory=list)
    """Heads that the request was sent to, in order."""
    last_problem: SendFailure | None = None
    events: int = 0
    """Number of events forwarded so far."""
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

    @property
    def can_resume(self) -> bool:
        """Whether another run can go on after what the caller has received."""
        return not self.events or self.order.last is not None

    @property
    def need(self) -> MemoryNeed:
        """Memory that the request needs at a group."""
        return MemoryNeed.from_request(self.request.fields, self.profile)
