"""Liveness probe of a backend server."""

from __future__ import annotations

import asyncio

from result import Result

from fordhatch.adapter import BackendClient, BackendReport
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure

PROBE_TIMEOUT_S = 0.15
"""Timeout of one probe. A report needs no slot and arrives within milliseconds."""

SECOND_PROBE_AFTER_S = 0.06
"""Time without an answer after which a second probe is sent in parallel. A lost packet
does not mean a lost instance, and probing in sequence would take longer."""


async def probe(
    client: BackendClient, backend: BackendServer
) -> Result[BackendReport, Failure]:
    """Request a backend server's report, with a second request if the first is slow.

    Args:
        client: Sends the probes.
        backend: The backend server to probe.

    Returns:
        The report of this backend server, or of another backend server or a later
        start at its address; a failure if there was no answer.
    """

    def request_report() -> asyncio.Future[Result[BackendReport, Failure]]:
        return asyncio.ensure_future(
            client.report(
                backend.address, backend.registered_id, timeout_s=PROBE_TIMEOUT_S
            )
        )

    first = request_report()
    await asyncio.wait([first], timeout=SECOND_PROBE_AFTER_S)
    if first.done():
        return first.result()
    pending = {first, request_report()}
    try:
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            found = next((d.result() for d in done if d.result().is_ok()), None)
            if found is not None or not pending:
                return found or done.pop().result()
    finally:
        for request in pending:
            request.cancel()
