"""Determines which backend servers are lost by probing them."""

from __future__ import annotations

import math

import attrs

from fordhatch.catalog import BackendServer
from fordhatch.core import CallLimiter, ResultCode, TaskSet, Timer, log_event
from fordhatch.registry import BackendProber, Responder, identify

RECHECK_INTERVAL_S = 3.0
"""Time for which a finding is valid before the backend server is probed again, unless
there is a newer reason to probe it."""

UNKNOWN_PAUSE_S = 0.5
"""Time after an answer that proves nothing before the next probe."""

MAX_PROBES_AT_ONCE = 32
"""Maximum number of probes in progress: a node with half of a core reads the answers
of that many within half of a probe's timeout."""


@attrs.define(eq=False, repr=False)
class LossCheck:
    """Probes backend servers that may be lost and keeps the findings."""

    prober: BackendProber
    timer: Timer
    dead: set[str] = attrs.field(factory=set)
    """Backend servers that did not answer a probe. They may still be listed."""
    replaced: set[str] = attrs.field(factory=set)
    """Backend servers that have certainly terminated, because another one or a later
    start of the same one has their address. One that answers itself is none of them."""
    _last_answered_s: dict[str, float] = attrs.field(factory=dict)
    """Time at which the last answered probe of each backend server was sent."""
    _paused_until_s: dict[str, float] = attrs.field(factory=dict)
    """Until when a backend server whose last answer proved nothing is not probed."""
    _probing: set[str] = attrs.field(factory=set)
    _limiter: CallLimiter = attrs.field(factory=lambda: CallLimiter(MAX_PROBES_AT_ONCE))
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def is_alive(self, backend_id: str, since_s: float | None = None) -> bool:
        """Return whether a backend server has answered a recent probe.

        Args:
            backend_id: The backend server.
            since_s: Earliest time at which the probe was sent, in monotonic seconds;
                if None, one recheck interval ago.
        """
        if since_s is None:
            since_s = self.timer.now_s() - RECHECK_INTERVAL_S
        return self._last_answered_s.get(backend_id, -math.inf) >= since_s

    def check(self, backend: BackendServer, since_s: float | None = None) -> None:
        """Probe a backend server, unless it answered a probe sent after ``since_s``."""
        backend_id = backend.backend_id
        known = self.is_alive(backend_id, since_s) or backend_id in self.dead
        is_paused = self._paused_until_s.get(backend_id, 0.0) > self.timer.now_s()
        if known or is_paused or backend_id in self._probing:
            return
        self._probing.add(backend_id)
        self._tasks.spawn(self._probe(backend), f"ask-{backend_id}")

    async def _probe(self, backend: BackendServer) -> None:
        backend_id = backend.backend_id
        try:
            async with self._limiter.slot():
                sent_s = self.timer.now_s()
                found = await self.prober.check_loss(backend)
        finally:
            self._probing.discard(backend_id)
        if found.is_ok():
            self._record_answer(backend, identify(backend, found.unwrap()), sent_s)
        elif found.unwrap_err().code is ResultCode.PROBE_INCONCLUSIVE:
            log_event("probe_inconclusive", backend=backend_id)
        else:
            self._record_loss(backend_id, is_replaced=False)
        if backend_id in self.dead:
            self._tasks.spawn(self._recheck(backend), f"recheck-{backend_id}")

    def _record_answer(
        self, backend: BackendServer, responder: Responder, sent_s: float
    ) -> None:
        match responder:
            case Responder.THIS_START | Responder.UNNAMED:
                self._last_answered_s[backend.backend_id] = sent_s
                self.dead.discard(backend.backend_id)
                self.replaced.discard(backend.backend_id)
            case Responder.OTHER_PROCESS:
                self._record_loss(backend.backend_id, is_replaced=True)
            case Responder.UNKNOWN:
                # A server that fails its requests has not ended.
                paused_until_s = self.timer.now_s() + UNKNOWN_PAUSE_S
                self._paused_until_s[backend.backend_id] = paused_until_s
                log_event("probe_inconclusive", backend=backend.backend_id)

    def _record_loss(self, backend_id: str, *, is_replaced: bool) -> None:
        if is_replaced:
            self.replaced.add(backend_id)
        if backend_id not in self.dead:
            self.dead.add(backend_id)
            log_event("backend_lost", backend=backend_id, replaced=is_replaced)

    def mark_terminated(self, backend_id: str) -> None:
        """Record that a backend server has terminated and a later start replaces it."""
        self.dead.add(backend_id)
        self.replaced.add(backend_id)

    async def _recheck(self, backend: BackendServer) -> None:
        """Probe again later, so that a server that was only unreachable is reused."""
        await self.timer.sleep(self.timer.jittered(RECHECK_INTERVAL_S))
        backend_id = backend.backend_id
        if backend_id in self.dead and backend_id not in self._probing:
            self._probing.add(backend_id)
            await self._probe(backend)

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget the findings about all other backend servers."""
        self.dead &= backend_ids
        self.replaced &= backend_ids
        for times in (self._last_answered_s, self._paused_until_s):
            for backend_id in set(times) - backend_ids:
                del times[backend_id]

    def forget(self) -> None:
        """Forget every finding."""
        self.dead.clear()
        self.replaced.clear()
        self._last_answered_s.clear()
        self._paused_until_s.clear()

    async def close(self) -> None:
        """Cancel pending probes."""
        await self._tasks.close()
