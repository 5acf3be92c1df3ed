"""Evidence of whether this node reaches the backend servers of a service.

A node that reaches none of them can't tell by its own attempts whether they are lost
or its own links are. Other nodes can.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, log_event, metrics

from ._backend_directory import BackendDirectory

MIN_FAILED_BACKENDS = 3
"""Backend servers that must have failed without a contact in between. One may have
crashed, and now and then a second one that is chosen to compare."""


@attrs.define(eq=False, repr=False)
class _ServiceContact:
    """The latest contacts and failures of one service."""

    reached_s: float = -math.inf
    """Time of the latest contact, in monotonic seconds."""
    failures: dict[str, float] = attrs.field(factory=dict)
    """When the first failed attempt since then began, by backend server."""
    known_failing: set[str] = attrs.field(factory=set)
    """Backend servers that have failed while others were reached. Their failures say
    nothing about the links of this node."""
    cut_since_s: float | None = None


@attrs.define(eq=False, repr=False)
class BackendContact:
    """Which services' backend servers this node reaches, by its own attempts.

    Only new connections count: an open connection may live on while new ones fail.
    """

    timer: Timer
    directory: BackendDirectory
    _services: dict[str, _ServiceContact] = attrs.field(factory=dict)
    _zones: dict[str, float] = attrs.field(factory=dict)
    """Time of the latest contact with a backend server, by availability zone."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call ``call`` whenever a service goes out of reach."""
        self._subscribers.append(call)

    def record_reached(self, backend: BackendServer) -> None:
        """Record that a backend server has answered on a new connection."""
        now_s = self.timer.now_s()
        self._zones[backend.zone] = now_s
        contact = self._services.setdefault(backend.service, _ServiceContact())
        contact.reached_s = now_s
        if contact.cut_since_s is None:
            contact.known_failing.update(contact.failures)
        contact.known_failing.discard(backend.backend_id)
        contact.failures.clear()
        if contact.cut_since_s is None:
            return
        metrics.SERVICES_OUT_OF_REACH.labels(backend.service).set(0)
        log_event(
            "backends_reached_again",
            service=backend.service,
            backend=backend.backend_id,
            cut_s=round(now_s - contact.cut_since_s, 3),
        )
        contact.cut_since_s = None

    def record_unreached(self, backend: BackendServer, began_s: float) -> None:
        """Record a failed attempt to reach a backend server.

        Args:
            backend: The backend server.
            began_s: When the attempt began, in monotonic seconds. An attempt that
                began before the latest contact with its service does not count.
        """
        contact = self._services.setdefault(backend.service, _ServiceContact())
        if not self.is_news(backend, began_s):
            return
        contact.failures.setdefault(backend.backend_id, began_s)
        if contact.cut_since_s is None and self._is_convincing(backend, contact):
            contact.cut_since_s = min(contact.failures.values())
            metrics.SERVICES_OUT_OF_REACH.labels(backend.service).set(1)
            log_event(
                "backends_out_of_reach",
                service=backend.service,
                failed=",".join(sorted(contact.failures)),
                listed=len(self.directory.of_service(backend.service)),
            )
            for call in self._subscribers:
                call()

    def is_news(self, backend: BackendServer, began_s: float) -> bool:
        """Return whether a failed attempt says something about this node's links.

        Args:
            backend: The backend server that was not reached.
            began_s: When the attempt began, in monotonic seconds.
        """
        contact = self._services.get(backend.service)
        if contact is None:
            return True
        is_known = backend.backend_id in contact.known_failing
        return began_s > contact.reached_s and not is_known

    def _is_convincing(self, backend: BackendServer, contact: _ServiceContact) -> bool:
        listed = len(self.directory.of_service(backend.service))
        needed = min(MIN_FAILED_BACKENDS, max(listed, 1))
        return len(contact.failures) >= needed

    def is_cut_off(self, service: str) -> bool:
        """Return whether this node reaches no backend server of a service.

        A service without contact since the cut of another one counts as cut off too.
        """
        contact = self._services.get(service)
        if contact is not None and contact.cut_since_s is not None:
            return True
        reached_s = contact.reached_s if contact is not None else -math.inf
        since = [c.cut_since_s for c in self._services.values()]
        return any(s is not None and reached_s < s for s in since)

    def others(self, backend: BackendServer) -> list[BackendServer]:
        """Return the other backend servers of a backend server's service."""
        listed = self.directory.of_service(backend.service)
        return [b for b in listed if b.backend_id != backend.backend_id]

    def is_any_cut_off(self) -> bool:
        """Return whether any service is out of reach."""
        return any(c.cut_since_s is not None for c in self._services.values())

    def has_reached_since(self, zone: str, since_s: float) -> bool:
        """Return whether any backend server of a zone was reached since a time."""
        return self._zones.get(zone, -math.inf) >= since_s

    def keep_only(self, services: set[str]) -> None:
        """Drop the state of services that no longer have backend servers."""
        for contact in self._services.values():
            contact.known_failing &= set(self.directory.backends)
        for service in set(self._services) - services:
            metrics.SERVICES_OUT_OF_REACH.labels(service).set(0)
            del self._services[service]
