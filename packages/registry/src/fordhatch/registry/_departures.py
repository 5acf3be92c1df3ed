"""Backend servers that have said in an answer that they leave."""

from __future__ import annotations

import attrs

from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Timer

KEEP_S = 300.0
"""How long a departure counts: who still registers then has not left."""


@attrs.define(eq=False, repr=False)
class Departures:
    """Starts of backend servers whose own word goes before their entry.

    The word comes with an answer, the entry by way of the store, which may be seconds
    late or not reached at all.
    """

    timer: Timer
    _since_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, backend_id: str) -> bool:
        """Note that a backend server leaves; returns whether that is new."""
        if backend_id in self._since_s:
            return False
        self._since_s[backend_id] = self.timer.now_s()
        return True

    def has(self, backend_id: str) -> bool:
        """Return whether a backend server has said that it leaves."""
        return backend_id in self._since_s

    def apply(self, found: BackendServer) -> BackendServer:
        """Return a backend server as its entry and its own word say."""
        if found.backend_id not in self._since_s:
            return found
        return attrs.evolve(found, state=BackendState.DRAINING)

    def all(self) -> list[str]:
        """Return the backend servers that have said that they leave."""
        return list(self._since_s)

    def take_old(self) -> list[str]:
        """Forget those that should have left long ago, and return them."""
        before_s = self.timer.now_s() - KEEP_S
        old = [b for b, since_s in self._since_s.items() if since_s < before_s]
        for backend_id in old:
            del self._since_s[backend_id]
        return old
