"""Answers to callers that go on sending while the node closes the connection."""

from __future__ import annotations

import asyncio

import pytest
from raw_caller import RECEIVE_BYTES, Caller, answers_of_a_size, request_bytes
from serving_site import configuration, route

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE

READS_AFTER_S = 0.3
"""How long a caller does not read after it has sent more."""


async def give_time(site) -> None:
    """Give answers as much time on a slow machine as a stop leaves them."""
    times = {"timeout-ms": 7000}
    routes = [
        route("/once/", "non_idempotent", "app", **times),
        route("/stream/", "streaming", "llm", resumable=True, **times),
    ]
    changed = configuration(version=2, routes=routes)
    site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, changed)
    await site.until(lambda: site.view.configuration.version == 2)


# Guards against the tail of an answer that is lost by a reset: the kernel sends one for
# bytes of the caller that arrive after the node has closed the connection.
@pytest.mark.parametrize("path", ["/once/60000", "/stream/60000"])
@pytest.mark.parametrize("is_leaving", [False, True], ids=["staying", "leaving"])
async def test_a_next_request_does_not_cost_the_answer_before_it(
    site, path, is_leaving
) -> None:
    await give_time(site)
    await site.add_backend(answers_of_a_size)
    await site.add_backend(answers_of_a_size, group="small.1")
    if is_leaving:
        site.state.leave()
    caller = await Caller.connect(site, RECEIVE_BYTES)
    await caller.send(request_bytes(path, "r1"))
    await caller.until_full()
    await caller.send(request_bytes(path, "r2"))
    await asyncio.sleep(READS_AFTER_S)
    assert (await caller.answer()).seen == (200, "whole")
    caller.close()


REFUSED = {
    "too large": ("/once/1", 413),
    "no route": ("/nowhere", 404),
    "no path": ("http://x/", 400),
}


# Guards against a refusal that is lost because the caller still sends its body.
@pytest.mark.parametrize("case", REFUSED)
@pytest.mark.parametrize("is_leaving", [False, True], ids=["staying", "leaving"])
async def test_the_rest_of_a_body_does_not_cost_the_refusal(
    site, case, is_leaving
) -> None:
    path, status = REFUSED[case]
    if is_leaving:
        site.state.leave()
    caller = await Caller.connect(site, RECEIVE_BYTES)
    data = request_bytes(path, "r1", b"x" * 2_000_000)
    await caller.send(data[:300_000])
    sending = asyncio.create_task(caller.send(data[300_000:]))
    await asyncio.sleep(READS_AFTER_S)
    assert (await caller.answer()).seen == (status, "whole")
    await sending
    caller.close()
