"""Reading of callers' bodies, bounded in bytes, in time and by the node's memory."""

from __future__ import annotations

from aiohttp import web
from result import Err, Ok, Result

from fordhatch.core import Failure, Ran, ResultCode, record_bound

from ._accepted_request import AcceptedRequest
from ._caller_writes import send_continue
from ._node_state import NodeState


async def read_body(
    state: NodeState, accepted: AcceptedRequest, max_bytes: int, due_s: float
) -> Result[bytes, Failure]:
    """Return the complete body of a request, which counts as held from now on.

    Args:
        state: The node's state.
        accepted: The request.
        max_bytes: Longest body that is allowed, in bytes.
        due_s: When the final answer is due, in monotonic seconds.

    Returns:
        The body, or ``BODY_TOO_LARGE``, ``OVERLOADED`` if the node has no room for it,
        ``DEADLINE_EXCEEDED``, or ``BAD_REQUEST`` if it is malformed.
    """
    http_request = accepted.http_request
    declared_bytes = http_request.content_length or 0
    if declared_bytes > max_bytes:
        return Err(Failure.from_code(ResultCode.BODY_TOO_LARGE))
    refusal = state.memory_refusal(declared_bytes)
    if refusal is not None:
        return Err(refusal)
    if not http_request.can_read_body:
        return Ok(b"")
    send_continue(http_request)
    try:
        async with state.timer.timeout(max(due_s - state.timer.now_s(), 0.0)):
            return await _read_pieces(state, accepted, max_bytes)
    except TimeoutError:
        record_bound("request_body", request=accepted.request_id)
        return Err(Failure.from_code(ResultCode.DEADLINE_EXCEEDED, "body", ran=Ran.NO))
    except web.RequestPayloadError as error:
        return Err(Failure.from_code(ResultCode.BAD_REQUEST, repr(error)))


async def _read_pieces(
    state: NodeState, accepted: AcceptedRequest, max_bytes: int
) -> Result[bytes, Failure]:
    pieces: list[bytes] = []
    body_bytes = 0
    async for piece in accepted.http_request.content.iter_any():
        pieces.append(piece)
        body_bytes += len(piece)
        accepted.holding.add(len(piece))
        if body_bytes > max_bytes:
            return Err(Failure.from_code(ResultCode.BODY_TOO_LARGE))
        refusal = state.growth_refusal(body_bytes)
        if refusal is not None:
            return Err(refusal)
    return Ok(b"".join(pieces))
