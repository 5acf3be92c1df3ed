"""The requests that a node has accepted and not ended yet."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator

import attrs

from fordhatch.core import Failure, ResultCode, Timer, metrics

from ._accepted_request import AcceptedRequest, EndedBy
from ._request_log import log_end


@attrs.define(eq=False, repr=False)
class RequestsInProgress:
    """Counts the accepted requests, and logs the end of each of them."""

    timer: Timer
    version: Callable[[], int]
    """Returns the version of the configuration in effect."""
    is_stopping: bool = False
    """Whether the process ends without waiting for more requests."""
    _accepted: set[AcceptedRequest] = attrs.field(factory=set)
    _relayed: int = 0
    """Attempts in progress for other nodes' callers."""

    def __len__(self) -> int:
        return len(self._accepted) + self._relayed

    @contextlib.asynccontextmanager
    async def accept(self, accepted: AcceptedRequest) -> AsyncIterator[None]:
        """Count a request while it is served, and log its end, however it ends.

        Whatever is raised while the caller's connection is open is an error of this
        node: the caller gets a failure, and never less than it that looks complete.
        """
        self._accepted.add(accepted)
        metrics.IN_FLIGHT.inc()
        ended_by, error = EndedBy.ERROR, ""
        try:
            yield
            ended_by = EndedBy.BACKEND if accepted.reply.is_whole else EndedBy.NODE
        except asyncio.CancelledError as raised:
            ended_by, error = self._who_interrupted(accepted), repr(raised)
            if ended_by is not EndedBy.ERROR:
                raise
            asyncio.current_task().uncancel()
            await _fail(accepted)
        except Exception as raised:
            ended_by, error = self._who_interrupted(accepted), repr(raised)
            if ended_by is EndedBy.ERROR:
                await _fail(accepted)
        finally:
            self._accepted.discard(accepted)
            metrics.IN_FLIGHT.dec()
            self._record_end(accepted, ended_by, error)

    def _who_interrupted(self, accepted: AcceptedRequest) -> EndedBy:
        if self.is_stopping:
            return EndedBy.STOP
        return EndedBy.ERROR if accepted.is_connected else EndedBy.CALLER

    def _record_end(
        self, accepted: AcceptedRequest, ended_by: EndedBy, error: str
    ) -> None:
        outcome = {
            EndedBy.CALLER: "caller_gone",
            EndedBy.STOP: "stopped",
            EndedBy.ERROR: "internal",
        }
        accepted.reply.outcome = outcome.get(ended_by, accepted.reply.outcome)
        metrics.ANSWERS.labels(accepted.reply.outcome).inc()
        log_end(accepted, ended_by, error, self.timer.now_s(), self.version())

    @contextlib.contextmanager
    def relaying(self) -> Iterator[None]:
        """Count a request of another node's caller while it is served through here."""
        self._relayed += 1
        try:
            yield
        finally:
            self._relayed -= 1


async def _fail(accepted: AcceptedRequest) -> None:
    """Answer a request whose serving was interrupted unexpectedly."""
    with contextlib.suppress(ConnectionError):
        if accepted.reply.is_over:
            return
        if accepted.reply.has_begun:
            await accepted.reply.abort()
        else:
            await accepted.reply.refuse(Failure.from_code(ResultCode.INTERNAL))
