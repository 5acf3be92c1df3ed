"""Attempts at backend servers, with a record of which of them are reached."""

from __future__ import annotations

import attrs
from result import Result

from fordhatch.catalog import BackendServer
from fordhatch.core import Timer
from fordhatch.registry import BackendContact

from ._exchange import BackendAnswer, ExchangeClient, SendFailure, SendProblem
from ._request import ServedRequest


@attrs.define(eq=False, repr=False)
class BackendExchange:
    """Sends the requests of this node to backend servers."""

    direct: ExchangeClient
    contact: BackendContact
    timer: Timer

    async def send(
        self,
        request: ServedRequest,
        backend: BackendServer,
        *,
        head_timeout_s: float,
        urgency: int | None = None,
        last_event_id: str | None = None,
    ) -> Result[BackendAnswer, SendFailure]:
        """Send a request and wait for the answer's head; see ``ExchangeClient``."""
        began_s = self.timer.now_s()
        got = await self.direct.send(
            request,
            backend,
            head_timeout_s=head_timeout_s,
            urgency=urgency,
            last_event_id=last_event_id,
        )
        self._record(backend, got.err(), began_s)
        return got

    def _record(
        self, backend: BackendServer, failure: SendFailure | None, began_s: float
    ) -> None:
        if failure is None:
            self.contact.record_reached(backend)
            return
        is_lost = failure.problem is SendProblem.CONNECTION_LOST
        if failure.is_unreachable or is_lost:
            self.contact.record_unreached(backend, began_s)
        elif failure.problem.is_answer:
            self.contact.record_reached(backend)
