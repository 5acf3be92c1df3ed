"""A proxy on loopback that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import asyncio

import attrs

PIECE_BYTES = 64 * 1024


@attrs.define(eq=False, repr=False)
class LoopbackProxy:
    """Passes connections on to one port, as long as nothing is wrong with the way."""

    target_port: int
    port: int = 0
    delay_s: float = 0.0
    """Added to every piece, either way."""
    swallows_requests: bool = False
    """Nothing gets to the target any more; connections stay open."""
    swallows_answers: bool = False
    """Nothing comes back any more; connections stay open."""
    refuses: bool = False
    """New connections are reset at once."""
    _opened: int = 0
    """Connections that were ever opened."""
    _silenced: int = 0
    """The connections that were opened before this number are silent for good."""
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def reset_all(self) -> None:
        """Break every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Let nothing more pass on the connections that are open; new ones work."""
        self._silenced = self._opened

    def heal(self) -> None:
        """Let everything pass again."""
        self.delay_s = 0.0
        self.swallows_requests = self.swallows_answers = self.refuses = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        try:
            back, forth = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, forth}
        number = self._opened
        self._opened += 1
        try:
            await asyncio.gather(
                self._pass_on(reader, forth, number, is_request=True),
                self._pass_on(back, writer, number, is_request=False),
            )
        except OSError:
            pass
        finally:
            self._writers -= {writer, forth}
            writer.transport.abort()
            forth.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        *,
        is_request: bool,
    ) -> None:
        while piece := await reader.read(PIECE_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            swallows = self.swallows_requests if is_request else self.swallows_answers
            if not swallows and number >= self._silenced:
                writer.write(piece)
                await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def close(self) -> None:
        """Stop listening and break every connection."""
        self._server.close()
        self.reset_all()
