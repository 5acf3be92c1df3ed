"""Probes backend servers, and asks other nodes before one is taken for lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import attrs
from result import Err

from fordhatch.adapter import BackendClient, HeldQuery
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, ResultCode, Timer, log_event

from ._backend_contact import MIN_FAILED_BACKENDS, BackendContact
from ._liveness_probe import (
    MAX_STANDSTILL_S,
    SECOND_PROBE_AFTER_S,
    Report,
    probe,
    probe_on,
    probe_patiently,
    wait_until_open,
)
from ._responsive_wait import MAX_WAIT_S, WaitEnd

COMPARED = MIN_FAILED_BACKENDS - 1
"""Backend servers that are probed to compare, after another one was not reached."""

Witnesses = Callable[[BackendServer], Awaitable[Report | None]]
"""Lets other nodes probe a backend server; returns None if none of them can tell."""


@attrs.define(eq=False, repr=False)
class BackendProber:
    """Probes backend servers on behalf of the components of a node.

    What this node does not reach may be lost, or only its own links are. It concludes
    that a backend server is lost if it has reached others in the same availability zone
    meanwhile, or if another node in touch does not reach it either.
    """

    client: BackendClient
    contact: BackendContact
    timer: Timer
    witnesses: Witnesses | None = None
    """None if there are no other nodes."""

    async def probe(self, backend: BackendServer) -> Report:
        """Return a backend server's report, or why there is none; see ``probe``.

        Returns:
            The code ``PROBE_INCONCLUSIVE`` also if no node can tell whether the backend
            server or the links of this node are at fault.
        """
        began_s = self.timer.now_s()
        found = await self._try(backend)
        if found.is_ok() or _is_inconclusive(found):
            return found
        if self.contact.has_reached_since(backend.zone, began_s):
            await self.record_failure(backend, found.unwrap_err().code, began_s)
            return found
        answers = await asyncio.gather(
            self._ask_others(backend),
            self.record_failure(backend, found.unwrap_err().code, began_s),
        )
        told = answers[0]
        if told is not None:
            return told
        if self.witnesses is not None and self.contact.is_cut_off(backend.service):
            return Err(Failure.from_code(ResultCode.PROBE_INCONCLUSIVE))
        return found

    async def check_loss(self, backend: BackendServer) -> Report:
        """Probe a backend server, and tell one that stands still from a lost one.

        Returns:
            A failure as of ``probe``; silence is one only as of ``probe_patiently``.
        """
        return await self._ask_patiently(backend, self.probe(backend))

    async def reach_patiently(self, backend: BackendServer) -> Report:
        """Probe a backend server that may stand still, without asking other nodes.

        Returns:
            A failure as of ``reach``; silence is one only as of ``probe_patiently``.
        """
        return await self._ask_patiently(backend, self.reach(backend))

    async def _ask_patiently(
        self, backend: BackendServer, probe: Coroutine[object, object, Report]
    ) -> Report:
        """Make a probe; if it is late, wait for a process that stands still beside it.

        A process that gets no processor time answers as late as one that has hung. Its
        host still accepts connections for it, which the host of a lost one does not.
        """
        probing = asyncio.ensure_future(probe)
        query: HeldQuery | None = None
        opening: asyncio.Future[WaitEnd] | None = None
        try:
            await asyncio.wait([probing], timeout=SECOND_PROBE_AFTER_S)
            if not probing.done():
                # Opened beside the probe, so that a lost server is found no later.
                query = self.hold(backend)
                opening = asyncio.ensure_future(wait_until_open(query))
            found = await probing
            is_silent = found.is_err() and (
                found.unwrap_err().code is ResultCode.BACKEND_LOST
            )
            if query is None or opening is None or not is_silent:
                return found
            answer = await probe_patiently(query, opening)
        finally:
            probing.cancel()
            if query is not None and opening is not None:
                opening.cancel()
                query.close()
        if answer.is_ok():
            self.contact.record_reached(backend)
            log_event("backend_stood_still", backend=backend.backend_id)
        return answer

    async def _ask_others(self, backend: BackendServer) -> Report | None:
        return await self.witnesses(backend) if self.witnesses is not None else None

    async def testify(self, backend: BackendServer) -> Report:
        """Probe a backend server for another node, without asking further ones.

        Returns:
            The code ``PROBE_INCONCLUSIVE`` if this node does not reach other backend
            servers of the service either.
        """
        found = await self.reach(backend)
        if found.is_err() and self.contact.is_cut_off(backend.service):
            return Err(Failure.from_code(ResultCode.PROBE_INCONCLUSIVE))
        return found

    async def reach(self, backend: BackendServer) -> Report:
        """Probe a backend server on connections of this node and record the outcome."""
        began_s = self.timer.now_s()
        found = await self._try(backend)
        if found.is_err():
            await self.record_failure(backend, found.unwrap_err().code, began_s)
        return found

    def hold(self, backend: BackendServer) -> HeldQuery:
        """Open a connection on which a backend server may be probed later.

        It has ``MAX_WAIT_S`` to open: whoever waits for it tells a lost host from a
        node that is late itself.
        """
        return self.client.hold_report(
            backend.address, backend.registered_id, connect_timeout_s=MAX_WAIT_S
        )

    async def reach_on(self, query: HeldQuery, backend: BackendServer) -> Report:
        """Probe a backend server on a connection that it accepted earlier.

        Returns:
            A failure, after ``MAX_STANDSTILL_S`` without an answer, says nothing.
        """
        found = await probe_on(query, MAX_STANDSTILL_S)
        if found.is_ok():
            self.contact.record_reached(backend)
        return found

    async def check_health(
        self, backend: BackendServer, path: str, timeout_s: float
    ) -> Report:
        """Return the answer to a health check, which names its sender.

        Nothing follows from a failure: the check waits for a slot.

        Args:
            backend: The backend server.
            path: The health path of its service.
            timeout_s: Longest wait, in seconds.
        """
        found = await self.client.check_health(
            backend.address, path, backend.registered_id, timeout_s=timeout_s
        )
        if found.is_ok():
            self.contact.record_reached(backend)
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
        is_news = self.contact.is_news(backend, began_s)
        if is_news and not self.contact.is_cut_off(backend.service):
            await self._probe_others(backend)
        self.contact.record_unreached(backend, began_s)

    async def _probe_others(self, backend: BackendServer) -> None:
        others = self.contact.others(backend)
        chosen = self.timer.rng.sample(others, min(COMPARED, len(others)))
        await asyncio.gather(*(self._compare(other) for other in chosen))

    async def _compare(self, backend: BackendServer) -> None:
        began_s = self.timer.now_s()
        found = await self._try(backend)
        if found.is_err() and not _is_inconclusive(found):
            self.contact.record_unreached(backend, began_s)

    async def _try(self, backend: BackendServer) -> Report:
        found = await probe(self.client, backend)
        if found.is_ok():
            self.contact.record_reached(backend)
        return found


def _is_inconclusive(found: Report) -> bool:
    failure = found.err()
    return failure is not None and failure.code is ResultCode.PROBE_INCONCLUSIVE
