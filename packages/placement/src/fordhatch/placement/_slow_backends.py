"""Polling of slow backend servers until they have recovered."""

from __future__ import annotations

import attrs

from fordhatch.adapter import RowKey, StoreClient
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, BackendProber, StoreView, slow_key

POLL_INTERVAL_S = 1.5
"""Time between polls of a slow backend server: a report costs next to nothing, and a
recovered backend server should serve soon."""

RECOVERED_PACE = 1.4
"""Pace below which a backend server has recovered, as a multiple of the usual time. The
distance to 2, from which one counts as slow, prevents flapping."""

WRITE_TIMEOUT_S = 1.0
"""Timeout of the removal of a row; the next poll retries it."""


@attrs.define(eq=False, repr=False)
class SlowBackends:
    """Remove the rows about slow backend servers once they have recovered."""

    view: StoreView
    store: StoreClient
    prober: BackendProber
    timer: Timer
    _polled_s: dict[str, float] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def step(self) -> None:
        """Poll the backend servers that are due, and drop those without a row."""
        slow = self.view.shared.slow
        now_s = self.timer.now_s()
        for backend_id in slow:
            if (
                now_s - self._polled_s.get(backend_id, -POLL_INTERVAL_S)
                < POLL_INTERVAL_S
            ):
                continue
            self._polled_s[backend_id] = now_s
            backend = self.view.directory.backends.get(backend_id)
            self._tasks.spawn(self._poll(backend_id, backend), f"slow-{backend_id}")
        for backend_id in set(self._polled_s) - set(slow):
            del self._polled_s[backend_id]

    async def _poll(self, backend_id: str, backend: BackendServer | None) -> None:
        if backend is not None:
            report = await self.prober.probe(backend)
            if report.is_err() or report.unwrap().pace >= RECOVERED_PACE:
                return
        row = RowKey(SHARED_TABLE, slow_key(backend_id))
        removed = await self.store.write({}, {}, (row,), timeout_s=WRITE_TIMEOUT_S)
        if removed.is_err():
            error = removed.err().message
            log_event("slowness_kept", backend=backend_id, error=error)
            return
        log_event("backend_well", backend=backend_id, is_gone=backend is None)

    async def close(self) -> None:
        """Cancel pending polls."""
        await self._tasks.close()
