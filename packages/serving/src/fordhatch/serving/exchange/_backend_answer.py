"""The answer to one attempt at a backend server, and how it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Self

import aiohttp
import attrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.connector import Connection

from fordhatch.catalog import AnswerFields, BackendServer

from ._process_witness import ProcessWitness

_STATUSES_WITHOUT_BODY = (204, 304)

LOOP_TURNS = 3
"""Turns of the event loop after which an end that had arrived before is known: it is
read in one turn and reported in the next."""


def ends_with_connection(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an answer has a body with neither a length nor chunks.

    Its body ends in the same way if the backend server crashes in the middle.

    Args:
        status: The HTTP status, which may exclude a body.
        headers: The answer's headers; upper and lower case are the same.
    """
    if status in _STATUSES_WITHOUT_BODY:
        return False
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return not is_chunked and "Content-Length" not in headers


class TrackedResponse(aiohttp.ClientResponse):
    """Keeps its connection, which the library releases at the end of the body."""

    protocol: BaseProtocol

    async def start(self, connection: Connection) -> Self:
        """Read the head of the answer from its connection."""
        self.protocol = connection.protocol
        closed = connection.protocol.closed
        started = await super().start(connection)
        if closed is not None:
            closed.add_done_callback(self._on_closed)
        return started

    def _on_closed(self, closed: asyncio.Future[None]) -> None:
        """Tell the reader of a body that the library has given up."""
        if not closed.cancelled():
            # The error, if any, is reported with the body.
            closed.exception()
        if not self.content.is_eof() and self.content.exception() is None:
            self.content.set_exception(
                aiohttp.ClientPayloadError("the connection ended within the body")
            )


@attrs.define(eq=False, repr=False)
class BackendAnswer:
    """An answer whose head was read; the body is read on request."""

    backend: BackendServer
    fields: AnswerFields
    _response: TrackedResponse
    is_end_confirmed: bool = False
    """Whether the end of a body without length has been checked already."""
    witness: ProcessWitness | None = None
    """Holds another connection to the sender of an answer without length."""

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        """The headers as received."""
        return list(self._response.headers.items())

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of its connection marks the end of the body."""
        return ends_with_connection(self.status, self._response.headers)

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body has been read."""
        return self._response.content.is_eof()

    async def is_open(self) -> bool:
        """Return whether the connection is certainly open at the time of the call.

        The end of a connection is read when this process gets to it, which may be long
        after it arrived. It is certainly open if there is nothing to read.
        """
        content = self._response.content
        transport = self._response.protocol.transport
        received = content.total_bytes
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        # Behind bytes, or while reading is paused, there may be an end.
        is_quiet = content.total_bytes == received and not content.is_eof()
        return is_quiet and transport is not None and transport.is_reading()

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; empty at its complete end.

        Raises:
            aiohttp.ClientError, OSError: If the body is incomplete.
        """
        return await self._response.content.readany()

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        if self.witness is not None:
            self.witness.close()
            # It refers to this answer.
            self.witness = None
        self._response.close()
        error = self._response.content.exception()
        if error is not None:
            # The body keeps its error, and the frames of its traceback refer to it.
            error.__traceback__ = None
