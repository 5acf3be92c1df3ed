"""Answers with a broken head at the node that makes an attempt for another one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
import pytest
from broken_answers import PARSERS, parser, reading_with, sends
from head_cases import BODY, BROKEN, SOUND_FIELDS, Parts
from head_search import HEADS, BrokenHead, body_of, passed_on
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from test_relayed_requests import BACKEND, OPTIONS, StubRequest, site_of

from fordhatch.core import Timer
from fordhatch.serving import ExchangeClient, SendProblem
from fordhatch_standins import ScriptedBackend

__all__ = ["parser"]


@attrs.define
class SignedRequest(StubRequest):
    """A request that is sent for another node."""

    headers: list[tuple[str, str]] = attrs.field(
        factory=lambda: [("Host", "x"), ("X-Attempt-Id", "r1")]
    )


async def body_of_answer(answer: object) -> bytes | None:
    """Return the body of a relayed answer, None if it breaks."""
    body = b""
    try:
        while piece := await answer.read_piece():
            body += piece
    except aiohttp.ClientError:
        return None
    return body


async def send_each(scripts: dict[str, Callable]) -> dict[str, tuple]:
    """Return what the other node gets of each answer, and what it has recorded."""
    exchange = ExchangeClient.from_timer(Timer.from_seed(1))
    backend = ScriptedBackend(None)
    place = attrs.evolve(BACKEND, address=await backend.start())

    async def send(request, _, options) -> object:
        return await exchange.send(
            request, place, head_timeout_s=options.head_timeout_s
        )

    found = {}
    try:
        async with site_of(a=send) as site:
            for kind, script in scripts.items():
                backend.script = script
                request = SignedRequest()
                got = await site.client.send(request, BACKEND, OPTIONS)
                answer = got.ok()
                if answer is None:
                    found[kind] = got.unwrap_err().problem, request.arrivals
                    continue
                found[kind] = answer.headers, await body_of_answer(answer)
                answer.close()
        return found
    finally:
        await exchange.close()
        await backend.close()


# Guards against an answer that is believed because another node has received it.
async def test_a_relayed_attempt_with_a_broken_head_may_have_run(parser) -> None:
    found = await send_each({kind: sends(p, BODY) for kind, p in BROKEN.items()})
    expected = (SendProblem.BROKEN, [True])
    assert {k: v for k, v in found.items() if v != expected} == {}


async def test_a_relayed_attempt_keeps_odd_and_sound_fields(parser) -> None:
    scripts = {
        kind: sends(Parts(fields=(line,)), BODY)
        for kind, (line, _) in SOUND_FIELDS.items()
    }
    for kind, (headers, body) in (await send_each(scripts)).items():
        name, value = SOUND_FIELDS[kind][1]
        raw = value.encode("latin-1").decode(errors="surrogateescape")
        assert body == BODY, kind
        assert {n.lower(): v for n, v in headers}[name] == raw, kind


def sends_head(broken: BrokenHead) -> Callable:
    """Return a script that answers with a broken head."""

    async def script(request, writer) -> None:
        writer.write(broken.answer(request.request_id))
        await writer.drain()

    return script


@pytest.mark.parametrize("name", PARSERS)
@settings(max_examples=15, deadline=None, derandomize=True, phases=(Phase.generate,))
@given(heads=st.lists(HEADS, min_size=8, max_size=8))
def test_any_broken_head_is_relayed_whole_or_not_at_all(
    name: str, heads: list[BrokenHead]
) -> None:
    scripts = {str(number): sends_head(broken) for number, broken in enumerate(heads)}
    with reading_with(name):
        found = asyncio.run(send_each(scripts))
    for number, broken in enumerate(heads):
        sent = broken.answer("r1")
        headers, body = found[str(number)]
        if isinstance(headers, SendProblem):
            continue
        received = {
            n.lower().encode() + b": " + v.encode(errors="surrogateescape")
            for n, v in headers
        }
        assert passed_on(sent) <= received, sent
        assert body in (None, body_of(sent, BODY)), sent
