"""Answers of plain services that are too long to be held: passed on as they come."""

from __future__ import annotations

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result

from fordhatch.adapter import answer_headers
from fordhatch.core import Holding, Timer, log_event, record_bound

from .._request import Reply, ServedRequest
from ..exchange import (
    UNCONFIRMED_END,
    BackendAnswer,
    BackendExchange,
    HeldBody,
    SendFailure,
    SendProblem,
    connection_problem,
)

MAX_UNDECLARED_BYTES = 256 * 1024 * 1024
"""Longest body of an answer that does not declare its length: a sound one of that
length takes seconds, one without end would go on until the caller's deadline."""


@attrs.define(eq=False, repr=False)
class AnswerPassing:
    """Passes an answer on while it is read; an incomplete one is aborted."""

    timer: Timer
    exchange: BackendExchange

    async def pass_on(
        self,
        request: ServedRequest,
        reply: Reply,
        answer: BackendAnswer,
        held: HeldBody,
        holding: Holding,
    ) -> Result[None, SendFailure]:
        """Pass on what is held of an answer and then the rest of it.

        Args:
            request: The request, whose deadline bounds the answer.
            reply: Final when this returns.
            answer: The answer.
            held: The beginning of its body, which is emptied.
            holding: Counts it.
        """
        log_event(
            "answer_passed_on",
            request=request.fields.request_id,
            backend=answer.backend.backend_id,
            held_bytes=held.size_bytes,
        )
        request.timeline.record_output(self.timer.now_s())
        failure = await self._forward(request, reply, answer, held, holding)
        if failure is not None:
            await reply.abort()
            return Err(failure)
        await reply.end()
        return Ok(None)

    async def _forward(
        self,
        request: ServedRequest,
        reply: Reply,
        answer: BackendAnswer,
        held: HeldBody,
        holding: Holding,
    ) -> SendFailure | None:
        left_s = max(request.left_s(self.timer.now_s()), 0.0)
        try:
            async with self.timer.timeout(left_s):
                await reply.begin(answer.status, answer_headers(answer.headers))
                passed_bytes = await _write_held(reply, held, holding)
                failure = await self._copy(request, reply, answer, passed_bytes)
        except TimeoutError:
            return SendFailure(SendProblem.SILENT, "body not complete in time")
        left_s = request.left_s(self.timer.now_s())
        if failure is None and not await self.exchange.confirms_end(answer, left_s):
            return SendFailure(SendProblem.CONNECTION_LOST, UNCONFIRMED_END)
        return failure

    async def _copy(
        self,
        request: ServedRequest,
        reply: Reply,
        answer: BackendAnswer,
        passed_bytes: int,
    ) -> SendFailure | None:
        """Pass on the rest of an answer, of which some bytes have been passed on."""
        is_declared = "Content-Length" in CIMultiDict(answer.headers)
        while True:
            try:
                piece = await answer.read_piece()
            except (aiohttp.ClientError, OSError) as error:
                return SendFailure(connection_problem(error), repr(error))
            if not piece:
                return None
            passed_bytes += len(piece)
            if passed_bytes > MAX_UNDECLARED_BYTES and not is_declared:
                record_bound("answer", request=request.fields.request_id)
                return SendFailure(SendProblem.BROKEN, f"over {passed_bytes} bytes")
            await reply.write(piece)


async def _write_held(reply: Reply, held: HeldBody, holding: Holding) -> int:
    """Write what is held and release it piece by piece; returns its length."""
    size_bytes = held.size_bytes
    held.pieces.reverse()
    while held.pieces:
        piece = held.pieces.pop()
        await reply.write(piece)
        holding.remove(len(piece))
    return size_bytes
