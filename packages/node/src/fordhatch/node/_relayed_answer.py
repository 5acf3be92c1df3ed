"""An answer of a backend server that arrives through another node."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
import attrs
from multidict import CIMultiDict

from fordhatch.adapter import check_relayed_head
from fordhatch.catalog import AnswerFields, BackendServer, Backpressure, RefusalKind
from fordhatch.protocol import Channel
from fordhatch.protocol.messages import (
    RelayAck,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    RelayedPiece,
    WireBackpressure,
)
from fordhatch.serving import SendProblem, ends_with_connection

WINDOW_PIECES = 32
"""Pieces that may be on their way without an acknowledgement. With their length it
bounds the memory that a slow caller takes on both nodes."""

PIECE_BYTES = 16 * 1024
"""Longest piece, so that 512 KiB of an answer are on their way at the most.
Acknowledged are pieces and not bytes: earlier versions know no other window."""

ACK_PIECES = WINDOW_PIECES // 2
"""Pieces that one acknowledgement covers."""


class RelayBroken(aiohttp.ClientError):
    """The connection to the relaying node broke; nothing is known of the rest."""


def to_wire(backpressure: Backpressure | None) -> WireBackpressure:
    """Convert backpressure signals to their message."""
    if backpressure is None:
        return WireBackpressure()
    return WireBackpressure(
        backpressure.rest_s,
        backpressure.limit_per_s,
        backpressure.is_leaving,
        backpressure.cold_left_s,
    )


def from_wire(wire: WireBackpressure) -> Backpressure:
    """Convert received backpressure signals."""
    return Backpressure(
        wire.rest_s, wire.limit_per_s, wire.is_leaving, cold_left_s=wire.cold_left_s
    )


@attrs.define(eq=False, repr=False)
class RelayedAnswer:
    """An answer whose head was read; counterpart of ``BackendAnswer``."""

    backend: BackendServer
    fields: AnswerFields
    status: int
    headers: list[tuple[str, str]]
    _channel: Channel
    _end: Callable[[], None]
    """Ends the request to the relaying node."""
    _unacknowledged: int = 0
    is_end_confirmed: bool = True
    """The other node checks the end of a body without length."""

    @classmethod
    def from_head(
        cls,
        head: RelayedHead,
        request_id: str,
        backend: BackendServer,
        channel: Channel,
        end: Callable[[], None],
    ) -> RelayedAnswer:
        """Return the answer with a received head.

        The other node, perhaps of another version, has checked whose answer it is.

        Raises:
            InvalidAnswer: If the head breaks a rule of heads.
        """
        check_relayed_head(head.status, head.headers)
        fields = AnswerFields(
            request_id,
            RefusalKind.NONE,
            is_signed=True,
            has_encoding=False,
            backpressure=from_wire(head.backpressure),
        )
        headers = [(name, value) for name, value in head.headers]
        return cls(backend, fields, head.status, headers, channel, end)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the end of the body."""
        return ends_with_connection(self.status, CIMultiDict(self.headers))

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; empty at its complete end.

        Raises:
            aiohttp.ClientError: If the body is incomplete.
        """
        received = await self._channel.receive()
        message = received.ok()
        match message:
            case RelayedPiece():
                await self._acknowledge()
                return message.data
            case RelayedEnd():
                return b""
            case RelayedFailure(problem=SendProblem.CONNECTION_LOST.value):
                raise aiohttp.ClientPayloadError(message.detail)
            case RelayedFailure():
                raise RelayBroken(message.detail)
        raise RelayBroken(f"no answer from {self._channel.peer_name}")

    async def _acknowledge(self) -> None:
        self._unacknowledged += 1
        if self._unacknowledged >= ACK_PIECES:
            await self._channel.send(RelayAck(self._unacknowledged))
            self._unacknowledged = 0

    def close(self) -> None:
        """End the request, which cancels an unfinished one."""
        self._end()
