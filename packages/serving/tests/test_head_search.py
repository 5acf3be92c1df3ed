"""Any one broken part of a head: the whole answer, or a failure of the node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from broken_answers import PARSERS, ask_once, is_own_failure, reading_with
from head_cases import BODY
from head_search import HEADS, Break, BrokenHead, Framing, body_of, is_unchanged
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from raw_caller import Answer
from serving_site import ServingSite
from test_stream_calls import ALL, chunk, events, head

from fordhatch.serving.exchange import AnswerHold

BATCH = st.lists(HEADS, min_size=12, max_size=12)
SEARCH = settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    # An example takes a second: what it has found is told as it is.
    phases=(Phase.generate,),
)
OK = 200
LATE_S = 0.4
SOUND = BrokenHead(b"HTTP/1.1 200 OK", (), Framing.LENGTH, Break.NOTHING, 0.0, 0)
PAUSE_S = 0.02


def number_of(request) -> int:
    return int(request.request_id.partition("-")[2])


def sends_each(heads: list[BrokenHead], body: bytes) -> Callable:
    """Return a script that answers each request with a head of its own."""

    async def script(request, writer) -> None:
        answer = heads[number_of(request)].answer(request.request_id, body)
        writer.write(answer)
        await writer.drain()

    return script


def ask_each(
    parser: str, heads: list[BrokenHead], path: str, prepare: Callable
) -> list[Answer]:
    """Return what callers get of each answer, on one way through a node."""

    async def scenario() -> list[Answer]:
        site = await ServingSite.start()
        try:
            await prepare(site)
            asked = [ask_once(site, path, f"r-{n}") for n in range(len(heads))]
            return await asyncio.gather(*asked)
        finally:
            await site.close()

    with reading_with(parser):
        return asyncio.run(scenario())


def check(
    heads: list[BrokenHead], got: list[Answer], body: bytes, *, may_be_cut: bool = False
) -> None:
    """Check that each caller got the whole answer, or a failure of the node."""
    for number, (broken, answer) in enumerate(zip(heads, got, strict=True)):
        if may_be_cut and not answer.is_whole:
            continue
        sent = broken.answer(f"r-{number}", body)
        assert is_own_failure(answer) or is_unchanged(answer, sent, body), (
            sent,
            answer,
        )


@pytest.mark.parametrize("parser", PARSERS)
@SEARCH
@given(heads=BATCH)
def test_plain_calls(parser: str, heads: list[BrokenHead]) -> None:
    async def prepare(site) -> None:
        await site.add_backend(sends_each(heads, BODY))

    check(heads, ask_each(parser, heads, "/once/1", prepare), BODY)


@pytest.mark.parametrize("parser", PARSERS)
@SEARCH
@given(heads=BATCH)
def test_answers_that_are_passed_on_while_read(
    parser: str, heads: list[BrokenHead]
) -> None:
    async def prepare(site) -> None:
        await site.add_backend(sends_each(heads, BODY))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(AnswerHold, "_may_hold", lambda *_: False)
        got = ask_each(parser, heads, "/once/1", prepare)
    # What was passed on before the answer broke shows that it is not whole.
    assert all(a.status == OK for a in got if not a.is_whole)
    check(heads, got, BODY, may_be_cut=True)


@pytest.mark.parametrize("parser", PARSERS)
@SEARCH
@given(heads=BATCH)
def test_streams(parser: str, heads: list[BrokenHead]) -> None:
    async def prepare(site) -> None:
        await site.add_backend(sends_each(heads, ALL), group="small.1")

    check(heads, ask_each(parser, heads, "/single/1", prepare), ALL)


@pytest.mark.parametrize("parser", PARSERS)
@SEARCH
@given(heads=BATCH)
def test_resumed_streams(parser: str, heads: list[BrokenHead]) -> None:
    rest = events(3, 6)

    async def script(request, writer) -> None:
        if "last-event-id" in request.headers:
            await sends_each(heads, rest)(request, writer)
            return
        writer.write(head(request) + chunk(events(1, 2)))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.transport.abort()

    async def prepare(site) -> None:
        for number in (1, 2):
            await site.add_backend(script, group=f"small.{number}")

    got = ask_each(parser, heads, "/stream/1", prepare)
    for number, (broken, answer) in enumerate(zip(heads, got, strict=True)):
        # The head is that of the first run; the second one brings all or nothing.
        sent = broken.answer(f"r-{number}", rest)
        whole = events(1, 2) + body_of(sent, rest)
        is_cut = answer.status == OK and not answer.is_whole
        is_begun = is_cut and whole.startswith(answer.body)
        is_whole = answer.is_whole and answer.body == whole
        assert is_whole or is_own_failure(answer) or is_begun, (sent, answer.body)


@pytest.mark.parametrize("parser", PARSERS)
@SEARCH
@given(heads=BATCH)
def test_hedged_calls(parser: str, heads: list[BrokenHead]) -> None:
    late = b"late answer"

    async def answers_late(request, writer) -> None:
        await asyncio.sleep(LATE_S)
        writer.write(SOUND.answer(request.request_id, late))
        await writer.drain()

    async def prepare(site) -> None:
        await site.add_backend(answers_late, zone="z1")
        await site.add_backend(sends_each(heads, BODY), zone="z2")

    got = ask_each(parser, heads, "/get/1", prepare)
    for number, (broken, answer) in enumerate(zip(heads, got, strict=True)):
        sent = broken.answer(f"r-{number}", BODY)
        is_late = answer.seen == (OK, "whole") and answer.body == late
        assert is_late or is_own_failure(answer) or is_unchanged(answer, sent)
