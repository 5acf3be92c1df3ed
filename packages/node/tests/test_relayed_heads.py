"""Answers with a broken head at the node that makes an attempt for another one."""

from __future__ import annotations

import asyncio

import attrs
from broken_answers import parser, sends
from head_cases import BODY, BROKEN, SOUND_FIELDS, Parts
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


async def send_each(cases: dict[str, Parts]) -> dict[str, tuple]:
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
        for kind, parts in cases.items():
            backend.script = sends(parts, BODY)
            async with site_of(a=send) as site:
                request = SignedRequest()
                got = await site.client.send(request, BACKEND, OPTIONS)
                if got.is_ok():
                    body = await got.unwrap().read_piece()
                    found[kind] = got.unwrap().headers, body
                    got.unwrap().close()
                else:
                    found[kind] = got.unwrap_err().problem, request.arrivals
        await asyncio.sleep(0)
        return found
    finally:
        await exchange.close()
        await backend.close()


# Guards against an answer that is believed because another node has received it.
async def test_a_relayed_attempt_with_a_broken_head_may_have_run(parser) -> None:
    found = await send_each(BROKEN)
    expected = (SendProblem.BROKEN, [True])
    assert {k: v for k, v in found.items() if v != expected} == {}


async def test_a_relayed_attempt_keeps_odd_and_sound_fields(parser) -> None:
    cases = {kind: Parts(fields=(line,)) for kind, (line, _) in SOUND_FIELDS.items()}
    for kind, (headers, body) in (await send_each(cases)).items():
        name, value = SOUND_FIELDS[kind][1]
        raw = value.encode("latin-1").decode(errors="surrogateescape")
        assert body == BODY, kind
        assert {n.lower(): v for n, v in headers}[name] == raw, kind
