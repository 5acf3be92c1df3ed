"""Plain calls whose backend server takes long: another one is asked as well."""

from __future__ import annotations

import asyncio

import pytest
from test_plain_calls import answers, breaks, fails, refuses, sends_garbage

from fordhatch_standins import SIGNATURE

PATIENCE_S = 0.24
"""Six tenths of the route's objective."""


async def answers_late(request, writer) -> None:
    await asyncio.sleep(4 * PATIENCE_S)
    await answers(request, writer)


async def answers_at_last(request, writer) -> None:
    await asyncio.sleep(8 * PATIENCE_S)
    await answers(request, writer)


async def ends_late(request, writer) -> None:
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.request_id}\r\n"
        f"X-Server-Seal: {SIGNATURE}\r\nContent-Length: 10\r\n\r\nwhole".encode()
    )
    await writer.drain()
    await asyncio.sleep(4 * PATIENCE_S)
    writer.write(b" body")


# Guards against a call that is given up before another backend server has answered.
@pytest.mark.parametrize("first", [answers_late, ends_late])
@pytest.mark.parametrize("other", [refuses, fails, breaks, sends_garbage])
async def test_a_late_answer_is_delivered_if_no_other_comes(site, first, other) -> None:
    late = await site.add_backend(first, zone="z1")
    second = await site.add_backend(other, zone="z2")
    got = await site.ask("/get/1", method="GET")
    assert (got.status, got.body) == (200, b"whole body")
    assert (len(late.seen), len(second.seen)) == (1, 1)


async def test_the_earlier_answer_is_delivered_and_the_other_run_ends(site) -> None:
    late = await site.add_backend(answers_at_last, zone="z1")
    good = await site.add_backend(answers, zone="z2")
    got = await site.ask("/get/1", method="GET")
    assert (got.status, got.body) == (200, b"whole body")
    await site.until(lambda: late.left)
    assert len(good.seen) == 1


async def test_a_caller_that_leaves_ends_both_runs(site) -> None:
    first = await site.add_backend(answers_at_last, zone="z1")
    second = await site.add_backend(answers_at_last, zone="z2")
    asked = asyncio.ensure_future(site.ask("/get/1", method="GET"))
    await site.until(lambda: second.seen)
    asked.cancel()
    await site.until(lambda: first.left and second.left)


async def test_a_late_answer_is_delivered_if_the_node_stops(site) -> None:
    late = await site.add_backend(answers_late, zone="z1")
    second = await site.add_backend(answers, zone="z2")
    asked = asyncio.ensure_future(site.ask("/get/1", method="GET"))
    await site.until(lambda: late.seen)
    # A new attempt has no time to end.
    site.state.leave(site.state.timer.now_s() - 6.0)
    got = await asked
    assert (got.status, got.body) == (200, b"whole body")
    assert not second.seen
