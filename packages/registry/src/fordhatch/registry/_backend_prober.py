"""Probes backend servers and records which of them are reached."""

from __future__ import annotations

import asyncio

import attrs

from fordhatch.adapter import BackendClient
from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, Timer

from ._backend_contact import MIN_FAILED_BACKENDS, BackendContact
from ._liveness_probe import Report, probe

COMPARED = MIN_FAILED_BACKENDS - 1
"""Backend servers that are probed to compare, after another one was not reached."""


@attrs.define(eq=False, repr=False)
class BackendProber:
    """Probes backend servers on behalf of the components of a node."""

    client: BackendClient
    contact: BackendContact
    timer: Timer

    async def probe(self, backend: BackendServer) -> Report:
        """Return a backend server's report, or why there is none; see ``probe``."""
        return await self.reach(backend)

    async def reach(self, backend: BackendServer) -> Report:
        """Probe a backend server on connections of this node and record the outcome."""
        began_s = self.timer.now_s()
        found = await self._try(backend)
        if found.is_err():
            await self.record_failure(backend, found.unwrap_err().code, began_s)
        return found

    async def record_failure(
        self, backend: BackendServer, code: ResultCode, began_s: float
    ) -> None:
        """Record that a backend server was not reached.

        Unless another one of its service has been reached meanwhile, others are probed:
        they show whether only the first is unreachable, or all of them are.

        Args:
            backend: The backend server.
            code: Why it was not reached.
            began_s: When the attempt began, in monotonic seconds.
        """
        if code is ResultCode.PROBE_INCONCLUSIVE:
            return
        service = backend.service
        is_new = self.contact.is_news(backend, began_s)
        if is_new and not self.contact.is_cut_off(service):
            await self._probe_others(backend)
        self.contact.record_unreached(backend, began_s)

    async def _probe_others(self, backend: BackendServer) -> None:
        others = self.contact.others(backend)
        chosen = self.timer.rng.sample(others, min(COMPARED, len(others)))
        await asyncio.gather(*(self._compare(other) for other in chosen))

    async def _compare(self, backend: BackendServer) -> None:
        began_s = self.timer.now_s()
        failure = (await self._try(backend)).err()
        if failure is not None and failure.code is not ResultCode.PROBE_INCONCLUSIVE:
            self.contact.record_unreached(backend, began_s)

    async def _try(self, backend: BackendServer) -> Report:
        found = await probe(self.client, backend)
        if found.is_ok():
            self.contact.record_reached(backend)
        return found
