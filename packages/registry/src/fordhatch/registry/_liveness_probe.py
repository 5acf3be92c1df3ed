"""Liveness probe of a backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from result import Err, Result

from fordhatch.adapter import BackendClient, BackendReport, HeldQuery
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, Ran, ResultCode

from ._responsive_wait import MAX_WAIT_S, WaitEnd, wait_while_responsive

PROBE_TIMEOUT_S = 0.15
"""Timeout of one probe. A report needs no slot and arrives within milliseconds."""

SECOND_PROBE_AFTER_S = 0.06
"""Time without an answer after which a second probe is sent in parallel. A lost packet
does not mean a lost instance, and probing in sequence would take longer."""

MAX_STANDSTILL_S = 2.0
"""Longest time for which a process that accepts connections may read nothing: on a busy
machine one gets no processor time for that long, and its streams go on afterwards."""

Report = Result[BackendReport, Failure]


async def probe(client: BackendClient, backend: BackendServer) -> Report:
    """Request a backend server's report, with a second request if the first is slow.

    Args:
        client: Sends the probes.
        backend: The backend server to probe.

    Returns:
        The report of this backend server, or of another backend server or a later
        start at its address; a failure if there was no answer, with the code
        ``PROBE_INCONCLUSIVE`` if this node was too slow to read one.
    """

    def request_report() -> asyncio.Future[Report]:
        return asyncio.ensure_future(
            client.report(backend.address, backend.registered_id, timeout_s=MAX_WAIT_S)
        )

    requests = [request_report()]
    try:
        end = await wait_while_responsive(requests, SECOND_PROBE_AFTER_S)
        if end is WaitEnd.DONE:
            return requests[0].result()
        if end is WaitEnd.TIMED_OUT:
            requests.append(request_report())
            end = await _wait_for_report(requests)
        return _outcome(requests, end)
    finally:
        for request in requests:
            request.cancel()


async def wait_until_open(query: HeldQuery) -> WaitEnd:
    """Wait for the connection of a query.

    Whether it opens is up to the host of the process, which answers while the process
    itself does not.

    Returns:
        ``DONE`` if it is open or has failed; otherwise why the wait has ended, after
        ``PROBE_TIMEOUT_S`` in which this node was responsive.
    """
    opening = asyncio.ensure_future(query.wait_until_open())
    try:
        return await wait_while_responsive([opening], PROBE_TIMEOUT_S)
    finally:
        opening.cancel()


async def probe_patiently(query: HeldQuery, opening: Awaitable[WaitEnd]) -> Report:
    """Request a report from a process that may stand still.

    Args:
        query: A connection that is being opened.
        opening: The wait for it; see ``wait_until_open``.

    Returns:
        The report; a failure if the connection did not open, was closed, or the process
        sent nothing for ``MAX_STANDSTILL_S``.
    """
    end = await opening
    if end is WaitEnd.INCONCLUSIVE:
        return Err(Failure.from_code(ResultCode.PROBE_INCONCLUSIVE))
    if end is WaitEnd.TIMED_OUT or not query.is_open:
        return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.NO))
    return await probe_on(query, MAX_STANDSTILL_S)


async def probe_on(query: HeldQuery, timeout_s: float = PROBE_TIMEOUT_S) -> Report:
    """Request a report on a connection that is open already.

    Args:
        query: The connection.
        timeout_s: Longest wait, in seconds in which this node was responsive.

    Returns:
        The report of the process that had accepted the connection; a failure says
        nothing about it.
    """
    sent = query.send()
    try:
        return _outcome([sent], await wait_while_responsive([sent], timeout_s))
    finally:
        sent.cancel()


async def _wait_for_report(requests: list[asyncio.Future[Report]]) -> WaitEnd:
    """Wait until a report has arrived or every request has failed."""
    pending = set(requests)
    end = WaitEnd.DONE
    while pending and end is WaitEnd.DONE and _found(requests) is None:
        end = await wait_while_responsive(pending, PROBE_TIMEOUT_S)
        pending = {r for r in pending if not r.done()}
    return end


def _found(requests: list[asyncio.Future[Report]]) -> Report | None:
    """Return the first report that has arrived, or else None."""
    done = (r.result() for r in requests if r.done())
    return next((report for report in done if report.is_ok()), None)


def _outcome(requests: list[asyncio.Future[Report]], end: WaitEnd) -> Report:
    """Return the report that has arrived, or else why there is none."""
    found = _found(requests)
    if found is not None:
        return found
    if end is WaitEnd.INCONCLUSIVE:
        return Err(Failure.from_code(ResultCode.PROBE_INCONCLUSIVE))
    failed = [r.result() for r in requests if r.done()]
    if failed:
        return failed[-1]
    return Err(Failure.from_code(ResultCode.BACKEND_LOST, ran=Ran.NO))
