"""Quarantined requests over real connections are refused at once, as not run."""

from __future__ import annotations

import asyncio
import json

import pytest
from test_stream_calls import chunk, events, head, streams

from fordhatch.core import ResultCode
from fordhatch.registry import (
    SECRET_KEY,
    SHARED_TABLE,
    CrashRecord,
    RunStage,
    crash_key,
)
from fordhatch.serving.crashes._request_digest import request_digest
from fordhatch_standins import http_answer

KEY = b"k" * 32
BAD = b"ends whoever runs it"


async def share_secret(site) -> None:
    site.model.put(SHARED_TABLE, SECRET_KEY, KEY)
    await site.until(lambda: site.view.shared.secret)


def crashes_on(site, request_body: bytes):
    """Return a script whose whole server stops when it begins to run a content."""

    async def script(request, writer) -> None:
        if request.body != request_body:
            await streams(request, writer)
            return
        writer.write(head(request))
        await writer.drain()
        await asyncio.sleep(0.02)
        server = next(b for b in site.scripted if request in b.seen)
        await server.close()
        writer.transport.abort()

    return script


def crashes(site) -> int:
    return sum(BAD in [r.body for r in b.seen] for b in site.scripted)


async def test_no_third_group_gets_a_stream_that_crashed_two(site) -> None:
    await share_secret(site)
    for number in range(6):
        script = crashes_on(site, BAD)
        await site.add_backend(script, group=f"small.{number}")
    statuses = []
    for _ in range(5):
        got = await site.ask("/stream/1", body=BAD)
        statuses.append(got.status)
    assert crashes(site) == 2
    # The first request ran and crashed two servers; the others did not run.
    assert statuses == [502, 503, 503, 503, 503]
    error = json.loads(got.body)["error"]
    assert error["code"] == ResultCode.REQUEST_QUARANTINED
    assert error["ran"] == "no"
    assert "Retry-After" not in got.headers
    sound = await site.ask("/stream/1", body=b"another")
    assert sound.status == 200


def crashes_under(site, part: str):
    """Return a script whose whole server stops when it begins to run a part."""

    async def script(request, writer) -> None:
        parts = request.headers.get("x-prompt-prefix", "").split(",")[:-1]
        if f"{part}:9" not in parts:
            await streams(request, writer)
            return
        writer.write(head(request))
        await writer.drain()
        await asyncio.sleep(0.02)
        server = next(b for b in site.scripted if request in b.seen)
        await server.close()
        writer.transport.abort()

    return script


# Guards against requests that share one bad part, no two of them alike.
async def test_no_third_group_gets_a_part_that_crashed_two(site) -> None:
    await share_secret(site)
    for number in range(6):
        await site.add_backend(crashes_under(site, "bad"), group=f"small.{number}")

    async def ask(parts: str, body: str) -> int:
        headers = {"X-Prompt-Prefix": parts}
        return (await site.ask("/stream/1", body=body.encode(), **headers)).status

    assert await ask("common:9,own1:9", "1") == 200
    statuses = [await ask(f"common:9,bad:9,own{n}:9", f"bad {n}") for n in range(5)]
    # Each of the first two crashes one server, as a second run could crash another.
    assert statuses == [502, 502, 503, 503, 503]
    bodies = [r.body for b in site.scripted for r in b.seen]
    assert sum(body.startswith(b"bad") for body in bodies) == 2
    assert await ask("common:9,own2:9", "2") == 200
    assert await ask("common:9,other:9,own3:9", "3") == 200
    # The last part belongs to its request.
    assert await ask("common:9,bad:9", "4") == 200


# Guards against callers who lose a retry because other requests crash their server.
async def test_a_request_of_proven_parts_is_retried_after_a_crash(site) -> None:
    await share_secret(site)
    await site.add_backend(streams, group="small.0")
    headers = {"X-Prompt-Prefix": "common:9,own:9"}
    assert (await site.ask("/stream/1", body=b"1", **headers)).status == 200
    await site.scripted[0].close()
    await site.add_backend(crashes_on(site, b"2"), group="small.1")
    await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1", body=b"2", **headers)
    assert (got.status, len(site.scripted[1].seen)) == (200, 1)


async def test_a_plain_call_is_quarantined_as_well(site) -> None:
    await share_secret(site)

    async def crashes_on_bad_call(request, writer) -> None:
        if request.body != BAD:
            writer.write(http_answer(request, b"fine"))
            return
        server = next(b for b in site.scripted if request in b.seen)
        await server.close()
        writer.transport.abort()

    for _ in range(6):
        await site.add_backend(crashes_on_bad_call)
    statuses = [(await site.ask("/get/1", body=BAD)).status for _ in range(5)]
    assert crashes(site) == 2
    assert statuses == [502, 503, 503, 503, 503]
    assert (await site.ask("/get/1", body=b"another")).status == 200


async def test_a_call_that_may_run_once_is_refused_before_it_runs(site) -> None:
    await share_secret(site)
    digests = []

    async def answers(request, writer) -> None:
        writer.write(http_answer(request, b"fine"))

    good = await site.add_backend(answers)
    assert (await site.ask("/once/1", body=BAD)).status == 200
    digests.append(digest_of(site, "/once/1", BAD))
    for backend in "xyz":
        put_crash(site, digests[0], backend)
    await site.until(lambda: len(site.view.shared.crashes) == 3)
    assert (await site.ask("/once/1", body=BAD)).status == 503
    assert len(good.seen) == 1
    assert (await site.ask("/once/2", body=BAD)).status == 200


async def test_a_complete_answer_removes_the_published_crashes(site) -> None:
    await share_secret(site)
    await site.add_backend(streams, group="small.1")
    digest = digest_of(site, "/stream/1", BAD)
    for backend in "xy":
        put_crash(site, digest, backend, RunStage.WAITING)
    await site.until(lambda: len(site.view.shared.crashes) == 2)
    assert (await site.ask("/stream/1", body=BAD)).status == 200
    await site.until(lambda: not site.view.shared.crashes)


@pytest.mark.parametrize("events_before", [0, 2])
async def test_sound_streams_at_a_crash_complete_and_are_not_published(
    site, events_before
) -> None:
    await share_secret(site)
    writers = []
    may_crash = asyncio.Event()

    async def crashes_with_all(request, writer) -> None:
        writers.append(writer)
        writer.write(head(request))
        if events_before and request.body != BAD:
            writer.write(chunk(events(1, events_before)))
        await writer.drain()
        await may_crash.wait()
        await site.scripted[0].close()
        for each in writers:
            each.transport.abort()

    async def crashes_on_bad(request, writer) -> None:
        if request.body == BAD:
            await site.scripted[1].close()
            writer.transport.abort()
            return
        await streams(request, writer)

    bad = await site.add_backend(crashes_with_all, group="small.1")
    bodies = [BAD, b"1", b"2", b"3", b"4"]
    calls = [asyncio.ensure_future(site.ask("/stream/1", body=b)) for b in bodies]
    await site.until(lambda: len(bad.seen) == len(bodies))
    await site.add_backend(crashes_on_bad, group="small.2")
    await site.add_backend(streams, group="small.3", zone="z2")
    may_crash.set()
    await asyncio.wait(calls)
    got = [task.result() for task in calls]
    # Each request was on one crashed server; only the bad one crashed the second.
    await site.until(lambda: len(site.view.shared.crashes) >= 2)
    published = {digest for digest, _ in site.view.shared.crashes}
    assert published == {digest_of(site, "/stream/1", BAD)}
    assert [g.status for g in got[1:]] == [200] * 4


def digest_of(site, target: str, body: bytes) -> str:
    route = site.callers.admission.find_route("app.example", target).unwrap()
    workspace = site.callers.admission.authenticate(route, ("n2ctnfzs",)).unwrap()

    class DigestFields:
        """The fields that a digest is computed from."""

    fields = DigestFields()
    fields.target, fields.workspace, fields.body = target, workspace, body
    return request_digest(fields, KEY)


def put_crash(
    site, digest: str, backend: str, stage: RunStage = RunStage.BEGUN
) -> None:
    """Write the row of a crash that another node has seen."""
    record = CrashRecord(digest, backend, stage, "n2")
    site.model.put(SHARED_TABLE, crash_key(digest, backend), record.to_bytes())
