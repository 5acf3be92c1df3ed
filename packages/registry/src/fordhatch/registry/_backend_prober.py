"""Probes backend servers and records which of them are reached."""

from __future__ import annotations

import attrs

from fordhatch.adapter import BackendClient
from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, Timer

from ._backend_contact import BackendContact
from ._liveness_probe import Report, probe


@attrs.define(eq=False, repr=False)
class BackendProber:
    """Probes backend servers on behalf of the components of a node."""

    client: BackendClient
    contact: BackendContact
    timer: Timer

    async def probe(self, backend: BackendServer) -> Report:
        """Return a backend server's report, or why there is none; see ``probe``."""
        began_s = self.timer.now_s()
        found = await probe(self.client, backend)
        if found.is_ok():
            self.contact.record_reached(backend)
        elif found.unwrap_err().code is not ResultCode.PROBE_INCONCLUSIVE:
            self.contact.record_unreached(backend, began_s)
        return found
