"""What backend servers have asked of this node, and of all nodes together."""

from __future__ import annotations

import math

import attrs

from fordhatch.catalog import BackendServer, Backpressure, PressureKind
from fordhatch.core import Timer, log_event, metrics


@attrs.define
class _Asked:
    """What one backend server has asked for."""

    limit_per_s: float | None = None
    limit_sent_s: float = -math.inf
    """When the request was sent whose answer said so, or said nothing any more."""
    rest_until_s: float = -math.inf
    is_leaving: bool = False


@attrs.define(eq=False, repr=False)
class PressureBook:
    """Requests for rest, limits and departures, by backend server."""

    timer: Timer
    _asked: dict[str, _Asked] = attrs.field(factory=dict)

    def heard(
        self, backend: BackendServer, said: Backpressure | None, sent_s: float
    ) -> None:
        """Take what an answer says.

        Args:
            backend: The backend server that has answered.
            said: What it asks for; None if the answer is not its own.
            sent_s: When its request was sent, in monotonic seconds.
        """
        if said is None:
            return
        for kind in said.unreadable:
            metrics.BACKPRESSURE_UNREADABLE.labels(kind.value).inc()
            log_event(
                "backpressure_unreadable", backend=backend.backend_id, kind=kind.value
            )
        known = self._asked.get(backend.backend_id)
        if known is None:
            if said == Backpressure():
                return
            known = self._asked[backend.backend_id] = _Asked()
        if PressureKind.LIMIT not in said.unreadable:
            self._take_limit(backend, known, said.limit_per_s, sent_s)
        if said.rest_s is not None:
            self._take_rest(backend, known, said.rest_s)
        if said.is_leaving and not known.is_leaving:
            known.is_leaving = True
            log_event(
                "backend_said_leaving",
                backend=backend.backend_id,
                service=backend.service,
            )

    def _take_limit(
        self,
        backend: BackendServer,
        known: _Asked,
        limit_per_s: float | None,
        sent_s: float,
    ) -> None:
        """Take a limit, or its end; answers to older requests say nothing new."""
        if sent_s <= known.limit_sent_s:
            return
        known.limit_sent_s = sent_s
        if limit_per_s == known.limit_per_s:
            return
        log_event(
            "backend_limit_changed",
            backend=backend.backend_id,
            service=backend.service,
            limit_per_s="" if limit_per_s is None else limit_per_s,
            before_per_s="" if known.limit_per_s is None else known.limit_per_s,
        )
        known.limit_per_s = limit_per_s

    def _take_rest(self, backend: BackendServer, known: _Asked, rest_s: float) -> None:
        now_s = self.timer.now_s()
        is_new = known.rest_until_s <= now_s
        known.rest_until_s = max(known.rest_until_s, now_s + rest_s)
        if is_new:
            log_event(
                "backend_asked_for_rest",
                backend=backend.backend_id,
                service=backend.service,
                rest_s=rest_s,
            )

    def keep_only(self, backend_ids: set[str]) -> None:
        """Forget backend servers that are gone."""
        for backend_id in set(self._asked) - backend_ids:
            del self._asked[backend_id]
