"""Backpressure that backend servers report, and checks that nodes respect it."""

from __future__ import annotations

import asyncio
import math
import random

import attrs

from fordhatch.catalog import Backpressure

REACTION_TIME_S = 0.5
"""Time from sending an answer until its receiver must act on it."""

LIMIT_SETTLING_S = 3.0
"""Time from the start of a limit until all nodes together must respect it."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_TOLERANCE = 5.0
"""Requests above the limit that a window may contain.

The maximum is the limit for the window times ``LIMIT_FACTOR``, plus this tolerance.
"""

EXEMPTION_S = REACTION_TIME_S + LIMIT_WINDOW_S
"""Time from a node's start until its first requests no longer count.

They leave the window one reaction time and one window after the start.
"""

MAX_IN_BACKOFF = 2
"""Maximum number of requests from a node within its back-off."""

DRAIN_S = 2.0
"""Time from reporting a departure to a node until it must send no more requests."""


@attrs.frozen
class Arrival:
    """Arrival of a node's request at a backend server."""

    at_s: float
    node: str


@attrs.define
class Backoff:
    """A back-off that a node was asked to observe."""

    since_s: float
    until_s: float
    request_count: int = 0
    """Requests received within the back-off, after the reaction time."""


@attrs.define(eq=False, repr=False)
class _Server:
    """Reports of one backend server, and when they were sent to each node."""

    limit_per_s: float | None = None
    limited_since_s: float = math.inf
    rest_s: float | None = None
    refused_share: float = 1.0
    is_leaving: bool = False
    limit_sent_s: dict[str, float] = attrs.field(factory=dict)
    leaving_sent_s: dict[str, float] = attrs.field(factory=dict)
    backoffs: dict[str, Backoff] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)


@attrs.define(eq=False, repr=False)
class PressureLog:
    """Records the reports and the received requests of backend servers, by id."""

    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    identifies_nodes: bool = True
    """Whether requests identify the node that sends them.

    Otherwise back-offs and departures, which each node respects separately, cannot be
    checked.
    """
    breaches: list[str] = attrs.field(factory=list)
    excused_until_s: float = -math.inf
    """Time before which the limits of backend servers are not checked."""
    _servers: dict[str, _Server] = attrs.field(factory=dict)

    def _server(self, backend_id: str) -> _Server:
        return self._servers.setdefault(backend_id, _Server())

    def limit(self, backend_id: str, limit_per_s: float | None) -> None:
        """Make a backend server report a limit from now on; None removes it."""
        server = self._server(backend_id)
        server.limit_per_s = limit_per_s
        server.limited_since_s = _now_s() if limit_per_s is not None else math.inf
        server.limit_sent_s.clear()

    def rest(
        self, backend_id: str, rest_s: float | None, refused_share: float = 1.0
    ) -> None:
        """Make a backend server refuse requests and ask for a back-off.

        Args:
            backend_id: Id of the backend server.
            rest_s: Back-off in seconds; None ends the refusals.
            refused_share: Fraction of the requests that are refused.
        """
        server = self._server(backend_id)
        server.rest_s = rest_s
        server.refused_share = refused_share

    def leave(self, backend_id: str) -> None:
        """Make a backend server report that it is leaving."""
        self._server(backend_id).is_leaving = True

    def excuse(self) -> None:
        """Exempt a node that has just started and does not know the limits yet."""
        self.excused_until_s = _now_s() + EXEMPTION_S

    def arrived(self, backend_id: str, node: str) -> bool:
        """Record a request and return whether it is refused with a back-off."""
        server, now_s = self._server(backend_id), _now_s()
        server.arrivals.append(Arrival(now_s, node))
        self._check_limit(backend_id, server, now_s)
        self._check_backoff(backend_id, server, node, now_s)
        self._check_leaving(backend_id, server, node, now_s)
        if server.rest_s is None:
            return False
        return self.rng.random() < server.refused_share

    def answered(self, backend_id: str, node: str, *, refused: bool) -> Backpressure:
        """Return the backpressure that an answer sent now reports."""
        server, now_s = self._server(backend_id), _now_s()
        if server.limit_per_s is not None:
            server.limit_sent_s.setdefault(node, now_s)
        if server.is_leaving:
            server.leaving_sent_s.setdefault(node, now_s)
        rest_s = server.rest_s if refused else None
        if rest_s is not None:
            backoff = server.backoffs.get(node)
            if backoff is None or backoff.until_s <= now_s:
                server.backoffs[node] = Backoff(now_s, now_s + rest_s)
        return Backpressure(rest_s, server.limit_per_s, server.is_leaving)

    def _check_leaving(
        self, backend_id: str, server: _Server, node: str, now_s: float
    ) -> None:
        late_s = now_s - server.leaving_sent_s.get(node, math.inf)
        if late_s > DRAIN_S and self.identifies_nodes:
            self.breaches.append(
                f"{backend_id}: {node} sends {late_s:.1f} s after it leaves"
            )

    def _check_limit(self, backend_id: str, server: _Server, now_s: float) -> None:
        since_s = max(server.limited_since_s + LIMIT_SETTLING_S, self.excused_until_s)
        if now_s < since_s:
            return
        request_count = self.count_for_limit(backend_id, now_s)
        maximum = LIMIT_FACTOR * LIMIT_WINDOW_S * server.limit_per_s + LIMIT_TOLERANCE
        if request_count > maximum:
            self.breaches.append(
                f"{backend_id}: {request_count} requests within {LIMIT_WINDOW_S:g} s "
                f"at {now_s:.1f} s, {maximum:.1f} are allowed"
            )

    def count_for_limit(self, backend_id: str, now_s: float) -> int:
        """Return the number of requests within the last window that count.

        A node's requests count from one reaction time after the limit was first
        sent to it.
        """
        server = self._server(backend_id)
        count = 0
        for arrival in reversed(server.arrivals):
            if arrival.at_s <= now_s - LIMIT_WINDOW_S:
                break
            sent_s = server.limit_sent_s.get(arrival.node, math.inf)
            count += arrival.at_s >= sent_s + REACTION_TIME_S
        return count

    def _check_backoff(
        self, backend_id: str, server: _Server, node: str, now_s: float
    ) -> None:
        backoff = server.backoffs.get(node)
        if backoff is None or not self.identifies_nodes:
            return
        if not backoff.since_s + REACTION_TIME_S <= now_s <= backoff.until_s:
            return
        backoff.request_count += 1
        if backoff.request_count > MAX_IN_BACKOFF:
            self.breaches.append(
                f"{backend_id}: request {backoff.request_count} of {node} within its "
                f"rest of {backoff.until_s - backoff.since_s:g} s"
            )

    def arrivals(self, backend_id: str, since_s: float) -> list[Arrival]:
        """Return the requests received since a time."""
        return [a for a in self._server(backend_id).arrivals if a.at_s >= since_s]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
