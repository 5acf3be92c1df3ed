"""Asks a backend server for a sign of life."""

from __future__ import annotations

import asyncio

from result import Result

from fordhatch.adapter import BackendClient, BackendReport
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure

PROBE_TIMEOUT_S = 0.15
"""A report needs no slot and comes within milliseconds."""

PROBE_AGAIN_S = 0.06
"""A second probe is sent after this time without an answer: a lost packet is no lost
instance, and asking one after the other would take longer."""


async def probe(
    client: BackendClient, backend: BackendServer
) -> Result[BackendReport, Failure]:
    """Ask a backend server for its report, twice if the first answer does not come.

    Args:
        client: Sends the probes.
        backend: Who is asked.

    Returns:
        Its report, or that of another one or a later start at its address; a failure if
        nobody answered.
    """

    def ask() -> asyncio.Future[Result[BackendReport, Failure]]:
        return asyncio.ensure_future(
            client.report(
                backend.address, backend.registered_id, timeout_s=PROBE_TIMEOUT_S
            )
        )

    first = ask()
    await asyncio.wait([first], timeout=PROBE_AGAIN_S)
    if first.done():
        return first.result()
    pending = {first, ask()}
    try:
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            found = next((d.result() for d in done if d.result().is_ok()), None)
            if found is not None or not pending:
                return found or done.pop().result()
    finally:
        for one in pending:
            one.cancel()
