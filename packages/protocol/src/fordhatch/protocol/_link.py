"""One authenticated msgpack stream between two nodes, shared by many channels."""

from __future__ import annotations

import asyncio
import math
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.core import (
    Failure,
    Ran,
    ResultCode,
    TaskSet,
    Timer,
    log_event,
    metrics,
)

from ._codec import (
    MAC_BYTES,
    MAX_FRAME_BYTES,
    FrameError,
    decode,
    derive_key,
    encode,
    seal,
    verify,
)
from ._messages import ONE_ANSWER, PROTOCOL_VERSION, Close, Hello, Proof, Refused

HANDSHAKE_TIMEOUT_S = 3.0
"""How long a new connection may take to prove itself."""

CONNECT_TIMEOUT_S = 1.0
"""How long connecting to a node may take."""

LENGTH_BYTES = 4
"""Bytes of a frame's length prefix."""

DRAIN_ABOVE_BYTES = 256 * 1024
"""A sender waits for the socket when more than this is buffered."""

Handler = Callable[[Any, "Channel"], Awaitable[None]]
"""Serves one incoming request on its channel."""


def to_refused(failure: Failure) -> Refused:
    """Return the message form of a failure."""
    return Refused(
        int(failure.code), failure.message, failure.ran.value, failure.retry_after_s
    )


def to_failure(refused: Refused) -> Failure:
    """Return the failure that a message carries."""
    return Failure(
        ResultCode(refused.code),
        refused.text,
        Ran(refused.ran),
        refused.retry_after_s,
    )


async def receive_from(
    inbox: asyncio.Queue[Any], timeout_s: float | None
) -> Result[Any, Failure]:
    """Return the next message of an inbox; None in it means that the link broke."""
    if inbox.empty():
        try:
            message = await asyncio.wait_for(inbox.get(), timeout_s)
        except TimeoutError:
            return Err(Failure.from_code(ResultCode.DEADLINE_EXCEEDED))
    else:
        message = inbox.get_nowait()
    if message is None:
        return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE, ran=Ran.MAYBE))
    if isinstance(message, Refused):
        return Err(to_failure(message))
    return Ok(message)


@attrs.define(eq=False, repr=False)
class Channel:
    """One request with its answers inside a link."""

    link: Link
    number: int
    has_one_answer: bool = False
    """Whether the first answer is the last, so that nobody need say so."""
    is_answered: bool = False
    serving: asyncio.Task[object] | None = None
    """What serves the request, on the side that does."""
    _inbox: asyncio.Queue[Any] = attrs.field(factory=asyncio.Queue)
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the other side closed the channel or the link broke."""

    @property
    def peer_name(self) -> str:
        """The node at the other end."""
        return self.link.peer_name

    async def send(self, message: object) -> Result[None, Failure]:
        """Send a message to the other side, if it still listens."""
        if self.closed.is_set():
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        if self.serving is not None:
            self.is_answered = True
        return await self.link.send(self.number, message)

    async def receive(self, timeout_s: float | None = None) -> Result[Any, Failure]:
        """Return the next message, or a failure when the link broke.

        Args:
            timeout_s: Longest wait; None waits as long as the link lives.

        Returns:
            The message; a received ``Refused`` comes back as its failure, and
            ``DEADLINE_EXCEEDED`` means only that nothing came in time.
        """
        return await receive_from(self._inbox, timeout_s)

    async def close(self) -> None:
        """End the channel; the other side cancels what it does for it."""
        is_done = self.has_one_answer and self.is_answered
        if self.link.forget(self.number) and not (is_done or self.closed.is_set()):
            await self.link.send(self.number, Close())

    def deliver(self, message: object | None) -> None:
        """Take a message from the link; None means that the channel ended."""
        if message is not None:
            self.is_answered = True
            self._inbox.put_nowait(message)
            return
        self.closed.set()
        self._inbox.put_nowait(None)
        if self.serving is not None:
            self.serving.cancel()


@attrs.define(eq=False, repr=False)
class Link:
    """An authenticated connection; one task reads it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    node_name: str
    shared_key: bytes
    handler: Handler | None
    timer: Timer
    is_client: bool
    peer_name: str = ""
    last_used_s: float = 0.0
    """When a request was last sent, in monotonic seconds."""
    last_received_s: float = -math.inf
    """When anything was last received, in monotonic seconds."""
    alive: bool = False
    _send_key: bytes = b""
    _receive_key: bytes = b""
    _sent: int = 0
    _received: int = 0
    _next_channel: int = 1
    _channels: dict[int, Channel] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @property
    def busy(self) -> bool:
        """Whether any request is in progress."""
        return bool(self._channels)

    async def handshake(self) -> None:
        """Prove the shared key to each other.

        Raises:
            FrameError: If the other side is a stranger or speaks another version.
        """
        nonce = secrets.token_bytes(16)
        hello = Hello(PROTOCOL_VERSION, self.node_name, nonce)
        self._write_raw(encode(0, hello))
        theirs = await self._read_plain(Hello)
        if theirs.version != PROTOCOL_VERSION:
            raise FrameError(f"protocol version {theirs.version}")
        self.peer_name = theirs.node_name
        ours_first = [nonce, theirs.nonce] if self.is_client else [theirs.nonce, nonce]
        names = [self.node_name.encode(), theirs.node_name.encode()]
        if not self.is_client:
            names.reverse()
        session = derive_key(self.shared_key, b"session", *ours_first, *names)
        to_server = derive_key(session, b"to-server")
        to_client = derive_key(session, b"to-client")
        mine, other = (
            (to_server, to_client) if self.is_client else (to_client, to_server)
        )
        self._write_raw(encode(0, Proof(derive_key(mine, b"proof"))))
        proof = await self._read_plain(Proof)
        if not secrets.compare_digest(proof.mac, derive_key(other, b"proof")):
            raise FrameError("authentication failed")
        self._send_key, self._receive_key = mine, other
        self.alive = True

    async def _read_plain(self, kind: type) -> Any:
        body = await self._read_frame()
        message = decode(body)[1]
        if not isinstance(message, kind):
            raise FrameError(f"expected {kind.__name__}")
        return message

    async def _read_frame(self) -> bytes:
        length = int.from_bytes(await self.reader.readexactly(LENGTH_BYTES), "big")
        # A stranger may not make a node reserve memory before the handshake.
        limit = MAX_FRAME_BYTES if self.alive else 1024
        if length > limit:
            raise FrameError("frame too long")
        return await self.reader.readexactly(length)

    def _write_raw(self, body: bytes) -> None:
        self.writer.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)

    async def send(self, channel: int, message: object) -> Result[None, Failure]:
        """Send a message on a channel.

        Returns:
            A failure with ``ran`` no when the link is already known to be broken.
        """
        if not self.alive:
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        body = encode(channel, message)
        mac = seal(self._send_key, self._sent, body)
        self._sent += 1
        metrics.peer_messages("sent", type(message).__name__).inc()
        metrics.PEER_BYTES_SENT.inc(len(body) + MAC_BYTES + LENGTH_BYTES)
        self._write_raw(mac + body)
        if self.writer.transport.get_write_buffer_size() > DRAIN_ABOVE_BYTES:
            try:
                await self.writer.drain()
            except OSError:
                return Err(
                    Failure.from_code(ResultCode.PEER_UNREACHABLE, ran=Ran.MAYBE)
                )
        return Ok(None)

    def open(self, message: object) -> Channel:
        """Return a new channel that this side starts, for a request."""
        channel = Channel(self, self._next_channel, type(message) in ONE_ANSWER)
        self._channels[self._next_channel] = channel
        self._next_channel += 1
        return channel

    def forget(self, number: int) -> bool:
        """Drop a channel; returns whether it was still known."""
        return self._channels.pop(number, None) is not None

    async def run(self) -> None:
        """Read frames until the connection ends."""
        try:
            while True:
                frame = await self._read_frame()
                mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
                verify(self._receive_key, self._received, body, mac)
                self._received += 1
                self.last_received_s = self.timer.now_s()
                metrics.PEER_BYTES_RECEIVED.inc(len(frame) + LENGTH_BYTES)
                self._dispatch(*decode(body))
        except FrameError as error:
            metrics.FRAMES_REFUSED.labels("stream").inc()
            log_event("frame_refused", peer=self.peer_name, reason=str(error))
        except (OSError, EOFError):
            pass
        finally:
            await self.close()

    def _dispatch(self, number: int, message: Any) -> None:
        metrics.peer_messages("received", type(message).__name__).inc()
        channel = self._channels.get(number)
        if channel is not None:
            channel.deliver(None if isinstance(message, Close) else message)
        elif self.handler is not None and not isinstance(message, Close):
            channel = Channel(self, number, type(message) in ONE_ANSWER)
            self._channels[number] = channel
            serving = self._serve(channel, message)
            channel.serving = self._tasks.spawn(serving, "link-handler")

    async def _serve(self, channel: Channel, message: Any) -> None:
        """Serve one request; its task is cancelled when the other side ends it."""
        try:
            await self.handler(message, channel)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log_event("handler_failed", error=repr(error))
            failure = Failure.from_code(ResultCode.INTERNAL)
            await channel.send(to_refused(failure))
        finally:
            await channel.close()

    async def close(self) -> None:
        """Close the connection; every open channel ends."""
        self.alive = False
        for channel in list(self._channels.values()):
            channel.deliver(None)
        self._channels.clear()
        self.writer.close()
        await self._tasks.close()
