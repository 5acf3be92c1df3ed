"""An answer on a caller's connection."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from aiohttp import HttpVersion11, web

from ._caller_writes import finish, reset, while_caller_reads, write
from ._node_state import NodeState
from ._reply_heads import ExactResponse, UnwritableHead
from ._sliced_body import in_slices


@attrs.define(eq=False, repr=False)
class HttpReply:
    """Common base of the replies of all interfaces."""

    http_request: web.BaseRequest
    state: NodeState
    response: web.StreamResponse | None = None
    outcome: str = ""
    """Result as the caller sees it, for logs and metrics."""
    is_whole: bool = False
    """Whether a complete answer of a backend server was sent."""
    is_over: bool = False
    """Whether an answer, a refusal or a failure was sent to its end, or aborted."""
    due_s: float = 0.0
    """When the final answer is due, in monotonic seconds."""

    @property
    def has_begun(self) -> bool:
        """Whether any byte of the answer was sent."""
        return self.response is not None

    async def _send_body(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a complete answer."""
        await self._send(
            ExactResponse(status=status, headers=headers, body=in_slices(body))
        )

    async def _send(self, response: web.Response) -> None:
        """Send an answer of one piece."""
        await self._prepare(response)
        await self._finish()

    async def _begin_stream(self, response: web.StreamResponse) -> None:
        """Start an answer whose body is streamed."""
        if self.http_request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        else:
            response.force_close()
        await self._prepare(response)

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self.is_over or self.response is not None:
            raise ConnectionResetError("another answer has been sent")
        self.response = response
        if self.state.is_leaving:
            response.force_close()
        async with while_caller_reads(self.http_request, self.state.timer, self.due_s):
            try:
                await response.prepare(self.http_request)
            except ValueError as error:
                # The caller gets another answer.
                self.response = None
                raise UnwritableHead(repr(error)) from error

    async def _write(self, piece: bytes) -> None:
        await write(
            self.http_request, self.response, piece, self.state.timer, self.due_s
        )

    async def _finish(self) -> None:
        await finish(self.http_request, self.response, self.state.timer, self.due_s)
        self.is_over = True
        self._release()

    def _release(self) -> None:
        """Drop the answer's body and what was not read of the request's body.

        The library refers to both until the next request on the connection.
        """
        if isinstance(self.response, web.Response):
            self.response.body = None
        content = self.http_request.content
        if content.is_eof() and content.exception() is None:
            content.read_nowait()

    async def abort(self) -> None:
        """Abort an answer so that the caller can't take it for a complete one."""
        self.outcome = "aborted"
        self.is_over = True
        transport = self.http_request.transport
        if self.http_request.version < HttpVersion11:
            reset(self.http_request)
        elif transport is not None:
            # A close is enough: chunks and lengths show that the end is missing.
            transport.abort()
