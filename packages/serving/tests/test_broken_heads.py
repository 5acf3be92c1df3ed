"""Answers whose head is none, on every path of a request, with both parsers."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from broken_answers import Parts, as_stream, ask_once, is_own_failure, parser, sends
from head_cases import (
    BODY,
    BROKEN,
    EMPTY,
    NOT_RUN,
    SOUND,
    SOUND_FIELDS,
    SOUND_FRAMINGS,
)
from test_long_answers import LONG
from test_stream_calls import ALL, chunk, events, head
from test_unexpected_ends import about, log

from fordhatch.core import metrics
from fordhatch_standins import http_answer

__all__ = ["log", "parser"]

PAUSE_S = 0.02
"""Time in which a node reads what has been sent."""


async def ask_all(site, path: str, cases: dict[str, Parts], body: bytes, **options):
    """Return what callers got of each answer, from one backend server."""
    scripts = {f"r-{n}": sends(p, body) for n, p in enumerate(cases.values())}

    async def script(request, writer) -> None:
        await scripts[request.request_id](request, writer)

    await site.add_backend(script, **options)
    asked = zip(cases, scripts, strict=True)
    return {kind: await ask_once(site, path, name) for kind, name in asked}


# Guards against an answer that is believed though its head is none: the caller gets it,
# or is told that the request has not run.
@pytest.mark.parametrize("cases", [BROKEN, NOT_RUN], ids=["signed", "not run"])
async def test_a_plain_call_with_a_broken_head_may_have_run(
    site, log, parser, cases
) -> None:
    got = await ask_all(site, "/once/1", cases, BODY)
    assert {k: a.seen for k, a in got.items()} == dict.fromkeys(cases, (502, "whole"))
    assert [k for k, a in got.items() if not is_own_failure(a)] == []
    refused = [m for m in log if m["message_type"] == "answer_invalid"]
    assert len(refused) == len(cases)
    assert all(about(log, f"r-{n}") for n in range(len(cases)))


CONTRADICTED = {
    str(status): Parts(first=b"HTTP/1.1 %d X" % status, fields=(b"X-Not-Executed: 1",))
    for status in (200, 206, 299, 302, 404, 408, 500, 502, 504)
}


# Guards against a request that runs again, since its first run reports a success that
# it says it hasn't brought about.
async def test_not_run_beside_another_status_proves_nothing(site, log, parser) -> None:
    scripts = [sends(parts, BODY) for parts in CONTRADICTED.values()]
    runs: Counter[str] = Counter()

    async def script(request, writer) -> None:
        runs[request.request_id] += 1
        await scripts[int(request.request_id)](request, writer)

    for zone in ("z1", "z2"):
        await site.add_backend(script, zone=zone)
    got = [await ask_once(site, "/twice/1", str(n)) for n in range(len(scripts))]
    assert [a.seen for a in got] == len(scripts) * [(502, "whole")]
    assert set(runs.values()) == {1}


@pytest.mark.parametrize("status", [400, 421, 429, 503])
async def test_not_run_beside_its_status_is_believed(site, parser, status) -> None:
    parts = Parts(first=b"HTTP/1.1 %d X" % status, fields=(b"X-Not-Executed: 1",))
    refusing = await site.add_backend(sends(parts, BODY), zone="z1")
    good = await site.add_backend(sends(Parts(), BODY), zone="z2")
    got = await ask_once(site, "/twice/1", "r1")
    assert (got.seen, got.body) == ((200, "whole"), BODY)
    assert (len(refusing.seen), len(good.seen)) == (1, 1)


# Guards against sound answers that are lost to the check.
async def test_a_plain_call_with_an_odd_and_sound_head_is_answered(
    site, parser
) -> None:
    got = await ask_all(site, "/once/1", SOUND, BODY)
    statuses = {k: 299 if k == "other success" else 200 for k in SOUND}
    statuses["refused by the backend server"] = 422
    assert {k: a.seen for k, a in got.items()} == {
        k: (status, "whole") for k, status in statuses.items()
    }
    assert [k for k, a in got.items() if a.body != BODY] == []


# Guards against fields that don't arrive, or not as they were sent.
async def test_a_plain_call_with_odd_and_sound_fields_is_answered(site, parser) -> None:
    cases = {kind: Parts(fields=(line,)) for kind, (line, _) in SOUND_FIELDS.items()}
    got = await ask_all(site, "/once/1", cases, BODY)
    for kind, (_, (name, value)) in SOUND_FIELDS.items():
        answer = got[kind]
        assert (answer.seen, answer.body) == ((200, "whole"), BODY), kind
        assert answer.headers[name] == value, kind


async def test_streams_and_long_answers_keep_their_fields(site, parser) -> None:
    line, (name, value) = SOUND_FIELDS["bytes above ASCII"]
    parts = Parts(fields=(line, b"X-Other: y", b"x-field: again"))
    long = await ask_all(site, "/once/1", {"long": parts}, LONG)
    stream = await ask_all(
        site, "/single/1", {"stream": as_stream(parts)}, ALL, group="small.1"
    )
    for answer in (long["long"], stream["stream"]):
        assert answer.seen == (200, "whole")
        assert answer.headers["x-other"] == "y"
        # The last one of a name that occurs twice.
        assert answer.headers[name] == "again"
        assert value.encode("latin-1") in answer.head


async def test_a_plain_call_with_an_odd_and_sound_framing_is_answered(
    site, parser
) -> None:
    got = await ask_all(site, "/once/1", SOUND_FRAMINGS, BODY)
    assert [
        k for k, a in got.items() if (a.seen, a.body) != ((200, "whole"), BODY)
    ] == []


async def test_a_plain_call_is_answered_without_a_body(site, parser) -> None:
    got = await ask_all(site, "/once/1", EMPTY, BODY)
    statuses = {k: int(parts.first.split()[1]) for k, parts in EMPTY.items()}
    assert {k: a.seen for k, a in got.items()} == {
        k: (status, "whole") for k, status in statuses.items()
    }


async def test_the_answer_to_a_head_request_has_a_length_and_no_body(
    site, parser
) -> None:
    await site.add_backend(sends(Parts(sent_body=b""), BODY))
    got = await site.ask("/once/1", method="HEAD")
    assert (got.status, got.body) == (200, b"")


# Guards against the beginning of a body as a whole one, by a length that is too short.
@pytest.mark.parametrize("body", [BODY, LONG], ids=["short", "long"])
async def test_bytes_behind_a_body_make_it_none(site, parser, body) -> None:
    parts = Parts(framing=(b"Content-Length: %d" % (len(body) - 3),))

    async def in_two_pieces(request, writer) -> None:
        answer = parts.encode(request.request_id, body)
        head, rest = answer[: -len(body)], answer[-len(body) :]
        writer.write(head)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.write(rest)
        await writer.drain()

    await site.add_backend(in_two_pieces)
    got = await ask_once(site, "/once/1", "r1")
    assert not got.is_whole or is_own_failure(got)


async def test_a_refused_head_is_counted_by_its_rule(site) -> None:
    counter = metrics.INVALID_ANSWERS.labels("status")
    before = counter._value.get()
    await ask_all(site, "/once/1", {"status": BROKEN["status 000"]}, BODY)
    assert counter._value.get() == before + 1


async def test_a_long_answer_with_a_broken_head_is_a_failure(site, parser) -> None:
    got = await ask_all(site, "/once/1", BROKEN, LONG)
    assert [k for k, a in got.items() if not is_own_failure(a)] == []


async def test_a_stream_with_a_broken_head_is_a_failure(site, parser) -> None:
    cases = {kind: as_stream(parts) for kind, parts in BROKEN.items()}
    place = {"group": "small.1"}
    got = await ask_all(site, "/single/1", cases, ALL, **place)
    assert {k: a.seen for k, a in got.items()} == dict.fromkeys(cases, (502, "whole"))
    assert [k for k, a in got.items() if not is_own_failure(a)] == []


async def test_a_stream_with_an_odd_and_sound_head_is_passed_on(site, parser) -> None:
    cases = {k: as_stream(p) for k, p in SOUND.items() if "200" in str(p.first)}
    del cases["earlier version"]
    got = await ask_all(site, "/single/1", cases, ALL, group="small.1")
    assert [
        k for k, a in got.items() if (a.seen, a.body) != ((200, "whole"), ALL)
    ] == []


def begins_and_breaks(cases: dict[str, Parts]):
    """Return a script whose first run of a request breaks, and whose second is bad."""
    scripts = [sends(as_stream(parts), ALL) for parts in cases.values()]

    async def script(request, writer) -> None:
        if "last-event-id" in request.headers:
            number = int(request.request_id.partition("-")[2])
            await scripts[number](request, writer)
            return
        writer.write(head(request) + chunk(events(1, 2)))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.transport.abort()

    return script


# Guards against a resumed stream that goes on with the events of such an answer.
async def test_a_resumed_run_with_a_broken_head_ends_its_stream(site, parser) -> None:
    script = begins_and_breaks(BROKEN)
    await site.add_backend(script, group="small.1", zone="z1")
    await site.add_backend(script, group="small.2", zone="z2")
    got = {
        kind: await ask_once(site, "/stream/1", f"r-{number}")
        for number, kind in enumerate(BROKEN)
    }
    assert [k for k, a in got.items() if a.is_whole] == []
    assert [k for k, a in got.items() if a.body != events(1, 2)] == []


async def answers_late(request, writer) -> None:
    await asyncio.sleep(0.5)
    writer.write(http_answer(request, BODY))


# Guards against a hedged call that takes such an answer for the first one.
@pytest.mark.parametrize("kind", ["status 000", "version 2", "bytes"])
async def test_a_hedge_with_a_broken_head_leaves_the_first_run(
    site, parser, kind
) -> None:
    first = await site.add_backend(answers_late, zone="z1")
    second = await site.add_backend(sends(BROKEN[kind], BODY), zone="z2")
    got = await ask_once(site, "/get/1", "r1")
    assert (got.seen, got.body) == ((200, "whole"), BODY)
    assert (len(first.seen), len(second.seen)) == (1, 1)


async def test_an_idempotent_call_is_retried_after_a_broken_head(site, parser) -> None:
    bad = await site.add_backend(sends(BROKEN["status 000"], BODY), zone="z1")
    good = await site.add_backend(sends(Parts(), BODY), zone="z2")
    got = await ask_once(site, "/get/1", "r1")
    assert (got.seen, got.body) == ((200, "whole"), BODY)
    assert (len(bad.seen), len(good.seen)) == (1, 1)
