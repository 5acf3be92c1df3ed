"""Authenticated msgpack stream between two nodes that multiplexes many channels."""

from __future__ import annotations

import asyncio
import math
import secrets
from collections import deque
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
    record_bound,
)

from ._codec import (
    MAC_BYTES,
    MAX_FRAME_BYTES,
    FrameError,
    compute_mac,
    decode,
    derive_key,
    encode,
    verify,
)
from ._messages import (
    PROTOCOL_VERSION,
    SINGLE_ANSWER_REQUESTS,
    Close,
    Hello,
    Proof,
    Refused,
)

HANDSHAKE_TIMEOUT_S = 3.0
"""Timeout of the handshake on a new connection."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout of the TCP connection to a node."""

LENGTH_BYTES = 4
"""Size of a frame's length prefix."""

DRAIN_ABOVE_BYTES = 256 * 1024
"""A sender waits for the socket when its write buffer exceeds this size."""

MAX_INBOX_BYTES = 2 * MAX_FRAME_BYTES
"""Most bytes that wait on one channel to be received. A relayed answer, the longest
exchange, has half a megabyte on its way."""

MAX_CHANNELS = 16 * 1024
"""Most requests that a node may have open on one link: several times those of a full
node."""

Handler = Callable[[Any, "Channel"], Awaitable[None]]
"""Serves one incoming request on its channel."""


def to_refused(failure: Failure) -> Refused:
    """Convert a failure to the message that reports it."""
    return Refused(
        int(failure.code), failure.message, failure.ran.value, failure.retry_after_s
    )


def to_failure(refused: Refused) -> Failure:
    """Convert a received ``Refused`` message to its failure."""
    return Failure(
        ResultCode(refused.code),
        refused.text,
        Ran(refused.ran),
        refused.retry_after_s,
    )


async def receive_from(
    inbox: asyncio.Queue[Any], timeout_s: float | None
) -> Result[Any, Failure]:
    """Return the next message of an inbox.

    Args:
        inbox: Queue of received messages; None in it marks the end of the channel.
        timeout_s: Maximum wait in seconds; None waits without limit.

    Returns:
        The message, or a failure: ``DEADLINE_EXCEEDED`` after the timeout,
        ``PEER_UNREACHABLE`` when the channel ended, or the one of a ``Refused``.
    """
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
    """One request and its answers, multiplexed over a link."""

    link: Link
    number: int
    has_single_answer: bool = False
    """Whether the first answer is the last, so that no ``Close`` is needed."""
    is_answered: bool = False
    serving: asyncio.Task[object] | None = None
    """Task that serves the request; None on the side that sent it."""
    _inbox: asyncio.Queue[Any] = attrs.field(factory=asyncio.Queue)
    _sizes_bytes: deque[int] = attrs.field(factory=deque)
    """Sizes of the messages in the inbox, in its order."""
    _inbox_bytes: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the peer closed the channel or the link broke."""

    @property
    def inbox_bytes(self) -> int:
        """Bytes of the messages that wait to be received."""
        return self._inbox_bytes

    @property
    def peer_name(self) -> str:
        """Name of the node at the other end."""
        return self.link.peer_name

    async def send(self, message: object) -> Result[None, Failure]:
        """Send a message to the peer.

        Returns:
            ``PEER_UNREACHABLE`` when the peer closed the channel or the link broke.
        """
        if self.closed.is_set():
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        if self.serving is not None:
            self.is_answered = True
        return await self.link.send(self.number, message)

    async def receive(self, timeout_s: float | None = None) -> Result[Any, Failure]:
        """Return the next message, or a failure when the link broke.

        Args:
            timeout_s: Maximum wait in seconds; None waits until the link breaks.

        Returns:
            The message. A received ``Refused`` is returned as its failure;
            ``DEADLINE_EXCEEDED`` means that no message arrived within the timeout.
        """
        received = await receive_from(self._inbox, timeout_s)
        # Messages may have arrived, or been received by others, while this waited.
        while len(self._sizes_bytes) > self._inbox.qsize():
            self._inbox_bytes -= self._sizes_bytes.popleft()
        return received

    async def close(self) -> None:
        """Close the channel; the peer cancels its work on the request."""
        is_done = self.has_single_answer and self.is_answered
        if self.link.forget(self.number) and not (is_done or self.closed.is_set()):
            await self.link.send(self.number, Close())

    def deliver(self, message: object | None, size_bytes: int = 0) -> None:
        """Queue a message received by the link; None means that the channel ended.

        Raises:
            FrameError: If too much waits to be received.
        """
        if message is not None:
            self.is_answered = True
            self._inbox_bytes += size_bytes
            if self._inbox_bytes > MAX_INBOX_BYTES:
                record_bound("inbox", peer=self.peer_name)
                raise FrameError("too many bytes wait on a channel")
            self._inbox.put_nowait(message)
            self._sizes_bytes.append(size_bytes)
            return
        self.closed.set()
        self._inbox.put_nowait(None)
        if self.serving is not None:
            self.serving.cancel()


@attrs.define(eq=False, repr=False)
class Link:
    """An authenticated connection, read by a single task."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    node_name: str
    shared_key: bytes
    handler: Handler | None
    timer: Timer
    is_client: bool
    peer_name: str = ""
    last_used_s: float = 0.0
    """Monotonic time of the last request sent."""
    last_received_s: float = -math.inf
    """Monotonic time of the last frame received."""
    alive: bool = False
    _send_key: bytes = b""
    _receive_key: bytes = b""
    _sent: int = 0
    _received: int = 0
    _next_channel: int = 1
    _frame_bytes: int = 0
    """Length of the frame that is being read."""
    _channels: dict[int, Channel] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of messages that are being read, or wait to be received or sent."""
        received = sum(c.inbox_bytes for c in self._channels.values())
        return (
            self._frame_bytes + received + self.writer.transport.get_write_buffer_size()
        )

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return bool(self._channels)

    async def handshake(self) -> None:
        """Authenticate both nodes with the shared key and derive the session keys.

        Raises:
            FrameError: If the peer does not have the shared key or uses another
                protocol version.
        """
        nonce = secrets.token_bytes(16)
        hello = Hello(PROTOCOL_VERSION, self.node_name, nonce)
        self._write_raw(encode(0, hello))
        peer_hello = await self._read_handshake_message(Hello)
        if peer_hello.version != PROTOCOL_VERSION:
            raise FrameError(f"protocol version {peer_hello.version}")
        self.peer_name = peer_hello.node_name
        nonces = (
            [nonce, peer_hello.nonce] if self.is_client else [peer_hello.nonce, nonce]
        )
        names = [self.node_name.encode(), peer_hello.node_name.encode()]
        if not self.is_client:
            names.reverse()
        session = derive_key(self.shared_key, b"session", *nonces, *names)
        to_server = derive_key(session, b"to-server")
        to_client = derive_key(session, b"to-client")
        send_key, receive_key = (
            (to_server, to_client) if self.is_client else (to_client, to_server)
        )
        self._write_raw(encode(0, Proof(derive_key(send_key, b"proof"))))
        proof = await self._read_handshake_message(Proof)
        if not secrets.compare_digest(proof.mac, derive_key(receive_key, b"proof")):
            raise FrameError("authentication failed")
        self._send_key, self._receive_key = send_key, receive_key
        self.alive = True

    async def _read_handshake_message(self, kind: type) -> Any:
        body = await self._read_frame()
        message = decode(body)[1]
        if not isinstance(message, kind):
            raise FrameError(f"expected {kind.__name__}")
        return message

    async def _read_frame(self) -> bytes:
        length = int.from_bytes(await self.reader.readexactly(LENGTH_BYTES), "big")
        # An unauthenticated peer must not make the node allocate large buffers.
        limit = MAX_FRAME_BYTES if self.alive else 1024
        if length > limit:
            raise FrameError("frame too long")
        self._frame_bytes = length
        try:
            return await self.reader.readexactly(length)
        finally:
            self._frame_bytes = 0

    def _write_raw(self, body: bytes) -> None:
        self.writer.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)

    async def send(self, channel: int, message: object) -> Result[None, Failure]:
        """Send a message on a channel.

        Returns:
            A failure with ``ran`` no when the link was already closed, and with
            ``ran`` maybe when it broke while sending.
        """
        if not self.alive or self.writer.is_closing():
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        body = encode(channel, message)
        mac = compute_mac(self._send_key, self._sent, body)
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
        """Open a channel for a request from this side.

        Args:
            message: The request; its type decides how many answers are expected.
                It is not sent here.
        """
        channel = Channel(
            self, self._next_channel, type(message) in SINGLE_ANSWER_REQUESTS
        )
        self._channels[self._next_channel] = channel
        self._next_channel += 1
        return channel

    def forget(self, number: int) -> bool:
        """Remove a channel and return whether it was still open."""
        return self._channels.pop(number, None) is not None

    async def run(self) -> None:
        """Read and dispatch frames until the connection ends."""
        try:
            while True:
                frame = await self._read_frame()
                mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
                verify(self._receive_key, self._received, body, mac)
                self._received += 1
                self.last_received_s = self.timer.now_s()
                metrics.PEER_BYTES_RECEIVED.inc(len(frame) + LENGTH_BYTES)
                self._dispatch(*decode(body), len(body))
        except FrameError as error:
            metrics.FRAMES_REFUSED.labels("stream").inc()
            log_event(
                "frame_refused",
                peer=self.peer_name,
                code=ResultCode.FRAME_INVALID.name,
                reason=str(error),
            )
        except (OSError, EOFError):
            pass
        finally:
            await self.close()

    def _dispatch(self, number: int, message: Any, size_bytes: int) -> None:
        metrics.peer_messages("received", type(message).__name__).inc()
        channel = self._channels.get(number)
        if channel is not None:
            is_end = isinstance(message, Close)
            channel.deliver(None if is_end else message, size_bytes)
        elif self.handler is not None and not isinstance(message, Close):
            if len(self._channels) >= MAX_CHANNELS:
                record_bound("channels", peer=self.peer_name)
                raise FrameError("too many requests on a connection")
            channel = Channel(self, number, type(message) in SINGLE_ANSWER_REQUESTS)
            self._channels[number] = channel
            serving = self._serve(channel, message)
            channel.serving = self._tasks.spawn(serving, "link-handler")

    async def _serve(self, channel: Channel, message: Any) -> None:
        """Serve one request; the task is cancelled when the peer closes the channel."""
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
        """Close the connection and end every open channel."""
        self.alive = False
        for channel in list(self._channels.values()):
            channel.deliver(None)
        self._channels.clear()
        self.writer.close()
        await self._tasks.close()
