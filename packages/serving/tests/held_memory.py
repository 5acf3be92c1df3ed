"""What requests that have ended leave in memory while the collector is off."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator

import attrs
from aiohttp import web

from fordhatch.serving import AcceptedRequest
from fordhatch.serving._http_reply import HttpReply
from fordhatch.serving._request import Attempt, ServedRequest
from fordhatch.serving.exchange import (
    AnswerHold,
    BackendAnswer,
    HeldBody,
    ProcessWitness,
)
from fordhatch.serving.exchange._backend_answer import TrackedResponse
from fordhatch.serving.exchange._exchange import _Send
from fordhatch.serving.hedging import HedgedRun, Hedging
from fordhatch.serving.plain._plain_run import CompleteAnswer, PlainCall
from fordhatch.serving.streams._stream import Stream

REQUEST_TYPES = (
    AcceptedRequest,
    AnswerHold,
    Attempt,
    BackendAnswer,
    CompleteAnswer,
    HedgedRun,
    Hedging,
    HeldBody,
    HttpReply,
    PlainCall,
    ProcessWitness,
    ServedRequest,
    Stream,
    TrackedResponse,
    _Send,
)
"""What a node holds of one request."""

HTTP_TYPES = (web.BaseRequest, web.StreamResponse)
"""What the library holds of the last request on a connection, until the next one."""

BODY = b"b" * 90_000
"""A body within the limit of the tests' configuration."""

LARGE_BYTES = 80_000
"""Blocks from this size on are bodies; larger than any buffer of a connection."""

FREED_WITHIN_S = 3.0
"""Attempts that are given up end END_LIMIT_S late; the rest is for slow machines."""


@attrs.frozen
class Memory:
    """Objects and blocks of requests that were there before."""

    types: tuple[type, ...]
    before: Counter[str]

    @classmethod
    def watch(cls, *types: type) -> Memory:
        """Return what earlier requests have left of these types."""
        return cls(types, _held(types))

    def left(self) -> dict[str, int]:
        """Return what has been added since, by type, with the number of bodies."""
        found = _held(self.types)
        found.subtract(self.before)
        return {name: count for name, count in found.items() if count > 0}

    async def until_freed(
        self, release: Callable[[], None] = lambda: None, *, is_kept: bool = False
    ) -> None:
        """Wait until nothing is left.

        Args:
            release: Drops what the stand-ins hold of requests.
            is_kept: Whether a connection is kept, with one request as an empty shell.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + FREED_WITHIN_S
        while True:
            await asyncio.sleep(0.05)
            release()
            left = self.left()
            if is_kept and left.get("HTTP") == len(HTTP_TYPES):
                del left["HTTP"]
            if not left:
                return
            assert loop.time() < until_s, left


def _held(types: tuple[type, ...]) -> Counter[str]:
    found = Counter(
        "HTTP" if isinstance(held, HTTP_TYPES) else type(held).__name__
        for held in gc.get_objects()
        if isinstance(held, types)
    )
    traces = tracemalloc.take_snapshot().traces
    found["large blocks"] = sum(trace.size >= LARGE_BYTES for trace in traces)
    return found


@contextlib.contextmanager
def without_collector(*types: type) -> Iterator[Memory]:
    """Serve with the cyclic garbage collector off, and blocks of memory recorded.

    Args:
        types: Types that belong to requests, besides the usual ones.
    """
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield Memory.watch(*REQUEST_TYPES, *HTTP_TYPES, *types)
    finally:
        tracemalloc.stop()
        gc.enable()
