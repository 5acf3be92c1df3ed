"""State of the node: whether it serves requests, and if not, why."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import attrs

from fordhatch.catalog import SystemBounds
from fordhatch.core import Failure, ResultCode, Timer, log_event, metrics
from fordhatch.registry import StoreView

from ._knowledge import Freshness, classify_freshness
from ._request import Reply

OTHER_NODE_RETRY_AFTER_S = 0.2
"""Retry-After of a request that this node can't serve but other nodes may: a short
delay, to spare them a burst."""

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


@attrs.define(eq=False, repr=False)
class NodeState:
    """The node's own state."""

    bounds: SystemBounds
    view: StoreView
    timer: Timer
    is_leaving: bool = False
    leaving_since_s: float = 0.0
    """When the signal to stop was received, in monotonic seconds."""
    has_served: bool = False
    """Whether any caller's request has arrived since the start."""
    in_flight: int = 0
    """Number of requests that are being served, of this node's callers or through
    it."""
    _starting_since_s: float | None = None
    """When the first request arrived before the tables were loaded."""

    def leave(self) -> None:
        """Record that the signal to stop was received."""
        self.is_leaving = True
        self.leaving_since_s = self.timer.now_s()

    @contextlib.contextmanager
    def counted(self, reply: Reply) -> Iterator[None]:
        """Count a caller's request while it is served; the caller may disconnect."""
        self.in_flight += 1
        self.has_served = True
        metrics.IN_FLIGHT.inc()
        try:
            yield
        except ConnectionError as error:
            # The caller has disconnected and gets no answer.
            reply.outcome = "caller_gone"
            log_event("caller_gone", error=repr(error))
        except asyncio.CancelledError:
            reply.outcome = "caller_gone"
            raise
        finally:
            self.in_flight -= 1
            metrics.IN_FLIGHT.dec()
            metrics.ANSWERS.labels(reply.outcome).inc()

    @contextlib.contextmanager
    def relaying(self) -> Iterator[None]:
        """Count a request of another node's caller while it is served through here."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

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
