"""Which backend servers are cold, and until when.

A backend server that has started, or become cold again, tolerates few requests for some
seconds. Decides from reports and presumptions, without a network; the permits enforce
the resulting limit.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping, Set

import attrs

from fordhatch.adapter import BackendClient, BackendReport
from fordhatch.catalog import BackendServer, Configuration, Service, SystemBounds
from fordhatch.core import ResultCode, Timer, log_event, metrics
from fordhatch.registry import (
    ActiveConfiguration,
    BackendDirectory,
    Responder,
    identify,
)

from ._cold_budget import ColdBudget

MAX_COLD_S = 60.0
"""Longest time that one report counts, in seconds, as for a back-off."""

ENTRY_AGE_S = 1.0
"""How long ago an entry may have been written when it is read, in seconds, while the
store is available. What is known from that time takes precedence over an entry that
reports no coldness."""

MAX_LOGGED_CHANGES = 40
"""Log lines about cold and warm backend servers between two calls of ``prune``, which
are five seconds apart: as many as a zone has servers that return at once."""


@attrs.frozen
class ColdReport:
    """One observation or presumption of whether a backend server is cold."""

    observed_s: float
    """When it was made, in monotonic seconds."""
    left_s: float | None
    """Time until the backend server is warm, from then, in seconds; 0 if it is warm;
    None for the time that its service declares for a cold start."""


@attrs.frozen
class ColdState:
    """A backend server that is cold now."""

    backend_id: str
    observed_s: float
    until_s: float
    """When it becomes warm, in monotonic seconds."""


def _default_bounds() -> SystemBounds | None:
    return None


@attrs.define(eq=False, repr=False)
class ColdBackends:
    """Cold backend servers, by the most recent information on each of them."""

    timer: Timer
    directory: BackendDirectory
    bounds: Callable[[], SystemBounds | None] = _default_bounds
    """Returns the current bounds of the system; None for the defaults."""
    _is_configured: bool = False
    _services: Mapping[str, Service] = attrs.field(factory=dict)
    """Services whose cold backend servers have a limit, by name."""
    _reports: dict[str, ColdReport] = attrs.field(factory=dict)
    """The most recent report on each backend server."""
    _malformed: set[str] = attrs.field(factory=set)
    """Backend servers presumed cold because of a malformed entry, once for each."""
    _logged: dict[str, float] = attrs.field(factory=dict)
    """When each backend server became cold that was logged as such."""
    _blocked_until_s: dict[str, float] = attrs.field(factory=dict)
    """Until when no permit is available, by backend server."""
    _lines: int = 0
    """Log lines about changes since the last call of ``prune``."""
    _subscribers: list[Callable[[ColdState], None]] = attrs.field(factory=list)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services' limits for cold backend servers."""
        self._is_configured = True
        services = configuration.services.values()
        self._services = {s.name: s for s in services if s.cold_per_s > 0}
        if not self._services:
            self._blocked_until_s.clear()

    def connect(
        self, configuration: ActiveConfiguration, backends: BackendClient
    ) -> None:
        """Receive configurations, entries and answers to health checks."""
        configuration.subscribe(self.apply_configuration)
        self.follow_directory()
        backends.subscribe_reports(self.observe_health)

    def follow_directory(self) -> None:
        """Receive the entries of the directory."""
        self.directory.accepts = self.observe_entry
        self.directory.subscribe(self._read_entries)

    def _read_entries(self) -> None:
        # The directory decodes an entry when it is read; the time in it counts from its
        # arrival.
        if self._services:
            len(self.directory.backends)

    def subscribe(self, call: Callable[[ColdState], None]) -> None:
        """Call ``call`` with each backend server that an answer reports as cold.

        Only if it was warm by what this node knew: other nodes may not know it either.
        """
        self._subscribers.append(call)

    def budget(self) -> ColdBudget:
        """Return how the requests to a cold backend server are divided."""
        bounds = self.bounds()
        if bounds is None:
            return ColdBudget()
        return ColdBudget(bounds.cold_overrun, bounds.cold_slack)

    # Observations and presumptions.

    def observe_entry(self, backend: BackendServer) -> bool:
        """Process a changed entry; returns whether it can be used.

        An entry whose coldness is malformed is used if its service declares a limit for
        cold backend servers. Otherwise it is as unreliable as any malformed entry.
        """
        service = self._services.get(backend.service)
        if service is None and self._is_configured:
            return backend.cold_left_s is not None
        if backend.cold_left_s is None:
            self._presume_malformed(backend)
            return True
        # The age of an entry is not known: what limits the requests counts as new.
        age_s = 0.0 if backend.cold_left_s else ENTRY_AGE_S
        observed_s = self.timer.now_s() - age_s
        self.observe(backend.backend_id, ColdReport(observed_s, backend.cold_left_s))
        self._log_change(backend)
        return True

    def _presume_malformed(self, backend: BackendServer) -> None:
        self.count_unreadable(backend.backend_id, "entry")
        if backend.backend_id not in self._malformed:
            self._malformed.add(backend.backend_id)
            self.presume_cold(backend)

    def count_unreadable(self, backend_id: str, source: str) -> None:
        """Count a malformed report; at most a bounded number of them are logged.

        Args:
            backend_id: The backend server.
            source: ``entry`` or ``answer``.
        """
        metrics.COLD_UNREADABLE.labels(source).inc()
        self._log(
            "cold_unreadable",
            is_shared=source == "entry",
            backend=backend_id,
            source=source,
            code=int(ResultCode.COLD_UNREADABLE),
        )

    def observe_malformed_answer(self, backend: BackendServer) -> None:
        """Count an answer whose remaining cold time is malformed, and ignore it."""
        if backend.service in self._services:
            self.count_unreadable(backend.backend_id, "answer")

    def observe_answer(self, backend: BackendServer, left_s: float) -> None:
        """Process the remaining cold time in an answer that has just been received."""
        if backend.service not in self._services:
            return
        # Entries that have arrived before are older than the answer.
        backend = self.directory.backends.get(backend.backend_id, backend)
        was_cold = self.state(backend) is not None
        self.observe(backend.backend_id, ColdReport(self.timer.now_s(), left_s))
        self._log_change(backend, is_shared=False)
        self._notify(backend, was_cold=was_cold)

    def observe_health(
        self, address: str, registered_id: str, report: BackendReport
    ) -> None:
        """Process an answer to a health check; see ``BackendClient``."""
        if not self._services:
            return
        for backend in list(self.directory.index.at_address(address)):
            if backend.registered_id != registered_id:
                continue
            responder = identify(backend, report)
            if responder not in (Responder.THIS_START, Responder.UNNAMED):
                continue
            said = report.backpressure
            if said.is_cold_unreadable:
                self.observe_malformed_answer(backend)
            elif said.cold_left_s is not None:
                self.observe_answer(backend, said.cold_left_s)

    def observe_remote(self, backend_id: str, report: ColdReport) -> None:
        """Process another node's report of an answer that it has received."""
        backend = self.directory.backends.get(backend_id)
        was_cold = backend is not None and self.state(backend) is not None
        if self.observe(backend_id, report) and backend is not None:
            self._log_change(backend)
            self._notify(backend, was_cold=was_cold)

    def observe(self, backend_id: str, report: ColdReport) -> bool:
        """Apply a report unless a more recent one is known; returns whether it is new.

        Args:
            backend_id: The backend server.
            report: The report. A remaining time above the maximum is shortened to it.
        """
        known = self._reports.get(backend_id)
        if known is not None and report.observed_s <= known.observed_s:
            return False
        if report.left_s is not None and report.left_s > MAX_COLD_S:
            report = attrs.evolve(report, left_s=MAX_COLD_S)
        self._reports[backend_id] = report
        if report.left_s == 0.0:
            self._blocked_until_s.pop(backend_id, None)
        return True

    def presume_cold(self, backend: BackendServer) -> None:
        """Take a backend server for cold for as long as a cold start lasts."""
        self.observe(backend.backend_id, ColdReport(self.timer.now_s(), None))
        self._log_change(backend)

    def presume_zone_cold(self, zone: str) -> None:
        """Presume that every backend server of a zone is cold, as the zone returns."""
        for backend in list(self.directory.backends.values()):
            if backend.zone == zone and backend.service in self._services:
                self.presume_cold(backend)

    def _notify(self, backend: BackendServer, *, was_cold: bool) -> None:
        state = self.state(backend)
        if was_cold or state is None:
            return
        for call in self._subscribers:
            call(state)

    # Resulting state.

    @property
    def is_active(self) -> bool:
        """Whether any service declares a limit for cold backend servers."""
        return bool(self._services)

    def state(self, backend: BackendServer) -> ColdState | None:
        """Return since and until when a backend server is cold, None if it is warm."""
        service = self._services.get(backend.service)
        if service is None:
            return None
        report = self._reports.get(backend.backend_id)
        if report is None:
            return None
        left_s = min(service.cold_s, MAX_COLD_S)
        if report.left_s is not None:
            left_s = report.left_s
        until_s = report.observed_s + left_s
        if until_s <= self.timer.now_s():
            return None
        return ColdState(backend.backend_id, report.observed_s, until_s)

    def states(self) -> list[ColdState]:
        """Return every backend server that is cold now."""
        if not self._services:
            return []
        backends = self.directory.backends
        listed = (backends[b] for b in list(self._reports) if b in backends)
        found = (self.state(backend) for backend in listed)
        return [state for state in found if state is not None]

    def limit_per_s(self, backend: BackendServer, now_s: float) -> float | None:
        """Return the limit of a backend server because it is cold, None if it is warm.

        Args:
            backend: The backend server.
            now_s: Monotonic seconds.

        Returns:
            Requests a second from all nodes together.
        """
        state = self.state(backend)
        if state is None or state.until_s <= now_s:
            return None
        return self.service_limit_per_s(backend)

    def service_limit_per_s(self, backend: BackendServer) -> float:
        """Return the limit that the service of a cold backend server declares."""
        return self._services[backend.service].cold_per_s

    def block(self, state: ColdState, for_s: float) -> None:
        """Send nothing to a cold backend server for a while; ends with its coldness."""
        until_s = min(self.timer.now_s() + for_s, state.until_s)
        self._blocked_until_s[state.backend_id] = until_s

    def blocked_until_s(self, backend_id: str) -> float:
        """Return when a permit is available, in monotonic seconds."""
        return self._blocked_until_s.get(backend_id, -math.inf)

    def blocked_backends(self) -> Set[str]:
        """Return the cold backend servers for which no permit is available now."""
        if not self._blocked_until_s:
            return frozenset()
        now_s = self.timer.now_s()
        for backend_id in [b for b, u in self._blocked_until_s.items() if u <= now_s]:
            del self._blocked_until_s[backend_id]
        return self._blocked_until_s.keys()

    def prune(self, backend_ids: Set[str]) -> None:
        """Drop the state of backend servers that are not listed; update the gauge."""
        for table in (self._reports, self._logged, self._blocked_until_s):
            for backend_id in table.keys() - backend_ids:
                del table[backend_id]
        self._malformed &= backend_ids
        self._lines = 0
        if not self._services:
            return
        backends = self.directory.backends
        for backend_id in list(self._logged):
            if backend_id in backends:
                self._log_change(backends[backend_id])
        cold = Counter(backends[state.backend_id].service for state in self.states())
        for service in self._services:
            metrics.BACKENDS_COLD.labels(service).set(cold[service])

    def _log_change(self, backend: BackendServer, *, is_shared: bool = True) -> None:
        """Log that a backend server has become cold or warm.

        Args:
            backend: The backend server.
            is_shared: Whether other nodes have the same information. Then only nodes
                that read the table from the store log it.
        """
        state, since_s = self.state(backend), self._logged.get(backend.backend_id)
        now_s = self.timer.now_s()
        if state is None and since_s is not None:
            del self._logged[backend.backend_id]
            self._log(
                "backend_warm",
                is_shared=is_shared,
                backend=backend.backend_id,
                service=backend.service,
                cold_for_s=round(now_s - since_s, 3),
            )
        elif state is not None and since_s is None:
            self._logged[backend.backend_id] = now_s
            self._log(
                "backend_cold",
                is_shared=is_shared,
                backend=backend.backend_id,
                service=backend.service,
                limit_per_s=self._services[backend.service].cold_per_s,
                left_s=round(state.until_s - now_s, 3),
                age_s=round(now_s - state.observed_s, 3),
            )

    def _log(self, event: str, *, is_shared: bool, **fields: object) -> None:
        if is_shared and not self.directory.logs_changes:
            return
        self._lines += 1
        if self._lines <= MAX_LOGGED_CHANGES:
            log_event(event, **fields)
