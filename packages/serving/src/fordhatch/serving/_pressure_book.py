"""What backend servers have asked of this node, and of all nodes together."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Set

import attrs

from fordhatch.catalog import BackendServer, Backpressure, PressureKind
from fordhatch.core import Timer, log_event, metrics
from fordhatch.protocol.messages import MOST_LIMIT_PER_S
from fordhatch.registry import BackendDirectory

NEWS_SHARE = 0.1
"""A limit that differs by less from the one that was told last is no news."""

MOST_HOLD_S = 60.0
"""A server that asks for a longer rest, or for which no permit can be had for longer,
is asked again after this: nothing else would show that it serves."""

REST_SPREAD_S = 0.3
"""After a rest nodes come back within this time, not all in one moment."""

_NOBODY: Set[str] = frozenset()


@attrs.frozen
class ServerLimit:
    """A limit that a backend server has named, as one node knows it."""

    backend_id: str
    per_s: float | None
    """Requests a second from all nodes together; None if it names none any more."""
    said_s: float
    """When the answer came that said so, in monotonic seconds."""


@attrs.frozen
class Hold:
    """Why no request may go to a backend server now, and for how long."""

    backend_id: str
    kind: PressureKind
    free_s: float
    """Time until it takes requests again, in seconds."""


@attrs.define
class _Asked:
    """What one backend server has asked for."""

    limit: ServerLimit | None = None
    told_per_s: float | None = None
    """The limit that subscribers were told last."""
    held_until_s: float = -math.inf
    """Before this no permit can be had for a request to it."""
    rest_until_s: float = -math.inf

    @property
    def free_at_s(self) -> float:
        """From when on a request may go there."""
        if self.limit is None or self.limit.per_s is None:
            return self.rest_until_s
        return max(self.rest_until_s, self.held_until_s)


@attrs.define(eq=False, repr=False)
class PressureBook:
    """Requests for rest, limits and departures, by backend server."""

    timer: Timer
    directory: BackendDirectory
    """Takes departures: whoever looks for a server there finds that it leaves."""
    _asked: dict[str, _Asked] = attrs.field(factory=dict)
    _limit_subscribers: list[Callable[[ServerLimit], None]] = attrs.field(factory=list)
    _leaving_subscribers: list[Callable[[str], None]] = attrs.field(factory=list)

    def subscribe_limits(self, call: Callable[[ServerLimit], None]) -> None:
        """Call back with each limit that is new to this node, or has ended."""
        self._limit_subscribers.append(call)

    def subscribe_departures(self, call: Callable[[str], None]) -> None:
        """Call back with each backend server of which it is new that it leaves."""
        self._leaving_subscribers.append(call)

    # What answers say.

    def heard(self, backend: BackendServer, said: Backpressure | None) -> None:
        """Take what an answer says whose head has just come.

        Args:
            backend: The backend server that has answered.
            said: What it asks for; None if the answer is not its own.
        """
        if said is None:
            return
        for kind in said.unreadable:
            metrics.BACKPRESSURE_UNREADABLE.labels(kind.value).inc()
            log_event(
                "backpressure_unreadable", backend=backend.backend_id, kind=kind.value
            )
        if said == Backpressure() and backend.backend_id not in self._asked:
            return
        known = self._asked.setdefault(backend.backend_id, _Asked())
        if PressureKind.LIMIT not in said.unreadable:
            self._hear_limit(backend.backend_id, said.limit_per_s)
        if said.rest_s is not None:
            self._take_rest(backend, known, said.rest_s)
        if said.is_leaving:
            self.take_leaving(backend.backend_id)

    def _hear_limit(self, backend_id: str, limit_per_s: float | None) -> None:
        if limit_per_s is not None:
            limit_per_s = min(limit_per_s, MOST_LIMIT_PER_S)
        self.take_limit(ServerLimit(backend_id, limit_per_s, self.timer.now_s()))

    def take_leaving(self, backend_id: str) -> None:
        """Take the word that a backend server leaves."""
        if not self.directory.note_leaving(backend_id):
            return
        log_event("backend_said_leaving", backend=backend_id)
        for call in self._leaving_subscribers:
            call(backend_id)

    def take_limit(self, found: ServerLimit) -> None:
        """Take a limit, or its end; older words than the known one say nothing."""
        known = self._asked.setdefault(found.backend_id, _Asked())
        before = known.limit
        if before is None and found.per_s is None:
            return
        if before is not None and found.said_s <= before.said_s:
            return
        known.limit = found
        if not _is_news(known.told_per_s, found.per_s):
            return
        log_event(
            "backend_limit_changed",
            backend=found.backend_id,
            limit_per_s="" if found.per_s is None else found.per_s,
            before_per_s="" if known.told_per_s is None else known.told_per_s,
            age_s=round(self.timer.now_s() - found.said_s, 3),
        )
        known.told_per_s = found.per_s
        # What was said about permits does not hold for another limit.
        known.held_until_s = -math.inf
        for call in self._limit_subscribers:
            call(found)

    def _take_rest(self, backend: BackendServer, known: _Asked, rest_s: float) -> None:
        """Leave a server alone for as long as it asks.

        Only time ends a rest: an answer to an older request says nothing of what the
        server wants, and one that refuses some requests serves others in between.
        """
        now_s = self.timer.now_s()
        is_new = known.rest_until_s <= now_s
        spread_s = REST_SPREAD_S * self.timer.rng.random()
        until_s = now_s + min(rest_s, MOST_HOLD_S - REST_SPREAD_S) + spread_s
        known.rest_until_s = max(known.rest_until_s, until_s)
        if is_new:
            log_event(
                "backend_asked_for_rest",
                backend=backend.backend_id,
                service=backend.service,
                rest_s=rest_s,
            )

    # What follows from it.

    def limit(self, backend_id: str) -> ServerLimit | None:
        """Return the limit that a backend server names now, if it names one."""
        known = self._asked.get(backend_id)
        if known is None or known.limit is None or known.limit.per_s is None:
            return None
        return known.limit

    def limits(self) -> list[ServerLimit]:
        """Return every limit that is named now."""
        found = (self.limit(backend_id) for backend_id in self._asked)
        return [limit for limit in found if limit is not None]

    def hold_off(self, backend_id: str, for_s: float) -> None:
        """Send nothing to a limited backend server for a while."""
        known = self._asked.setdefault(backend_id, _Asked())
        known.held_until_s = self.timer.now_s() + min(for_s, MOST_HOLD_S)

    def free_at_s(self, backend_id: str) -> float:
        """Return from when on a request may go to a backend server."""
        known = self._asked.get(backend_id)
        return known.free_at_s if known is not None else -math.inf

    def held(self) -> Set[str]:
        """Return the backend servers to which no request may go now.

        Few servers ask for anything: a choice among many looks here once.
        """
        if not self._asked:
            return _NOBODY
        now_s = self.timer.now_s()
        return {b for b, known in self._asked.items() if known.free_at_s > now_s}

    def is_held(self, backend_id: str) -> bool:
        """Return whether no request may go to a backend server now."""
        return self.free_at_s(backend_id) > self.timer.now_s()

    def first_hold(self, backends: Iterable[BackendServer]) -> Hold | None:
        """Return the hold that ends first, of backend servers that are all held.

        Returns:
            The hold; None where there are no backend servers.
        """
        first = min(backends, key=lambda b: self.free_at_s(b.backend_id), default=None)
        if first is None:
            return None
        backend_id = first.backend_id
        free_s = max(self.free_at_s(backend_id) - self.timer.now_s(), 0.0)
        is_resting = self._is_resting(backend_id)
        kind = PressureKind.REST if is_resting else PressureKind.LIMIT
        return Hold(backend_id, kind, free_s)

    def _is_resting(self, backend_id: str) -> bool:
        known = self._asked.get(backend_id)
        return known is not None and known.rest_until_s > self.timer.now_s()

    def why_not(self, backend_id: str) -> PressureKind | None:
        """Return why a request that has its permit may still not be sent."""
        if self.directory.departures.has(backend_id):
            return PressureKind.LEAVING
        return PressureKind.REST if self._is_resting(backend_id) else None

    def counts(self) -> Counter[tuple[str, PressureKind]]:
        """Return how many backend servers ask for what, by service and kind."""
        found: Counter[tuple[str, PressureKind]] = Counter()
        for backend in self.directory.backends.values():
            kinds = {
                PressureKind.REST: self._is_resting(backend.backend_id),
                PressureKind.LIMIT: self.limit(backend.backend_id) is not None,
                PressureKind.LEAVING: self.directory.departures.has(backend.backend_id),
            }
            for kind, is_asked in kinds.items():
                found[backend.service, kind] += is_asked
        return found

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget backend servers that are gone."""
        for backend_id in set(self._asked) - backend_ids:
            del self._asked[backend_id]


def _is_news(told_per_s: float | None, per_s: float | None) -> bool:
    if told_per_s is None or per_s is None:
        return told_per_s != per_s
    return abs(per_s - told_per_s) > NEWS_SHARE * told_per_s
