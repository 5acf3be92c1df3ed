"""Finds out which backend servers are lost, by asking them."""

from __future__ import annotations

import math

import attrs

from fordhatch.adapter import BackendClient
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import probe

RECHECK_S = 3.0
"""How long a finding holds before the backend server is asked again, unless there is
a newer reason to ask."""


@attrs.define(eq=False, repr=False)
class LossCheck:
    """Findings about backend servers that someone missed."""

    backends: BackendClient
    timer: Timer
    dead: set[str] = attrs.field(factory=set)
    """Did not answer when asked, though still listed perhaps."""
    replaced: set[str] = attrs.field(factory=set)
    """Another backend server answers at their address: that start of them has ended
    for certain."""
    _answered_s: dict[str, float] = attrs.field(factory=dict)
    """When the probe was sent that was answered last."""
    _asking: set[str] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_alive(self, backend_id: str, since_s: float | None = None) -> bool:
        """Return whether it has answered a probe that was sent after a moment.

        Args:
            backend_id: The backend server.
            since_s: The moment, in monotonic seconds; a short time ago if None.
        """
        if since_s is None:
            since_s = self.timer.now_s() - RECHECK_S
        return self._answered_s.get(backend_id, -math.inf) >= since_s

    def ask(self, backend: BackendServer, since_s: float | None = None) -> None:
        """Ask for a sign of life, unless one came after ``since_s``."""
        backend_id = backend.backend_id
        known = self.is_alive(backend_id, since_s) or backend_id in self.dead
        if known or backend_id in self._asking:
            return
        self._asking.add(backend_id)
        self._tasks.spawn(self._ask(backend), f"ask-{backend_id}")

    async def _ask(self, backend: BackendServer) -> None:
        backend_id = backend.backend_id
        sent_s = self.timer.now_s()
        try:
            found = await probe(self.backends, backend)
        finally:
            self._asking.discard(backend_id)
        if found.is_ok() and found.unwrap().is_of(backend):
            self._answered_s[backend_id] = sent_s
            self.dead.discard(backend_id)
            return
        self.dead.add(backend_id)
        if found.is_ok():
            self.replaced.add(backend_id)
        log_event("backend_lost", backend=backend_id, replaced=found.is_ok())
        self._tasks.spawn(self._recheck(backend), f"recheck-{backend_id}")

    def found_ended(self, backend_id: str) -> None:
        """Note that a backend server has ended: a later start has its place."""
        self.dead.add(backend_id)
        self.replaced.add(backend_id)

    async def _recheck(self, backend: BackendServer) -> None:
        """Ask again later: whoever was only out of reach may be used again."""
        await self.timer.sleep(RECHECK_S)
        if backend.backend_id in self.dead and backend.backend_id not in self.replaced:
            self.dead.discard(backend.backend_id)
            self.ask(backend)

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget backend servers that nobody speaks of any more."""
        self.dead &= backend_ids
        self.replaced &= backend_ids
        for backend_id in set(self._answered_s) - backend_ids:
            del self._answered_s[backend_id]

    def forget(self) -> None:
        """Forget every finding."""
        self.dead.clear()
        self.replaced.clear()
        self._answered_s.clear()

    async def close(self) -> None:
        """Stop asking."""
        await self._tasks.close()
