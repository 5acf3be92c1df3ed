"""Whether this node serves, and why not."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import attrs

from fordhatch.catalog import SystemBounds
from fordhatch.core import Failure, ResultCode, Timer, log_event, metrics
from fordhatch.registry import StoreView

from ._request import Reply

FRESH_SHARE = 0.7
"""Share of the time within which a removed API key must be refused everywhere, for
which a confirmation of the configuration is good. The rest covers a store that
notifies late, by about a second."""

READY_SHARE = 0.5
"""The node asks for no new callers when its confirmation is older than this share;
the balancer needs about two seconds to notice."""

RETRY_AFTER_S = 0.2
"""When a caller may come back whose request this node can't serve: at once, as other
nodes may well serve it; a little later spares them a burst."""


@attrs.define(eq=False, repr=False)
class NodeState:
    """The node's own condition."""

    bounds: SystemBounds
    view: StoreView
    timer: Timer
    is_leaving: bool = False
    leaving_since_s: float = 0.0
    """When the signal to stop came, in monotonic seconds."""
    has_served: bool = False
    """Whether any caller's request has come since the start."""
    in_flight: int = 0
    """Callers' requests that are open."""

    def leave(self) -> None:
        """Note that the signal to stop has come."""
        self.is_leaving = True
        self.leaving_since_s = self.timer.now_s()

    @contextlib.contextmanager
    def counted(self, reply: Reply) -> Iterator[None]:
        """Count a caller's request while it is served; callers may leave."""
        self.in_flight += 1
        self.has_served = True
        metrics.IN_FLIGHT.inc()
        try:
            yield
        except ConnectionError as error:
            # The caller has left; nobody waits for an answer.
            reply.outcome = "caller_gone"
            log_event("caller_gone", error=repr(error))
        except asyncio.CancelledError:
            reply.outcome = "caller_gone"
            raise
        finally:
            self.in_flight -= 1
            metrics.IN_FLIGHT.dec()
            metrics.ANSWERS.labels(reply.outcome).inc()

    @property
    def fresh_s(self) -> float:
        """How old a confirmation of the configuration may be."""
        apply_s = self.bounds.config_apply_s + self.bounds.outer_s
        if not self.bounds.is_revocation_strict:
            return apply_s * FRESH_SHARE
        return min(self.bounds.revoke_s, apply_s) * FRESH_SHARE

    def why_not(self) -> Failure | None:
        """Return why no request may be served now, or None."""
        if self.view.configuration.current is None or not self.view.backends.is_loaded:
            return Failure.from_code(ResultCode.NO_CONFIG, retry_after_s=RETRY_AFTER_S)
        if self.view.configuration_age_s() > self.fresh_s:
            return Failure.from_code(
                ResultCode.CONFIGURATION_STALE, retry_after_s=RETRY_AFTER_S
            )
        return None

    def is_ready(self) -> bool:
        """Return whether the balancer should send new callers here."""
        if self.is_leaving or self.why_not() is not None:
            return False
        share = READY_SHARE / FRESH_SHARE
        return self.view.configuration_age_s() <= self.fresh_s * share
