"""Answers of plain services that are too long to be held: passed on as they come."""

from __future__ import annotations

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result

from fordhatch.adapter import answer_headers
from fordhatch.core import Timer, log_event, record_bound

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
    ) -> Result[None, SendFailure]:
        """Pass on what is held of an answer and then the rest of it.

        Args:
            request: The request, whose deadline bounds the answer.
            reply: Final when this returns.
            answer: The answer.
            held: The beginning of its body.
        """
        log_event(
            "answer_passed_on",
            request=request.fields.request_id,
            backend=answer.backend.backend_id,
            held_bytes=len(held.data),
        )
        request.timeline.record_output(self.timer.now_s())
        failure = await self._forward(request, reply, answer, held)
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
    ) -> SendFailure | None:
        left_s = max(request.left_s(self.timer.now_s()), 0.0)
        try:
            async with self.timer.timeout(left_s):
                await reply.begin(answer.status, answer_headers(answer.headers))
                failure = await self._copy(request, reply, answer, held)
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
        held: HeldBody,
    ) -> SendFailure | None:
        is_declared = "Content-Length" in CIMultiDict(answer.headers)
        piece, passed_bytes = held.data, 0
        while piece:
            passed_bytes += len(piece)
            if passed_bytes > MAX_UNDECLARED_BYTES and not is_declared:
                record_bound("answer", request=request.fields.request_id)
                return SendFailure(SendProblem.BROKEN, f"over {passed_bytes} bytes")
            await reply.write(piece)
            try:
                piece = await answer.read_piece()
            except (aiohttp.ClientError, OSError) as error:
                return SendFailure(connection_problem(error), repr(error))
        return None
