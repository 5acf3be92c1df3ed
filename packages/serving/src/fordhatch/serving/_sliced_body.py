"""Long bodies on their way out, which the HTTP library would copy as a whole."""

from __future__ import annotations

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

SLICE_BYTES = 64 * 1024
"""Most bytes that are written at once; a shorter body is written as it is."""


class SlicedBody(BytesPayload):
    """Bytes that are written in slices, each once the connection has taken the last.

    The library joins a body with the head before it, and hands all of it to the
    connection, which would hold a second copy until its peer has read it.
    """

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write all bytes."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write as many bytes as the head has declared; None for all."""
        view = memoryview(self._value)[:content_length]
        for begin in range(0, len(view), SLICE_BYTES):
            await writer.write(view[begin : begin + SLICE_BYTES])


def in_slices(body: bytes) -> bytes | SlicedBody:
    """Return a body in the form in which it is handed to the HTTP library."""
    return body if len(body) <= SLICE_BYTES else SlicedBody(body)
