"""Finds out which backend servers are lost, by asking them."""

from __future__ import annotations

import attrs

from fordhatch.adapter import BackendClient
from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, TaskSet, Timer, log_event

PROBE_TIMEOUT_S = 0.2
"""A report needs no slot and comes within milliseconds."""

RECHECK_S = 3.0
"""How long a finding holds before the backend server is asked again."""


@attrs.define(eq=False)
class LossCheck:
    """Findings about backend servers that someone missed."""

    backends: BackendClient
    timer: Timer
    dead: set[str] = attrs.field(factory=set)
    """Did not answer when asked, though still listed perhaps."""
    refused: set[str] = attrs.field(factory=set)
    """Nothing listens at their address, or another backend server does: that start
    of them has ended for certain."""
    _alive_until_s: dict[str, float] = attrs.field(factory=dict)
    _asking: set[str] = attrs.field(factory=set)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_alive(self, backend_id: str) -> bool:
        """Return whether it answered a short time ago."""
        return self._alive_until_s.get(backend_id, 0.0) > self.timer.now_s()

    def ask(self, backend: BackendServer) -> None:
        """Ask a backend server for a sign of life, unless that was done lately."""
        backend_id = backend.backend_id
        known = self.is_alive(backend_id) or backend_id in self.dead
        if known or backend_id in self._asking:
            return
        self._asking.add(backend_id)
        self._tasks.spawn(self._ask(backend), f"ask-{backend_id}")

    async def _ask(self, backend: BackendServer) -> None:
        backend_id = backend.backend_id
        try:
            found = await self.backends.is_alive(
                backend.address, backend_id, timeout_s=PROBE_TIMEOUT_S
            )
        finally:
            self._asking.discard(backend_id)
        if found.is_ok() and found.unwrap():
            self._alive_until_s[backend_id] = self.timer.now_s() + RECHECK_S
            self.dead.discard(backend_id)
            return
        self.dead.add(backend_id)
        ended = found.is_ok() or found.err().code is ResultCode.BACKEND_REFUSED
        if ended:
            self.refused.add(backend_id)
        log_event("backend_lost", backend=backend_id, ended=ended)
        self._tasks.spawn(self._recheck(backend), f"recheck-{backend_id}")

    async def _recheck(self, backend: BackendServer) -> None:
        """Ask again later: whoever was only out of reach may be used again."""
        await self.timer.sleep(RECHECK_S)
        if backend.backend_id in self.dead and backend.backend_id not in self.refused:
            self.dead.discard(backend.backend_id)
            self.ask(backend)

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget backend servers that nobody speaks of any more."""
        self.dead &= backend_ids
        self.refused &= backend_ids
        for backend_id in set(self._alive_until_s) - backend_ids:
            del self._alive_until_s[backend_id]

    def forget(self) -> None:
        """Forget every finding."""
        self.dead.clear()
        self.refused.clear()
        self._alive_until_s.clear()

    async def close(self) -> None:
        """Stop asking."""
        await self._tasks.close()
