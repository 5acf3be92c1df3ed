"""Backend servers that have announced in a response that they are leaving."""

from __future__ import annotations

import attrs

from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Timer

DEPARTURE_RETENTION_S = 300.0
"""How long a departure counts: a backend server still registered then has not left."""


@attrs.define(eq=False, repr=False)
class Departures:
    """Starts of backend servers whose announcement takes precedence over their entry.

    The announcement comes with a response. The entry comes through the store, which
    may be seconds late or unreachable.
    """

    timer: Timer
    _since_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, backend_id: str) -> bool:
        """Record that a backend server is leaving; returns whether that is new."""
        if backend_id in self._since_s:
            return False
        self._since_s[backend_id] = self.timer.now_s()
        return True

    def has(self, backend_id: str) -> bool:
        """Return whether a backend server has announced that it is leaving."""
        return backend_id in self._since_s

    def apply(self, found: BackendServer) -> BackendServer:
        """Return a backend server, as draining if it has announced that it leaves."""
        if found.backend_id not in self._since_s:
            return found
        return attrs.evolve(found, state=BackendState.DRAINING)

    def all(self) -> list[str]:
        """Return the backend servers that have announced that they are leaving."""
        return list(self._since_s)

    def pop_expired(self) -> list[str]:
        """Remove departures past the retention time, and return their servers' ids."""
        before_s = self.timer.now_s() - DEPARTURE_RETENTION_S
        old = [b for b, since_s in self._since_s.items() if since_s < before_s]
        for backend_id in old:
            del self._since_s[backend_id]
        return old
