"""Load of the backend servers by the requests of all nodes.

Each node reports its own requests in flight to one node, the collector, and gets the
totals of the other nodes back.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache

import attrs
import xxhash

from fordhatch.core import Timer
from fordhatch.registry import ActiveConfiguration

MAX_TOTAL_AGE_S = 1.0
"""Maximum age of the other nodes' totals; older ones are not used. Most of the requests
of that time have ended, and five reports in a row were lost."""

MEAN_S = 1.0
"""Time constant of the mean totals, in seconds; several intervals between reports."""

MIN_MEAN = 0.01
"""Smaller means count as 0, so that idle backend servers need no entry."""


@lru_cache(maxsize=4096)
def load_key(backend_id: str) -> int:
    """Return the key of a backend server in messages about load, 32 bits long.

    Ids are five times as long and would be most of each message. Two backend servers
    with the same key count as busier than they are; with 200 backend servers that
    happens in one of 200,000 systems.
    """
    return xxhash.xxh32_intdigest(backend_id.encode())


@attrs.define
class BackendLoad:
    """Requests in flight at a backend server, and the tokens that they occupy there."""

    requests: int = 0
    tokens: int = 0


_NO_LOAD = BackendLoad()


@attrs.frozen
class Totals:
    """Requests of this node now, and of the other nodes by their last totals.

    Valid until the next step of the event loop.
    """

    _own: Mapping[str, BackendLoad]
    _others: Mapping[int, BackendLoad]

    def own_in_flight(self, backend_id: str) -> int:
        """Return this node's requests in flight at a backend server."""
        return self._own.get(backend_id, _NO_LOAD).requests

    def in_flight(self, backend_id: str) -> int:
        """Return the requests in flight at a backend server."""
        others = self._others.get(load_key(backend_id), _NO_LOAD)
        return self._own.get(backend_id, _NO_LOAD).requests + others.requests

    def tokens(self, backend_id: str) -> int:
        """Return the tokens of the requests in flight at a backend server."""
        others = self._others.get(load_key(backend_id), _NO_LOAD)
        return self._own.get(backend_id, _NO_LOAD).tokens + others.tokens


@attrs.define(eq=False, repr=False)
class SharedLoad:
    """This node's requests in flight, and the other nodes' totals with their age.

    Counts only requests of services whose configuration calls for it.
    """

    timer: Timer
    is_shared: Callable[[str], bool] = lambda _: False
    """Returns whether a service calls for load balancing by the load of all nodes."""
    on_begin: Callable[[], None] = lambda: None
    """Called when the first request begins while none is in flight."""
    _own: dict[str, BackendLoad] = attrs.field(factory=dict)
    """This node's requests in flight, by backend server; without empty entries."""
    _others: Mapping[int, BackendLoad] = attrs.field(factory=dict)
    """The other nodes' requests, by key of the backend server."""
    _others_at_s: float = -math.inf
    """Mean time of the other nodes' reports, in monotonic seconds."""
    _means: dict[int, float] = attrs.field(factory=dict)
    _means_at_s: float = -math.inf

    @classmethod
    def from_configuration(
        cls, timer: Timer, configuration: ActiveConfiguration
    ) -> SharedLoad:
        """Create an instance for the services that the configuration names.

        Args:
            timer: The node's timer.
            configuration: The operators' configuration that is in force.
        """

        def is_shared(service: str) -> bool:
            current = configuration.current
            return current is not None and current.has_urgency_classes(service)

        return cls(timer, is_shared)

    @contextlib.contextmanager
    def counted(self, service: str, backend_id: str, tokens: int) -> Iterator[None]:
        """Count a request while it is at a backend server.

        Args:
            service: Its service; those that don't call for it are not counted.
            backend_id: The backend server.
            tokens: Prompt and expected output.
        """
        if not self.is_shared(service):
            yield
            return
        is_first = not self._own
        load = self._own.setdefault(backend_id, BackendLoad())
        load.requests += 1
        load.tokens += tokens
        if is_first:
            self.on_begin()
        try:
            yield
        finally:
            load.requests -= 1
            load.tokens -= tokens
            if load.requests == 0:
                del self._own[backend_id]

    def has_own(self) -> bool:
        """Return whether any request of this node is counted."""
        return bool(self._own)

    def report(self) -> dict[int, BackendLoad]:
        """Return this node's requests in flight, by key of the backend server."""
        report: dict[int, BackendLoad] = {}
        for backend_id, load in self._own.items():
            total = report.setdefault(load_key(backend_id), BackendLoad())
            total.requests += load.requests
            total.tokens += load.tokens
        return report

    def apply_totals(
        self, others: Mapping[int, BackendLoad], age_s: float, asked_s: float
    ) -> None:
        """Apply the collector's reply.

        Args:
            others: Totals of the other nodes' requests, by key of the backend server.
            age_s: Mean age of their reports when the reply was sent, in seconds.
            asked_s: When this node sent the report that was replied to, in monotonic
                seconds. The reply's time on the way counts as age.
        """
        now_s = self.timer.now_s()
        is_first = not self.is_recent()
        self._others = others
        self._others_at_s = asked_s - age_s
        self._update_means(now_s, is_first=is_first)

    def _update_means(self, now_s: float, *, is_first: bool) -> None:
        weight = -math.expm1((self._means_at_s - now_s) / MEAN_S)
        self._means_at_s = now_s
        before = {} if is_first else self._means
        self._means = {}
        totals = {key: load.requests for key, load in self.report().items()}
        for key, load in self._others.items():
            totals[key] = totals.get(key, 0) + load.requests
        for key in before.keys() | totals.keys():
            total = float(totals.get(key, 0))
            mean = before.get(key, total)
            mean += weight * (total - mean)
            if mean >= MIN_MEAN:
                self._means[key] = mean

    def age_s(self) -> float:
        """Return the age of the other nodes' totals in seconds; infinite without any.

        The source is the collector's last reply.
        """
        return max(self.timer.now_s() - self._others_at_s, 0.0)

    def is_recent(self) -> bool:
        """Return whether the other nodes' totals are recent enough to be used."""
        return self.age_s() <= MAX_TOTAL_AGE_S

    def is_used_for(self, service: str) -> bool:
        """Return whether requests of a service are balanced by the totals now."""
        return self.is_recent() and self.is_shared(service)

    def totals(self) -> Totals:
        """Return the totals now; without recent ones, this node's own requests."""
        return Totals(self._own, self._others if self.is_recent() else {})

    def total_in_flight(self, backend_id: str) -> float:
        """Return the requests in flight at a backend server, of all nodes.

        Without recent totals these are only this node's own.
        """
        return float(self.totals().in_flight(backend_id))

    def total_tokens(self, backend_id: str) -> float:
        """Return the tokens of the requests in flight at a backend server.

        Without recent totals these are only the tokens of this node's own requests.
        """
        return float(self.totals().tokens(backend_id))

    def mean_in_flight(self, backend_id: str) -> float:
        """Return the recent mean of the requests in flight of all nodes.

        For backend servers whose requests are shorter than the age of the totals, whose
        momentary numbers have changed several times until they are known.
        """
        return self._means.get(load_key(backend_id), 0.0)
