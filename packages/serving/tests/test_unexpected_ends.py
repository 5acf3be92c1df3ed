"""Requests whose serving is interrupted though their caller waits for the answer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

import aiohttp
import attrs
import eliot
import pytest
import pytest_asyncio
from raw_caller import Caller, request_bytes, streams


@attrs.define
class RaisingCalls:
    """Raises an error in place of serving a request, or in the middle of its answer."""

    error: BaseException
    has_begun: bool

    async def serve(self, _: object, reply: object) -> None:
        """Begin the answer, if it has to have begun, and raise."""
        if self.has_begun:
            await reply.begin(200, [])
            await reply.write(b"the first half")
        raise self.error


@pytest_asyncio.fixture
async def log() -> AsyncIterator[list[dict]]:
    """Messages of the log."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    # The first destination gets what was logged before.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def about(log: list[dict], request_id: str) -> list[dict]:
    """Return the messages that name a request."""
    return [message for message in log if request_id in message.values()]


ERRORS = [
    ConnectionResetError("reset"),
    aiohttp.ClientConnectionResetError("Cannot write to closing transport"),
    aiohttp.ServerDisconnectedError(),
    TimeoutError(),
    asyncio.CancelledError(),
    RuntimeError("unexpected"),
]


# Guards against an error inside the node that is taken for the caller's leaving: the
# caller gets an empty 200, or nothing, and no line of the log names the request.
@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
@pytest.mark.parametrize("has_begun", [False, True], ids=["no answer", "begun"])
async def test_an_error_in_the_node_is_a_failure_with_a_line(
    site, log, error, has_begun
) -> None:
    site.callers.dispatch.plain = RaisingCalls(error, has_begun)
    caller = await Caller.connect(site)
    answer = await caller.ask("/once/1", "r1")
    lines = about(log, "r1")
    caller.close()
    if has_begun:
        assert answer.end != "whole"
    else:
        assert (answer.status >= 500, answer.end) == (True, "whole"), answer
        assert answer.headers["content-type"].startswith("application/json")
    assert len(lines) == 1, lines


@attrs.define
class UnwritableCalls:
    """Answers with a field that the HTTP library refuses to write."""

    is_streamed: bool

    async def serve(self, _: object, reply: object) -> None:
        """Answer with a control character in a value."""
        headers = [("X-Field", "a\x01b")]
        if not self.is_streamed:
            await reply.send_complete(200, headers, b"body")
            return
        await reply.begin(200, headers)
        await reply.end()


# Guards against a connection that is closed without an answer because the answer can't
# be written.
@pytest.mark.parametrize("is_streamed", [False, True], ids=["whole", "streamed"])
async def test_an_answer_that_cannot_be_written_is_a_failure(
    site, log, is_streamed
) -> None:
    site.callers.dispatch.plain = UnwritableCalls(is_streamed)
    caller = await Caller.connect(site)
    answer = await caller.ask("/once/1", "r1")
    caller.close()
    assert answer.seen == (502, "whole")
    assert "x-field" not in answer.headers
    lines = [line for line in about(log, "r1") if "ended_by" in line]
    assert len(lines) == 1


async def runs_on(request, writer) -> None:
    await asyncio.sleep(60)


# A caller that closes its sending side can't be told from one that has closed its
# connection, and work for callers that have left has to end. Guards against a request
# that goes on without a caller, and against one that no line of the log names.
@pytest.mark.parametrize("connection", ["keep-alive", "close"])
@pytest.mark.parametrize("path", ["/once/1", "/stream/1"])
async def test_a_caller_that_has_closed_its_sending_side_counts_as_gone(
    site, log, path, connection
) -> None:
    backend = await site.add_backend(runs_on, group="small.1" if "st" in path else "")
    caller = await Caller.connect(site)
    await caller.send(request_bytes(path, "r1", Connection=connection))
    await site.until(lambda: len(backend.seen) == 1)
    caller.connection.shutdown(socket.SHUT_WR)
    assert (await caller.answer()).seen == (0, "closed")
    caller.close()
    await site.until(lambda: not site.state.in_flight)
    lines = [line for line in about(log, "r1") if "ended_by" in line]
    assert [line["ended_by"] for line in lines] == ["caller"]


LEAVES = {
    "a plain call": ("/once/1", runs_on, b""),
    "a stream in a queue": ("/stream/1", runs_on, b""),
    "a stream that has begun": ("/stream/1", streams(600, 0.02), b"id: 2\n"),
}


# Guards against a request whose caller leaves and that no line of the log names: it
# looks like one that the node has lost.
@pytest.mark.parametrize("case", LEAVES)
async def test_a_caller_that_leaves_is_one_line(site, log, case) -> None:
    path, script, mark = LEAVES[case]
    backend = await site.add_backend(
        script, group="small.1" if path != "/once/1" else ""
    )
    caller = await Caller.connect(site)
    await caller.send(request_bytes(path, "r1"))
    await caller.begun(mark)
    await site.until(lambda: backend.seen)
    caller.reset()
    await site.until(lambda: backend.left and not site.state.in_flight)
    assert len(about(log, "r1")) == 1, about(log, "r1")
