"""Answers that come before the request has been sent, with and without a length."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import attrs
import pytest
import uvloop
from broken_answers import is_own_failure, parser
from early_server import End, early_server
from multidict import CIMultiDict
from raw_caller import Answer, Caller, request_bytes
from serving_site import ServingSite, configuration
from test_stream_calls import ALL, events

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE, caller_fields
from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Timer
from fordhatch.serving import ExchangeClient
from fordhatch_standins import entry_fields

__all__ = ["parser"]

LONG_BODY = bytes(8_000_000)
"""More than the kernels hold of a request that nobody reads."""

ROUTE_TIMEOUT_MS, SHORT_MS = 20_000, 1500

WITHOUT_LENGTH = b"Connection: close\r\n\r\nhalf"
WHOLE = {
    "length": b"Content-Length: 5\r\n\r\nwhole",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "no length": b"Connection: close\r\n\r\nwhole",
}
BREAKS = [End.RESETS, End.CLOSES, End.ENDS_AND_RESETS]
SOUND_ENDS = {
    "length": [End.STAYS_OPEN, End.STAYS, End.READS_ON],
    "chunks": [End.STAYS_OPEN, End.STAYS, End.READS_ON],
    # A server whose end is that of its answer goes on reading (RFC 9112, 9.6).
    "no length": [End.READS_ON],
}
"""How a server may end by how its answer is delimited."""

TURNS = [0, 1, 2, 3, 10]
"""Turns of the event loop after which a busy node reads the body of an answer."""

LOOPS = {
    "uvloop": uvloop.EventLoopPolicy,
    "asyncio": asyncio.DefaultEventLoopPolicy,
}


@pytest.fixture(scope="module", params=LOOPS)
def event_loop_policy(request) -> asyncio.AbstractEventLoopPolicy:
    return LOOPS[request.param]()


@attrs.define
class Upload:
    """A request with a long body."""

    method: str = "POST"
    target: str = "/once/1"
    headers: list[tuple[str, str]] = attrs.field(
        factory=lambda: [("Host", "app.example"), ("X-Attempt-Id", "r1")]
    )
    body: bytes = LONG_BODY
    workspace_name: str | None = None

    @property
    def fields(self) -> object:
        return caller_fields(CIMultiDict(self.headers))

    def recheck(self, _: BackendServer) -> None:
        return None

    def left_s(self, _: float) -> float:
        return 5.0

    def record_arrival(self, _: str, *, may_have_run: bool) -> None:
        pass


async def read_late(server, turns: int, body: bytes = LONG_BODY) -> bytes:
    """Return the body of an answer that is read some turns after its end."""
    exchange = ExchangeClient.from_timer(Timer.from_seed(1))
    place = BackendServer("i-1", "app", server.address, "z1", BackendState.READY, 4)
    try:
        sent = await exchange.send(Upload(body=body), place, head_timeout_s=5.0)
        answer = sent.unwrap()
        await server.ended.wait()
        for _ in range(turns):
            await asyncio.sleep(0)
        async with asyncio.timeout(5):
            pieces = [piece async for piece in _pieces(answer)]
        answer.close()
        return b"".join(pieces)
    finally:
        await exchange.close()


async def _pieces(answer):
    while piece := await answer.read_piece():
        yield piece


# Guards against a reset that a busy node takes for the end of the answer: the library
# drops the error of a connection once the rest of the request has been given up.
@pytest.mark.parametrize("end", BREAKS)
@pytest.mark.parametrize("turns", TURNS)
async def test_an_answer_that_is_reset_during_an_upload_is_incomplete(
    parser, end, turns
) -> None:
    async with early_server(WITHOUT_LENGTH, end) as server:
        with pytest.raises(aiohttp.ClientPayloadError):
            await read_late(server, turns)


# Guards against a server's own end that is taken for that of its answer though the
# server has not taken the request, and resets the connection next.
@pytest.mark.parametrize(
    "body", [LONG_BODY, LONG_BODY[:300_000]], ids=["8 MB", "300 kB"]
)
@pytest.mark.parametrize("reset_after_s", [0.0, 0.005, 0.05])
async def test_an_end_before_the_request_was_taken_is_none(
    parser, body, reset_after_s
) -> None:
    async with early_server(
        WITHOUT_LENGTH, End.ENDS_AND_RESETS, reset_after_s=reset_after_s
    ) as server:
        with pytest.raises(aiohttp.ClientPayloadError):
            await read_late(server, 0, body)


# Guards against whole answers that are lost to the rest of their request, which can't
# be sent any more.
@pytest.mark.parametrize("kind", WHOLE)
@pytest.mark.parametrize("turns", TURNS[::2])
async def test_an_early_answer_is_whole(parser, kind, turns) -> None:
    for end in SOUND_ENDS[kind]:
        async with early_server(WHOLE[kind], end) as server:
            assert await read_late(server, turns) == b"whole"


def roomy_configuration() -> bytes:
    """Return a configuration with long bodies, and with time to send them."""
    data = json.loads(configuration(2))
    data["limits"] = {"max-body-bytes": 2 * len(LONG_BODY)}
    for found in data["routes"]:
        found["timeout-ms"] = ROUTE_TIMEOUT_MS
    return json.dumps(data).encode()


async def ask(
    server, path: str, body: bytes = LONG_BODY, deadline_ms: int = ROUTE_TIMEOUT_MS
) -> Answer:
    """Return what a caller with a long body gets of a server, through a node."""
    site = await ServingSite.start()
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, roomy_configuration())
    is_stream = path.startswith("/s")
    entry = entry_fields("llm" if is_stream else "app", server.address)
    if is_stream:
        place = {"name": "small.1", "epoch": 1, "rank": 0, "state": "open"}
        entry["group"] = place
    await site.register("i-1", entry)
    await site.until(lambda: site.callers.admission.max_body_bytes() > len(body))
    caller = await Caller.connect(site)
    fields = {"X-Deadline-Ms": str(deadline_ms)}
    sending = asyncio.ensure_future(
        caller.send(request_bytes(path, "r1", body, **fields))
    )
    try:
        return await caller.answer()
    finally:
        sending.cancel()
        caller.close()
        await site.close()


PARTS = {"/once/1": b"half", "/single/1": events(1, 3)}


@pytest.mark.parametrize("path", PARTS)
@pytest.mark.parametrize("end", BREAKS)
@pytest.mark.parametrize("pause_s", [0.0, 0.001, 0.05])
async def test_a_caller_gets_no_part_as_a_whole_answer(
    parser, path, end, pause_s
) -> None:
    """The part comes with the head, or just before the end."""
    head = b"Connection: close\r\n\r\n"
    for first, last in ((PARTS[path], b""), (b"", PARTS[path])):
        async with early_server(head + first, end, pause_s, last=last) as server:
            got = await ask(server, path)
            assert got.status != 200 or not got.is_whole


@pytest.mark.parametrize("kind", WHOLE)
async def test_a_caller_gets_an_early_answer(parser, kind) -> None:
    for end in SOUND_ENDS[kind]:
        async with early_server(WHOLE[kind], end) as server:
            got = await ask(server, "/once/1")
            assert (got.seen, got.body) == ((200, "whole"), b"whole")


async def test_a_caller_gets_an_early_stream(parser) -> None:
    answer = b"Connection: close\r\n\r\n" + ALL
    async with early_server(answer, End.READS_ON) as server:
        got = await ask(server, "/single/1")
        assert (got.seen, got.body) == ((200, "whole"), ALL)


# Nothing shows whether a server that has stopped reading, and stays, has finished.
async def test_an_end_that_stays_unproven_is_a_failure_in_time(parser) -> None:
    async with early_server(WHOLE["no length"], End.STAYS) as server:
        got = await ask(server, "/once/1", deadline_ms=SHORT_MS)
        assert is_own_failure(got)
