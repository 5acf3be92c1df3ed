"""Two heads of groups, one of which stops sending events until a test lets it go on."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable

import attrs
from raw_caller import Answer, Caller, event_chunk, request_bytes, stream_head
from stopping_node import StoppingNode, StoppingSite

from fordhatch_standins import ScriptedBackend

EVENTS = 20
"""Events of each stream."""

SILENT_AFTER = 5
"""Events that the silent head sends before it stops."""

INTERVAL_S = 0.02

EARNING_REQUESTS = 100
"""Requests that earn a node some retries."""

EARNING_INTERVAL_S = 0.01
"""Time between them; those of a burst earn nothing until later."""

EARNS_AFTER_S = 0.6
"""Time from a node's start in which requests earn nothing."""

LOG_S = 0.2
"""Time after which a line has reached the reader of the log."""

MAX_BEGINNINGS = 200
"""Streams that are sent until one begins at the head that falls silent."""

CLOSED_WITHIN_S = 0.5
"""Longest time from the end of a run to the end of its connection."""

EVENT_IDS = re.compile(rb"^id: (\d+)$", re.MULTILINE)

WHOLE = (200, "whole", list(range(1, EVENTS + 1)))
"""Status, end and events of a whole stream, each event once and in order."""


def seen(answer: Answer) -> tuple[int, str, list[int]]:
    """Return status, end and events of an answer."""
    events = [int(number) for number in EVENT_IDS.findall(answer.body)]
    return (*answer.seen, events)


async def told(node: StoppingNode, *request_ids: str) -> str:
    """Return the lines of a node's log that name requests which have ended."""
    await asyncio.sleep(LOG_S)
    lines = [x for x in node.lines if any(f"={name} " in x for name in request_ids)]
    return "\n".join(lines)


async def send_events(writer: asyncio.StreamWriter, first: int, last: int) -> None:
    """Send events at the usual interval."""
    for number in range(first, last + 1):
        writer.write(event_chunk(number))
        await writer.drain()
        await asyncio.sleep(INTERVAL_S)


async def send_rest(request: object, writer: asyncio.StreamWriter) -> None:
    """Send the events that the caller doesn't have, and the end of the stream."""
    writer.write(stream_head(request))
    await send_events(writer, int(request.headers.get("last-event-id", 0)) + 1, EVENTS)
    await send_end(writer)


async def send_end(writer: asyncio.StreamWriter) -> None:
    """Send the end of a stream."""
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def is_short(request: object) -> bool:
    """Return whether a request only earns retries."""
    return request.target.startswith("/single")


async def send_one_event(request: object, writer: asyncio.StreamWriter) -> None:
    """Send a stream of one event."""
    writer.write(stream_head(request) + event_chunk(1))
    await send_end(writer)


async def earn_retries(
    node: StoppingNode, path: str, requests: int = EARNING_REQUESTS
) -> None:
    """Send requests that earn a node some retries."""
    await asyncio.sleep(EARNS_AFTER_S)
    caller = await Caller.connect(node)
    for number in range(requests):
        answer = await caller.ask(path, f"earns-{number}")
        assert answer.is_whole, answer
        await asyncio.sleep(EARNING_INTERVAL_S)
    caller.close()


@attrs.define(eq=False, repr=False)
class SilentRuns:
    """Streams whose first run stops after some events."""

    site: StoppingSite
    node: StoppingNode
    silent: ScriptedBackend
    other: ScriptedBackend
    goes_on: asyncio.Event
    """Set once the silent head sends events again."""

    @classmethod
    async def start(
        cls, site: StoppingSite, take_over: Callable = send_rest, **node: object
    ) -> SilentRuns:
        """Start two heads and a node.

        Args:
            site: The site, without any.
            take_over: Script of the second runs at the other head.
            **node: Arguments of the node.
        """
        goes_on = asyncio.Event()

        async def fall_silent(request: object, writer: asyncio.StreamWriter) -> None:
            if is_short(request):
                await send_one_event(request, writer)
                return
            writer.write(stream_head(request))
            await send_events(writer, 1, SILENT_AFTER)
            await goes_on.wait()
            await send_events(writer, SILENT_AFTER + 1, EVENTS)
            await send_end(writer)

        async def serve(request: object, writer: asyncio.StreamWriter) -> None:
            if is_short(request):
                await send_one_event(request, writer)
            elif "last-event-id" in request.headers:
                await take_over(request, writer)
            else:
                await send_rest(request, writer)

        silent = await site.add_backend(fall_silent, "small.1")
        other = await site.add_backend(serve, "small.2")
        started = await site.add_node(**node)
        return cls(site, started, silent, other, goes_on)

    async def earn_retries(
        self, node: StoppingNode | None = None, requests: int = EARNING_REQUESTS
    ) -> None:
        """Send requests of a route whose times don't count for the streams."""
        await earn_retries(node or self.node, "/single/1", requests)

    async def begin(
        self, node: StoppingNode | None = None, prefix: str = "r"
    ) -> tuple[Caller, str]:
        """Begin a stream at the head that falls silent.

        Args:
            node: The node that gets it; the first one by default.
            prefix: First part of the ids.

        Returns:
            The caller and the id of its request.
        """
        for number in range(MAX_BEGINNINGS):
            request_id = f"{prefix}{number}"
            caller = await Caller.connect(node or self.node)
            await caller.send(request_bytes("/stream/1", request_id))
            await caller.begun(b"id: 1\n")
            if self.has_run(self.silent, request_id):
                await caller.begun(b"id: %d\n" % SILENT_AFTER)
                return caller, request_id
            # A whole answer would show that the route's answers take a short time.
            caller.close()
        raise AssertionError("no stream begins at the silent head")

    def has_run(self, head: ScriptedBackend, request_id: str) -> bool:
        """Return whether a head has got a request."""
        return request_id in [request.request_id for request in head.seen]

    async def go_on_after(self, silence_s: float) -> None:
        """Let the silent head go on after a time."""
        await asyncio.sleep(silence_s)
        self.goes_on.set()


def refuse(request: object, writer: asyncio.StreamWriter) -> None:
    """Answer that a request has not run."""
    lines = [
        "HTTP/1.1 503 X",
        f"X-Attempt-Id: {request.request_id}",
        "X-Not-Executed: 1",
        "Content-Length: 0",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


@contextlib.asynccontextmanager
async def hanging(backend: ScriptedBackend, port: str):
    """Replace a backend server by a listener that accepts no further connection."""
    await backend.close()
    loop = asyncio.get_running_loop()
    with contextlib.ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", int(port)))
        listener.listen(0)
        is_full = False
        while not is_full:
            filler = sockets.enter_context(socket.socket())
            filler.setblocking(False)
            try:
                async with asyncio.timeout(0.2):
                    await loop.sock_connect(filler, ("127.0.0.1", int(port)))
            except TimeoutError:
                is_full = True
        yield
