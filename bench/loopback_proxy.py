"""Loopback proxy that delays or resets connections, or drops their traffic."""

from __future__ import annotations

import asyncio

import attrs

READ_LIMIT_BYTES = 64 * 1024


@attrs.define(eq=False, repr=False)
class LoopbackProxy:
    """Forwards connections to one port, subject to the faults that are set."""

    target_port: int
    port: int = 0
    delay_s: float = 0.0
    """Delay of each chunk in both directions, in seconds."""
    drops_requests: bool = False
    """Whether traffic to the target is dropped; connections stay open."""
    drops_answers: bool = False
    """Whether traffic from the target is dropped; connections stay open."""
    refuses: bool = False
    """Whether new connections are reset at once."""
    _opened: int = 0
    """Number of connections opened since the start."""
    _silenced: int = 0
    """Traffic of all connections numbered below this is dropped until they close."""
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> int:
        """Start to listen and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Drop all further traffic of the open connections, but not of new ones."""
        self._silenced = self._opened

    def heal(self) -> None:
        """End the delay, the dropping by direction and the refusal of connections."""
        self.delay_s = 0.0
        self.drops_requests = self.drops_answers = self.refuses = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        number = self._opened
        self._opened += 1
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, number, is_request=True),
                self._forward(target_reader, writer, number, is_request=False),
            )
        except OSError:
            pass
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        *,
        is_request: bool,
    ) -> None:
        while chunk := await reader.read(READ_LIMIT_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            drops = self.drops_requests if is_request else self.drops_answers
            if not drops and number >= self._silenced:
                writer.write(chunk)
                await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_all()
