"""Every caller gets the complete answer to its own request, or an explicit error."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest_asyncio
from in_process_site import (
    API_KEY,
    MODEL,
    InProcessSite,
    chat_body,
    declared,
    expected_text,
)

from fordhatch.chat import CHAT_PATH
from fordhatch.core import Ran, ResultCode


@pytest_asyncio.fixture
async def site() -> AsyncIterator[InProcessSite]:
    started = await InProcessSite.start()
    yield started
    await started.close()


def busy_head(site: InProcessSite):
    works = site.backends._work_by_id.values()
    return next((w for w in works if w.running), None)


async def stream_chat(site: InProcessSite, text: str, tokens: int) -> str:
    url = f"http://{site.nodes[0].server.address}{CHAT_PATH}"
    body = chat_body(text, tokens, stream=True)
    headers = {"Authorization": f"Bearer {API_KEY}"}
    async with site.session.post(url, data=body, headers=headers) as reply:
        return (await reply.read()).decode()


def streamed_text(content: str) -> str:
    lines = [x for x in content.split("\n\n") if x.startswith("data: {")]
    deltas = [json.loads(x[6:])["choices"][0]["delta"] for x in lines]
    return "".join(d.get("content", "") for d in deltas)


async def test_callers_get_complete_answers_from_any_node(site) -> None:
    for node in range(3):
        got = await site.chat(f"box {node}", node)
        assert got.text == expected_text(f"box {node}")


async def test_streamed_answer_ends_with_the_done_event(site) -> None:
    content = await stream_chat(site, "dent", 60)
    assert streamed_text(content) == expected_text("dent", 60)
    assert content.endswith("data: [DONE]\n\n")


async def test_stream_continues_on_another_group_after_a_member_crash(site) -> None:
    pending = asyncio.ensure_future(stream_chat(site, "dent", 2000))
    await site.until(lambda: busy_head(site) is not None)
    await asyncio.sleep(0.1)
    members = site.backends.fleet.members(busy_head(site).engine)
    site.backends.fleet.kill(members[3])
    content = await pending
    assert streamed_text(content) == expected_text("dent", 2000)
    assert content.endswith("data: [DONE]\n\n")


async def test_broken_stream_of_unrepeatable_request_is_an_explicit_error(
    site,
) -> None:
    headers = {"X-Repeatable": "false"}
    pending = asyncio.ensure_future(site.chat("dent", tokens=2000, **headers))
    await site.until(lambda: busy_head(site) is not None)
    await asyncio.sleep(0.1)
    site.backends.fleet.kill(busy_head(site).engine)
    got = await pending
    assert (got.status, got.error["ran"]) == (502, Ran.MAYBE)
    assert site.model_runs() == 1


async def test_caller_disconnect_cancels_the_engines_work(site) -> None:
    pending = asyncio.ensure_future(site.chat("dent", tokens=20_000))
    await site.until(lambda: busy_head(site) is not None)
    pending.cancel()
    await site.until(lambda: busy_head(site) is None)


async def test_missed_deadline_reports_that_the_request_may_have_run(site) -> None:
    got = await site.chat("dent", tokens=20_000, **{"X-Timeout-S": "0.5"})
    assert got.error["ran"] == Ran.MAYBE
    assert got.error["code"] in (
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.STREAM_INCOMPLETE,
    )


async def test_workspace_concurrency_limit_is_enforced(site) -> None:
    document = declared()
    document["workspaces"][0]["max_concurrent"] = 1
    await site.apply(document)
    pending = asyncio.ensure_future(site.chat("dent", tokens=4000))
    await site.until(lambda: busy_head(site) is not None)
    got = await site.chat("another")
    assert got.error["code"] == ResultCode.WORKSPACE_LIMIT
    assert got.headers["Retry-After"]
    assert (await pending).status == 200


async def test_lost_member_is_replaced_by_the_spare_engine(site) -> None:
    fleet = site.backends.fleet
    head = fleet.check_serving()[0]
    spare = next(e for e in fleet.engines.values() if e.place is None)
    fleet.kill(fleet.members(head)[2])
    await site.until(lambda: spare.place is not None and spare.place.state != "joining")
    await site.until(lambda: site.backends.fleet.working_groups() == {MODEL: 2})


async def test_new_version_replaces_the_old_one_group_by_group(site) -> None:
    """Callers are served throughout: by the old version until the new one serves."""
    document = declared()
    document["models"][0]["versions"].append("2026-12")
    document["model_services"][0]["version"] = "2026-12"
    newer = "estimator@2026-12"
    site.backends.fleet.models[newer] = site.backends.fleet.models[MODEL]
    await site.apply(document)
    fleet = site.backends.fleet
    requests_sent = 0
    while fleet.working_groups() != {newer: 2}:
        got = await site.chat(f"box {requests_sent}", requests_sent % 3)
        assert got.status == 200, got.body
        requests_sent += 1
        assert requests_sent < 3000, fleet.working_groups()
        await asyncio.sleep(0.01)
    assert requests_sent
