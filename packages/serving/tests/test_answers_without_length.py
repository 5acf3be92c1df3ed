"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from multidict import CIMultiDict
from test_quarantined_calls import BAD, share_secret
from test_stream_calls import ALL, events, first_due, head, streams

from fordhatch.serving import ends_with_connection
from fordhatch_standins import SIGNATURE

PLAIN_BODY = b"a whole answer"


def plain_head(request) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.request_id}\r\n"
        f"X-Server-Seal: {SIGNATURE}\r\nConnection: close\r\n\r\n"
    ).encode()


async def stop(site, request) -> None:
    """End the server that got a request: its connections, and nothing listens there."""
    server = next(b for b in site.scripted if request in b.seen)
    await server.close()
    server.close_connections()


def stops_after(site, written: bytes, *, is_crash: bool = True):
    """Return a script that writes a part of a stream and ends its connection."""

    async def script(request, writer) -> None:
        if request.body != BAD:
            await streams(request, writer)
            return
        writer.write(head(request, chunked=False) + written)
        await writer.drain()
        await asyncio.sleep(0.02)
        if is_crash:
            await stop(site, request)

    return script


def answers_plainly(site, written: bytes, *, is_crash: bool):
    """Return a script that writes a plain answer and ends its connection."""

    async def script(request, writer) -> None:
        writer.write(plain_head(request) + written)
        await writer.drain()
        await asyncio.sleep(0.02)
        if is_crash:
            await stop(site, request)

    return script


# Guards against crashes that are not counted, as the answer ends like a complete one.
@pytest.mark.parametrize("written", [b"", b"id: 1\nda"])
async def test_a_stream_that_crashes_servers_before_an_event_is_quarantined(
    site, written
) -> None:
    await share_secret(site)
    for number in range(6):
        await site.add_backend(stops_after(site, written), group=f"small.{number}")
    statuses = [(await site.ask("/stream/1", body=BAD)).status for _ in range(4)]
    assert sum(bool(b.seen) for b in site.scripted) == 2
    assert statuses == [502, 503, 503, 503]


# Guards against the beginning of a stream that looks like a whole one.
async def test_a_stream_of_a_server_that_is_gone_resumes_elsewhere(site) -> None:
    await site.add_backend(stops_after(site, events(1, 2)), group="small.1")
    good = await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1", body=BAD)
    assert (got.status, got.body) == (200, ALL)
    assert first_due(good.seen[0]) == 3


# Guards against a broken link that looks like the end of a whole stream.
async def test_a_stream_of_a_server_that_is_not_reached_resumes_elsewhere(site) -> None:
    script = stops_after(site, events(1, 2), is_crash=False)
    bad = await site.add_backend(script, group="small.1")
    bad.report = None
    good = await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1", body=BAD)
    assert (got.status, got.body) == (200, ALL)
    assert first_due(good.seen[0]) == 3


async def test_a_stream_of_a_server_that_is_gone_is_broken_off_if_it_runs_once(
    site,
) -> None:
    await site.add_backend(stops_after(site, events(1, 2)), group="small.1")
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask("/single/1", body=BAD)


async def test_a_stream_that_ends_with_its_connection_is_whole(site) -> None:
    script = stops_after(site, events(1, 2), is_crash=False)
    server = await site.add_backend(script, group="small.1")
    await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1", body=BAD)
    assert (got.status, got.body) == (200, events(1, 2))
    assert len(server.seen) == 1


async def test_a_stream_without_any_event_is_not_whole(site) -> None:
    script = stops_after(site, b"", is_crash=False)
    await site.add_backend(script, group="small.1")
    await site.add_backend(streams, group="small.2", zone="z2")
    got = await site.ask("/stream/1", body=BAD)
    assert (got.status, got.body) == (200, ALL)


async def test_a_plain_answer_that_ends_with_its_connection_is_whole(site) -> None:
    await site.add_backend(answers_plainly(site, PLAIN_BODY, is_crash=False))
    got = await site.ask("/once/1")
    assert (got.status, got.body) == (200, PLAIN_BODY)


# Guards against the beginning of a plain answer that looks like a whole one.
async def test_a_plain_answer_of_a_server_that_is_gone_is_not_whole(site) -> None:
    await site.add_backend(answers_plainly(site, PLAIN_BODY[:3], is_crash=True))
    assert (await site.ask("/once/1")).status == 502
    await site.add_backend(answers_plainly(site, PLAIN_BODY[:3], is_crash=True))
    await site.add_backend(answers_plainly(site, PLAIN_BODY, is_crash=False), zone="z2")
    got = await site.ask("/get/1")
    assert (got.status, got.body) == (200, PLAIN_BODY)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {}, True),
        (200, {"content-length": "3"}, False),
        (200, {"Transfer-Encoding": "gzip, Chunked"}, False),
        (200, {"Transfer-Encoding": "gzip"}, True),
        (204, {}, False),
    ],
)
def test_an_answer_ends_with_its_connection_only_if_nothing_else_marks_its_end(
    status, headers, expected
) -> None:
    assert ends_with_connection(status, CIMultiDict(headers)) is expected
