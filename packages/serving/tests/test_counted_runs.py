"""Which runs count towards the attempts that a request's route allows."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from test_hedged_calls import answers_late
from test_plain_calls import answers, breaks, fails
from test_quarantined_calls import share_secret
from test_stream_calls import chunk, events, first_due, head, streams

from fordhatch.adapter import BACKENDS_TABLE
from fordhatch.registry import _liveness_probe


def server_of(site, request):
    return next(b for b in site.scripted if request in b.seen)


def leaves_first(site, script):
    """Return a script whose backend server has left the list, but works on."""

    async def leaving(request, writer) -> None:
        name = server_of(site, request).runner_id
        version = site.model.remove(BACKENDS_TABLE, name)
        await site.until(lambda: site.view.backends.version.number >= version)
        await script(request, writer)

    return leaving


def ends(site):
    """Return a script whose process ends: the connection breaks, nothing listens."""

    async def ending(request, writer) -> None:
        await server_of(site, request).close()
        writer.transport.abort()

    return ending


def breaks_as(site, name: str = ""):
    """Return a script that breaks; its address then reports a name, or its own."""

    async def breaking(request, writer) -> None:
        server = server_of(site, request)
        server.report_headers = {"X-Runner-Id": name or server.runner_id}
        writer.transport.abort()

    return breaking


async def breaks_after_two(request, writer) -> None:
    first = first_due(request)
    writer.write(head(request) + chunk(events(first, first + 1)))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


def runs(site) -> int:
    return sum(len(b.seen) for b in site.scripted)


# Guards against a third run: a backend server that has left the list without a report
# works on.
@pytest.mark.parametrize("first", [fails, breaks])
@pytest.mark.parametrize("second", [fails, breaks])
async def test_a_run_at_a_server_that_left_the_list_counts(site, first, second) -> None:
    await share_secret(site)
    for script in (leaves_first(site, first), leaves_first(site, second)):
        await site.add_backend(script, zone="z1")
    await site.add_backend(answers, zone="z2")
    got = await site.ask("/get/1", method="GET")
    assert got.status in (500, 502)
    assert runs(site) == 2


# The same while the run goes on beside another attempt.
@pytest.mark.parametrize("key", ["", "k1"])
async def test_a_silent_run_counts_after_its_server_left_the_list(site, key) -> None:
    await site.add_backend(leaves_first(site, answers_late), zone="z1")
    for _ in range(2):
        await site.add_backend(fails, zone="z2")
    headers = {"Idempotency-Key": key} if key else {}
    got = await site.ask("/get/1", method="GET", **headers)
    assert (got.status, runs(site)) == (200, 2)


@pytest.mark.parametrize("resumed", [False, True])
async def test_a_stream_runs_no_more_after_its_heads_left_the_list(
    site, resumed
) -> None:
    await share_secret(site)
    script = leaves_first(site, breaks_after_two)
    for number in range(2):
        await site.add_backend(script, group=f"small.{number}")
    for number in range(2, 4):
        await site.add_backend(streams, group=f"small.{number}", zone="z2")
    headers = {"Last-Event-ID": "1"} if resumed else {}
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask("/stream/1", **headers)
    assert runs(site) == 2


def in_turn(*scripts):
    """Return a script for several servers, whose n-th request runs the n-th one."""
    left = iter(scripts)

    async def script(request, writer) -> None:
        await next(left)(request, writer)

    return script


# Guards against a retry that the route allows, and that its caller doesn't get.
@pytest.mark.parametrize(
    ("script", "status"),
    [
        (ends, 200),
        (lambda site: breaks_as(site, "another"), 200),
        (breaks_as, 500),
        (lambda site: breaks, 500),
    ],
    ids=["refused", "another process", "this start", "unnamed"],
)
@pytest.mark.parametrize("is_listed", [True, False])
async def test_only_a_proven_end_frees_an_attempt(
    site, monkeypatch, script, status, is_listed
) -> None:
    # A busy machine must not make the probe inconclusive.
    monkeypatch.setattr(_liveness_probe, "SECOND_PROBE_AFTER_S", 2.0)
    monkeypatch.setattr(_liveness_probe, "MAX_WAIT_S", 2.0)
    await share_secret(site)
    second = script(site) if is_listed else leaves_first(site, script(site))
    turns = in_turn(fails, second, answers)
    for _ in range(3):
        await site.add_backend(turns)
    got = await site.ask("/get/1", method="GET")
    assert (got.status, runs(site)) == (status, 3 if status == 200 else 2)
