"""Evidence of whether this node reaches the backend servers of a service.

A node that reaches none of them can't tell by its own attempts whether they are lost
or its own links are. Other nodes can.
"""

from __future__ import annotations

import math

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer, log_event, metrics

from ._backend_directory import BackendDirectory

MIN_FAILED_BACKENDS = 2
"""Backend servers that must have failed without a contact in between. A single one may
have crashed."""

SLOW_FAILURE_S = 0.2
"""A failure that took this long suffices alone: a busy node reaches some other backend
server meanwhile, unless its links are lost."""

RECENT_CUT_S = 10.0
"""Time after the end of a cut during which a single failure suffices: lost links often
come back for a moment only."""


@attrs.define(eq=False, repr=False)
class _ServiceContact:
    """The latest contacts and failures of one service."""

    reached_s: float = -math.inf
    """Time of the latest contact, in monotonic seconds."""
    failures: dict[str, float] = attrs.field(factory=dict)
    """When the first failed attempt since then began, by backend server."""
    cut_since_s: float | None = None
    cut_ended_s: float = -math.inf


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

    def record_reached(self, backend: BackendServer) -> None:
        """Record that a backend server has answered on a new connection."""
        now_s = self.timer.now_s()
        self._zones[backend.zone] = now_s
        contact = self._services.setdefault(backend.service, _ServiceContact())
        contact.reached_s = now_s
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
        contact.cut_ended_s = now_s

    def record_unreached(self, backend: BackendServer, began_s: float) -> None:
        """Record a failed attempt to reach a backend server.

        Args:
            backend: The backend server.
            began_s: When the attempt began, in monotonic seconds. An attempt that
                began before the latest contact with its service does not count.
        """
        contact = self._services.setdefault(backend.service, _ServiceContact())
        if began_s <= contact.reached_s:
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

    def _is_convincing(self, backend: BackendServer, contact: _ServiceContact) -> bool:
        now_s = self.timer.now_s()
        listed = len(self.directory.of_service(backend.service))
        is_recent = now_s - contact.cut_ended_s < RECENT_CUT_S
        needed = 1 if is_recent else min(MIN_FAILED_BACKENDS, max(listed, 1))
        is_slow = now_s - min(contact.failures.values()) >= SLOW_FAILURE_S
        return is_slow or len(contact.failures) >= needed

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

    def has_reached_since(self, zone: str, since_s: float) -> bool:
        """Return whether any backend server of a zone was reached since a time."""
        return self._zones.get(zone, -math.inf) >= since_s

    def keep_only(self, services: set[str]) -> None:
        """Drop the state of services that no longer have backend servers."""
        for service in set(self._services) - services:
            metrics.SERVICES_OUT_OF_REACH.labels(service).set(0)
            del self._services[service]
