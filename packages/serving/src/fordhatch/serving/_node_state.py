"""State of the node: whether it serves requests, and if not, why."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager

import attrs

from fordhatch.catalog import SystemBounds
from fordhatch.core import Failure, MemoryAccount, ResultCode, Timer, record_bound
from fordhatch.registry import StoreView

from ._accepted_request import AcceptedRequest
from ._knowledge import Freshness, classify_freshness
from ._request import ServedRequest
from ._requests_in_progress import RequestsInProgress
from ._stop_plan import OTHER_NODE_RETRY_AFTER_S, StopPlan, shutting_down

START_WAIT_S = 0.8
"""How long a request waits for the tables of a node that has just started: reading them
takes up to half a second on a link of 10 Mbit/s. When every node has just started, a
retry at another node would not help."""

START_PERIOD_S = 2.0
"""Requests wait for the tables only this long after the first one; after that the store
is taken to be unavailable."""

START_POLL_INTERVAL_S = 0.02
"""Interval at which such a request checks whether the tables are loaded."""

START_RETRY_AFTER_S = 0.6
"""Retry-After of a request that came before the tables: when they are not loaded after
the wait, they take about as long again."""


SMALL_BODY_BYTES = 64 * 1024
"""Longest body of a request that is taken on while longer ones are refused."""


def _no_room() -> Failure:
    record_bound("request_bodies")
    return Failure.from_code(
        ResultCode.OVERLOADED,
        "other requests take the memory",
        retry_after_s=OTHER_NODE_RETRY_AFTER_S,
    )


@attrs.define(eq=False, repr=False)
class NodeState:
    """The node's own state."""

    bounds: SystemBounds
    view: StoreView
    timer: Timer
    stop: StopPlan | None = None
    """Set once the signal to stop was received."""
    has_served: bool = False
    """Whether any caller's request has arrived since the start."""
    requests: RequestsInProgress = attrs.field(init=False)
    """Requests that are being served, of this node's callers or through it."""
    memory: MemoryAccount = attrs.field(init=False)
    """What is held for these requests and for others."""
    _starting_since_s: float | None = None
    """When the first request arrived before the tables were loaded."""

    def __attrs_post_init__(self) -> None:
        """Create the record of requests in progress, and of what they hold."""
        self.memory = MemoryAccount(self.timer)
        self.requests = RequestsInProgress(
            self.timer, lambda: self.view.configuration.version, self.memory
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return len(self.requests)

    def accept(self, accepted: AcceptedRequest) -> AbstractAsyncContextManager[None]:
        """Count a caller's request while it is served, and log its end."""
        self.has_served = True
        return self.requests.accept(accepted)

    @property
    def is_leaving(self) -> bool:
        """Whether the signal to stop was received."""
        return self.stop is not None

    def leave(self, since_s: float | None = None, lateness_s: float = 0.0) -> None:
        """Record that the signal to stop was received.

        Args:
            since_s: The earliest time at which it may have come, in monotonic seconds;
                None for now.
            lateness_s: How late the event loop has been lately, in seconds.
        """
        now_s = self.timer.now_s()
        began_s = now_s if since_s is None else since_s
        grace_s = self.bounds.grace_s
        self.stop = StopPlan.from_grace(began_s, now_s, grace_s, lateness_s)

    def stop_refusal(self, request: ServedRequest) -> Failure | None:
        """Return why a request may not be sent, as it would outlast the process."""
        if self.stop is None:
            return None
        ends_s = self.timer.now_s() + self.requests.expected_s(request)
        return shutting_down() if ends_s > self.stop.answers_until_s else None

    def memory_refusal(self, body_bytes: int = 0) -> Failure | None:
        """Return why a request can't be taken on for want of memory, or None.

        Args:
            body_bytes: Length of its body if that is known, or else 0.
        """
        if body_bytes > SMALL_BODY_BYTES:
            return None if self.memory.has_room(body_bytes) else _no_room()
        return _no_room() if self.memory.is_exhausted else None

    def growth_refusal(self, body_bytes: int) -> Failure | None:
        """Return why no more of a body can be held, or None.

        Args:
            body_bytes: What is held and counted of it, in bytes.
        """
        is_short = body_bytes <= SMALL_BODY_BYTES
        return None if is_short or self.memory.has_room() else _no_room()

    def is_past_admission(self, arrived_s: float) -> bool:
        """Return whether a leaving node refuses all requests that arrive now."""
        if self.stop is None:
            return False
        return self.requests.is_stopping or arrived_s > self.stop.admits_until_s

    def freshness(self) -> Freshness:
        """Return the freshness of this node's configuration."""
        nodes = len(self.view.shared.nodes)
        is_system_wide = self.view.evidence.is_system_wide(self.timer.now_s(), nodes)
        return classify_freshness(
            self.view.configuration_age_s(),
            self.bounds,
            is_system_wide_outage=is_system_wide,
        )

    def _is_loaded(self) -> bool:
        is_configured = self.view.configuration.current is not None
        return is_configured and self.view.backends.is_loaded

    async def until_loaded(self, deadline_s: float | None = None) -> None:
        """Wait a short time for the tables if the node has just started.

        Args:
            deadline_s: Time that the caller gives its request, in seconds; None if it
                names none.
        """
        if self._is_loaded():
            return
        now_s = self.timer.now_s()
        if self._starting_since_s is None:
            self._starting_since_s = now_s
        if now_s - self._starting_since_s > START_PERIOD_S:
            return
        until_s = now_s + min(START_WAIT_S, deadline_s or START_WAIT_S)
        while not self._is_loaded() and self.timer.now_s() < until_s:
            await self.timer.sleep(START_POLL_INTERVAL_S)

    def refusal(self) -> Failure | None:
        """Return why no request may be served now, or None."""
        if not self._is_loaded():
            return Failure.from_code(
                ResultCode.NO_CONFIG, retry_after_s=START_RETRY_AFTER_S
            )
        if self.freshness() is Freshness.STALE:
            return Failure.from_code(
                ResultCode.CONFIGURATION_STALE, retry_after_s=OTHER_NODE_RETRY_AFTER_S
            )
        return None

    def is_ready(self) -> bool:
        """Return whether the balancer should send new callers here."""
        if self.is_leaving or self.refusal() is not None:
            return False
        return self.freshness() is not Freshness.AGEING
