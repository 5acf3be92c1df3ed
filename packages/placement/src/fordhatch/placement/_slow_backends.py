"""Backend servers that nodes have found to be slow, asked again until they are well."""

from __future__ import annotations

import attrs

from fordhatch.adapter import BackendClient, RowKey, StoreClient
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.registry import SHARED_TABLE, StoreView, probe, slow_key

ASK_EVERY_S = 1.5
"""How often a slow backend server is asked for its pace; a report costs next to
nothing, and one that is well again should serve soon."""

WELL_PACE = 1.4
"""Below this a backend server is well again. It is well below the pace of 2 that makes
one slow, so that nobody goes to and fro."""

WRITE_TIMEOUT_S = 1.0
"""Longest wait for the removal of a row; the next look tries again."""


@attrs.define(eq=False, repr=False)
class SlowBackends:
    """The planner's side of the rows about slow backend servers."""

    view: StoreView
    store: StoreClient
    backends: BackendClient
    timer: Timer
    _asked_s: dict[str, float] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def step(self) -> None:
        """Ask those whose turn it is, and forget those that are gone."""
        slow = self.view.shared.slow
        now_s = self.timer.now_s()
        for backend_id in slow:
            if now_s - self._asked_s.get(backend_id, -ASK_EVERY_S) < ASK_EVERY_S:
                continue
            self._asked_s[backend_id] = now_s
            backend = self.view.directory.backends.get(backend_id)
            self._tasks.spawn(self._look(backend_id, backend), f"slow-{backend_id}")
        for backend_id in set(self._asked_s) - set(slow):
            del self._asked_s[backend_id]

    async def _look(self, backend_id: str, backend: BackendServer | None) -> None:
        if backend is not None:
            found = await probe(self.backends, backend)
            if found.is_err() or found.unwrap().pace >= WELL_PACE:
                return
        row = RowKey(SHARED_TABLE, slow_key(backend_id))
        removed = await self.store.write({}, {}, (row,), timeout_s=WRITE_TIMEOUT_S)
        if removed.is_err():
            error = removed.err().message
            log_event("slowness_kept", backend=backend_id, error=error)
            return
        log_event("backend_well", backend=backend_id, is_gone=backend is None)

    async def close(self) -> None:
        """Stop asking."""
        await self._tasks.close()
