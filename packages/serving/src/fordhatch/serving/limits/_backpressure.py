"""Back-off requests, rate limits and departures of backend servers.

A back-off applies to this node, a rate limit to all nodes together.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Set

import attrs

from fordhatch.catalog import BackendServer, Backpressure, PressureKind
from fordhatch.core import Timer, log_event, metrics
from fordhatch.protocol.messages import MAX_LIMIT_PER_S
from fordhatch.registry import BackendDirectory

from ._cold_backends import ColdBackends, ColdReport

MIN_LIMIT_CHANGE = 0.1
"""Fraction by which a limit must differ from the one notified last to count as
changed."""

MAX_BLOCK_S = 60.0
"""Longest time that a backend server is blocked, in seconds. If it requests a longer
back-off, or no permit is available for longer, it gets a request after this time: only
an answer shows that it serves again."""

BACKOFF_SPREAD_S = 0.3
"""Time over which nodes resume after a back-off, in seconds, so that they do not all
resume at the same moment."""

_NO_BACKENDS: Set[str] = frozenset()


@attrs.frozen
class ServerLimit:
    """A rate limit that a backend server has declared, as known to one node."""

    backend_id: str
    per_s: float | None
    """Requests a second from all nodes together; None if the limit was withdrawn."""
    received_s: float
    """When the answer that declared it was received, in monotonic seconds."""
    cold: ColdReport | None = None
    """Set if the limit applies because the backend server is cold."""


@attrs.frozen
class Block:
    """Why a backend server accepts no requests now, and for how long."""

    backend_id: str
    kind: PressureKind
    free_s: float
    """Time until it accepts requests again, in seconds."""


@attrs.define
class _KnownPressure:
    """What one backend server has requested."""

    limit: ServerLimit | None = None
    notified_per_s: float | None = None
    """The limit in the last notification of the subscribers."""
    blocked_until_s: float = -math.inf
    """Until then no permit is available for a request to it, in monotonic seconds."""
    backoff_until_s: float = -math.inf

    @property
    def free_at_s(self) -> float:
        """Time from which requests may be sent to it, in monotonic seconds."""
        if self.limit is None or self.limit.per_s is None:
            return self.backoff_until_s
        return max(self.backoff_until_s, self.blocked_until_s)


@attrs.define(eq=False, repr=False)
class BackpressureTracker:
    """Back-off requests, rate limits and departures by backend server."""

    timer: Timer
    directory: BackendDirectory
    """Records departures; a backend server found there is then marked as leaving."""
    cold: ColdBackends = attrs.field()
    """Backend servers with a limit because they are cold."""
    _by_backend: dict[str, _KnownPressure] = attrs.field(factory=dict)
    _limit_subscribers: list[Callable[[ServerLimit], None]] = attrs.field(factory=list)
    _leaving_subscribers: list[Callable[[str], None]] = attrs.field(factory=list)

    @cold.default
    def _no_cold_services(self) -> ColdBackends:
        return ColdBackends(self.timer, self.directory)

    def subscribe_limits(self, callback: Callable[[ServerLimit], None]) -> None:
        """Register a callback for limits that are new to this node or withdrawn."""
        self._limit_subscribers.append(callback)

    def subscribe_departures(self, callback: Callable[[str], None]) -> None:
        """Register a callback for backend servers newly known to be leaving."""
        self._leaving_subscribers.append(callback)

    # Input from answers and from other nodes.

    def process_answer(self, backend: BackendServer, said: Backpressure | None) -> None:
        """Process the backpressure in an answer whose head has just been received.

        Args:
            backend: The backend server that answered.
            said: What it requests; None if the answer is not its own.
        """
        if said is None:
            return
        if said.is_cold_unreadable:
            self.cold.observe_malformed_answer(backend)
        elif said.cold_left_s is not None:
            self.cold.observe_answer(backend, said.cold_left_s)
        for kind in said.unreadable:
            metrics.BACKPRESSURE_UNREADABLE.labels(kind.value).inc()
            log_event(
                "backpressure_unreadable", backend=backend.backend_id, kind=kind.value
            )
        if said == Backpressure() and backend.backend_id not in self._by_backend:
            return
        known = self._by_backend.setdefault(backend.backend_id, _KnownPressure())
        if PressureKind.LIMIT not in said.unreadable:
            self._update_limit(backend.backend_id, said.limit_per_s)
        if said.rest_s is not None:
            self._apply_backoff(backend, known, said.rest_s)
        if said.is_leaving:
            self.record_departure(backend.backend_id)

    def _update_limit(self, backend_id: str, limit_per_s: float | None) -> None:
        if limit_per_s is not None:
            limit_per_s = min(limit_per_s, MAX_LIMIT_PER_S)
        self.apply_limit(ServerLimit(backend_id, limit_per_s, self.timer.now_s()))

    def record_departure(self, backend_id: str) -> None:
        """Record that a backend server is leaving."""
        if not self.directory.record_departure(backend_id):
            return
        log_event("backend_said_leaving", backend=backend_id)
        for callback in self._leaving_subscribers:
            callback(backend_id)

    def apply_limit(self, found: ServerLimit) -> None:
        """Apply a limit or its withdrawal, unless a newer report is known."""
        known = self._by_backend.setdefault(found.backend_id, _KnownPressure())
        before = known.limit
        if before is None and found.per_s is None:
            return
        if before is not None and found.received_s <= before.received_s:
            return
        known.limit = found
        if not _is_significant(known.notified_per_s, found.per_s):
            return
        log_event(
            "backend_limit_changed",
            backend=found.backend_id,
            limit_per_s="" if found.per_s is None else found.per_s,
            before_per_s="" if known.notified_per_s is None else known.notified_per_s,
            age_s=round(self.timer.now_s() - found.received_s, 3),
        )
        known.notified_per_s = found.per_s
        # Permit denials do not apply to another limit.
        known.blocked_until_s = -math.inf
        for callback in self._limit_subscribers:
            callback(found)

    def _apply_backoff(
        self, backend: BackendServer, known: _KnownPressure, rest_s: float
    ) -> None:
        """Send nothing to a backend server for as long as it requests.

        Only time ends a back-off. An answer to an older request says nothing about the
        current state of the backend server, and one that refuses some requests serves
        others in between.
        """
        now_s = self.timer.now_s()
        is_new = known.backoff_until_s <= now_s
        spread_s = BACKOFF_SPREAD_S * self.timer.rng.random()
        until_s = now_s + min(rest_s, MAX_BLOCK_S - BACKOFF_SPREAD_S) + spread_s
        known.backoff_until_s = max(known.backoff_until_s, until_s)
        if is_new:
            log_event(
                "backend_asked_for_rest",
                backend=backend.backend_id,
                service=backend.service,
                rest_s=rest_s,
            )

    # Resulting state.

    def limit(self, backend_id: str) -> ServerLimit | None:
        """Return the limit that is in effect for a backend server, or None."""
        known = self._by_backend.get(backend_id)
        if known is None or known.limit is None or known.limit.per_s is None:
            return None
        return known.limit

    def limits(self) -> list[ServerLimit]:
        """Return all limits that are in effect."""
        found = (self.limit(backend_id) for backend_id in self._by_backend)
        return [limit for limit in found if limit is not None]

    def block(self, backend_id: str, for_s: float) -> None:
        """Send nothing to a rate-limited backend server for a while."""
        known = self._by_backend.setdefault(backend_id, _KnownPressure())
        known.blocked_until_s = self.timer.now_s() + min(for_s, MAX_BLOCK_S)

    def free_at_s(self, backend_id: str) -> float:
        """Return the time from which a backend server may get requests.

        Returns:
            Monotonic seconds; minus infinity if nothing is known of it.
        """
        known = self._by_backend.get(backend_id)
        free_at_s = known.free_at_s if known is not None else -math.inf
        return max(free_at_s, self.cold.blocked_until_s(backend_id))

    def blocked_backends(self) -> Set[str]:
        """Return the backend servers that may get no requests now.

        Few backend servers request anything, so a choice among many calls this once.
        """
        cold = self.cold.blocked_backends()
        if not self._by_backend:
            return cold or _NO_BACKENDS
        now_s = self.timer.now_s()
        held = {b for b, known in self._by_backend.items() if known.free_at_s > now_s}
        return held | cold if cold else held

    def is_blocked(self, backend_id: str) -> bool:
        """Return whether a backend server may get no requests now."""
        return self.free_at_s(backend_id) > self.timer.now_s()

    def first_block(self, backends: Iterable[BackendServer]) -> Block | None:
        """Return the block that ends first, for backend servers that are all blocked.

        Returns:
            The block; None if there are no backend servers.
        """
        first = min(backends, key=lambda b: self.free_at_s(b.backend_id), default=None)
        if first is None:
            return None
        backend_id = first.backend_id
        free_s = max(self.free_at_s(backend_id) - self.timer.now_s(), 0.0)
        return Block(backend_id, self._block_kind(backend_id), free_s)

    def _block_kind(self, backend_id: str) -> PressureKind:
        if self._is_backing_off(backend_id):
            return PressureKind.REST
        is_cold = self.cold.blocked_until_s(backend_id) > self.timer.now_s()
        return PressureKind.COLD if is_cold else PressureKind.LIMIT

    def _is_backing_off(self, backend_id: str) -> bool:
        known = self._by_backend.get(backend_id)
        return known is not None and known.backoff_until_s > self.timer.now_s()

    def blocking_reason(self, backend_id: str) -> PressureKind | None:
        """Return why a request that has its permit may still not be sent, or None."""
        if self.directory.departures.has(backend_id):
            return PressureKind.LEAVING
        return PressureKind.REST if self._is_backing_off(backend_id) else None

    def counts(self) -> Counter[tuple[str, PressureKind]]:
        """Return how many backend servers request what, by service and kind."""
        found: Counter[tuple[str, PressureKind]] = Counter()
        for backend in self.directory.backends.values():
            is_requested_by_kind = {
                PressureKind.REST: self._is_backing_off(backend.backend_id),
                PressureKind.LIMIT: self.limit(backend.backend_id) is not None,
                PressureKind.LEAVING: self.directory.departures.has(backend.backend_id),
            }
            for kind, is_requested in is_requested_by_kind.items():
                found[backend.service, kind] += is_requested
        return found

    def keep_only(self, backend_ids: set[str]) -> None:
        """Drop the state of backend servers that are no longer listed."""
        for backend_id in set(self._by_backend) - backend_ids:
            del self._by_backend[backend_id]
        self.cold.prune(backend_ids)


def _is_significant(notified_per_s: float | None, per_s: float | None) -> bool:
    if notified_per_s is None or per_s is None:
        return notified_per_s != per_s
    return abs(per_s - notified_per_s) > MIN_LIMIT_CHANGE * notified_per_s
