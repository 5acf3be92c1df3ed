"""What a request holds is released at its end, without the garbage collector."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import aiohttp
import pytest
from held_memory import BODY, Memory, without_collector
from test_answers_without_length import PLAIN_BODY, plain_head
from test_plain_calls import answers, breaks, cuts_off, fails, hangs, refuses
from test_stream_calls import (
    breaks_within_an_event,
    chunk,
    events,
    falls_silent,
    head,
    never_begins,
    skips_an_event,
    streams,
)

from fordhatch.serving import Dispatch
from fordhatch_standins import http_answer


@pytest.fixture
def memory(site) -> Iterator[Memory]:
    with without_collector() as watched:
        yield watched


async def freed(site, memory: Memory) -> None:
    """Wait until nothing is left, first while the callers keep their connections."""

    def forget() -> None:
        for backend in site.scripted:
            backend.seen.clear()

    await site.until(lambda: not site.state.in_flight)
    await memory.until_freed(forget, is_kept=True)
    await site.session.close()
    await memory.until_freed(forget)


async def ask(site, path: str, **headers: str) -> None:
    """Ask and drop the answer; what it is, is tested elsewhere."""
    with contextlib.suppress(aiohttp.ClientError):
        await site.ask(path, body=BODY, **headers)


async def late(request, writer) -> None:
    await asyncio.sleep(0.8)
    await answers(request, writer)


async def answers_with_a_megabyte(request, writer) -> None:
    writer.write(http_answer(request, b"x" * 1_000_000))
    await writer.drain()


async def answers_at_length(request, writer) -> None:
    writer.write(http_answer(request, b"x" * 5_000_000))
    await writer.drain()


async def has_no_length(request, writer) -> None:
    writer.write(plain_head(request) + PLAIN_BODY)
    await writer.drain()
    await asyncio.sleep(0.1)


async def has_no_length_and_is_long(request, writer) -> None:
    writer.write(plain_head(request) + b"x" * 5_000_000)
    await writer.drain()
    await asyncio.sleep(0.1)


async def streams_without_length(request, writer) -> None:
    writer.write(head(request, chunked=False) + events(1, 6))
    await writer.drain()
    await asyncio.sleep(0.1)


async def streams_partly(request, writer) -> None:
    writer.write(head(request) + chunk(events(1, 2)))
    await writer.drain()
    writer.transport.abort()


PLAIN = {
    "answered": [answers],
    "answered with a megabyte": [answers_with_a_megabyte],
    "answered at length": [answers_at_length],
    "answer confirmed after its end": [has_no_length],
    "long answer confirmed after its end": [has_no_length_and_is_long],
    "failed": [fails, fails],
    "broken": [breaks, breaks],
    "cut": [cuts_off, cuts_off],
    "refused by the server": [refuses],
    "no server": [],
    "timed out": [hangs],
    "second answers": [late, answers],
    "first answers": [late, hangs],
    "both silent": [hangs, hangs],
    "retried": [breaks, answers],
}


# Guards against bodies that stay in memory until the garbage collector runs.
@pytest.mark.parametrize("kind", PLAIN)
async def test_a_plain_call_is_released(site, memory, kind: str) -> None:
    for number, script in enumerate(PLAIN[kind]):
        await site.add_backend(script, zone=f"z{number + 1}")
    await ask(site, "/get/1")
    await freed(site, memory)


STREAMS = {
    "whole": [streams],
    "end confirmed": [streams_without_length],
    "broken": [breaks_within_an_event],
    "cut": [streams_partly, streams_partly],
    "malformed": [skips_an_event, skips_an_event],
    "failed": [fails, fails],
    "refused by the server": [refuses],
    "no server": [],
    "timed out": [falls_silent],
    "second goes on": [falls_silent, streams],
    "second is silent": [falls_silent, never_begins],
    "second refuses": [falls_silent, refuses],
    "resumed": [streams_partly, streams],
}


@pytest.mark.parametrize("kind", STREAMS)
async def test_a_stream_is_released(site, memory, kind: str) -> None:
    for number, script in enumerate(STREAMS[kind]):
        group = f"small.{number + 1}"
        await site.add_backend(script, group=group, zone=f"z{number + 1}")
    await ask(site, "/stream/1")
    await freed(site, memory)


REFUSED = {
    "no route": ("/nowhere/1", {}),
    "no key": ("/get/1", {"Api-Key": "x"}),
    "out of time": ("/get/1", {"X-Deadline-Ms": "1"}),
}


@pytest.mark.parametrize("kind", REFUSED)
async def test_a_refused_request_is_released(site, memory, kind: str) -> None:
    await site.add_backend(answers)
    path, headers = REFUSED[kind]
    await ask(site, path, **headers)
    await freed(site, memory)


SERVING = pytest.mark.parametrize(
    ("path", "script", "group"),
    [
        ("/get/1", hangs, ""),
        ("/stream/1", never_begins, "small.1"),
        ("/stream/1", falls_silent, "small.1"),
    ],
    ids=["plain", "stream", "begun stream"],
)


@SERVING
async def test_a_request_whose_caller_leaves_is_released(
    site, memory, path: str, script, group: str
) -> None:
    backend = await site.add_backend(script, group=group)
    asking = asyncio.ensure_future(ask(site, path))
    await site.until(lambda: backend.seen)
    await asyncio.sleep(0.1)
    asking.cancel()
    await asyncio.wait([asking])
    del asking
    await freed(site, memory)


@SERVING
async def test_a_request_that_a_stop_ends_is_released(
    site, memory, path: str, script, group: str
) -> None:
    backend = await site.add_backend(script, group=group)
    asking = asyncio.ensure_future(ask(site, path))
    await site.until(lambda: backend.seen)
    await asyncio.sleep(0.1)
    site.state.requests.end_all()
    await asking
    del asking
    await freed(site, memory)


@pytest.mark.parametrize(
    ("path", "script", "group"),
    [("/get/1", answers, ""), ("/stream/1", streams, "small.1")],
    ids=["plain", "stream"],
)
async def test_a_request_that_raises_is_released(
    site, memory, monkeypatch: pytest.MonkeyPatch, path: str, script, group: str
) -> None:
    await site.add_backend(script, group=group)
    runs = site.callers.dispatch.plain.runs
    if group:
        runs = site.callers.dispatch.streams.runs

    async def raises(*args: object, **_: object) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(type(runs.exchange), "send", raises)
    await ask(site, path)
    await freed(site, memory)


# Guards against an attempt beside the first one that fails with its task in a frame.
async def test_a_request_whose_hedge_raises_is_released(
    site, memory, monkeypatch: pytest.MonkeyPatch
) -> None:
    await site.add_backend(late, zone="z1")
    second = await site.add_backend(answers, zone="z2")
    exchange = site.callers.dispatch.plain.runs.exchange
    send = type(exchange).send

    async def raises_at_second(self, request, backend, **options: object) -> object:
        if backend.backend_id == second.runner_id:
            raise RuntimeError("unexpected")
        return await send(self, request, backend, **options)

    monkeypatch.setattr(type(exchange), "send", raises_at_second)
    await ask(site, "/get/1")
    site.scripted[0].script = breaks
    await ask(site, "/get/1")
    await freed(site, memory)


# Guards against a serving that fails with the request in the frames of its traceback.
async def test_a_request_whose_dispatch_raises_is_released(
    site, memory, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def raises(_: Dispatch, request: object, reply: object) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(Dispatch, "serve", raises)
    await ask(site, "/get/1")
    await freed(site, memory)


# Guards against a test that sees nothing.
async def test_a_cycle_is_seen(site, memory, monkeypatch) -> None:
    serve = Dispatch.serve

    async def holds_itself(self, request, reply) -> None:
        body = request.body
        await serve(self, request, reply)
        request.retry = [request, body]

    monkeypatch.setattr(Dispatch, "serve", holds_itself)
    await site.add_backend(answers)
    await ask(site, "/get/1")
    await site.until(lambda: not site.state.in_flight)
    await site.session.close()
    site.scripted[0].seen.clear()
    assert memory.left()["ServedRequest"] == 1
    assert memory.left()["large blocks"] >= 1
