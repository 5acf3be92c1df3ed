"""A request with an idempotency key runs at most once, whatever fails."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest_asyncio
from own_site import BILL, OTHER_KEY, Got, OwnSite, declared, expected_text

from fordhatch.chat import ClaimState
from fordhatch.config import DECLARED_TABLE, decode_declared
from fordhatch.config._declared_configuration import HEAD_KEY
from fordhatch.core import Ran, ResultCode

ONCE = {"X-Repeatable": "false"}


@pytest_asyncio.fixture
async def site() -> AsyncIterator[OwnSite]:
    made = await OwnSite.start()
    yield made
    await made.close()


async def test_repeats_at_the_same_time_on_every_node_run_once(site) -> None:
    site.plain.work_s = 0.5
    got = await asyncio.gather(*(site.bill(node=i % 3) for i in range(9)))
    assert {g.status for g in got} == {200}
    assert len({g.body for g in got}) == 1
    assert site.plain_runs() == 1


async def test_model_answers_are_replayed_whole(site) -> None:
    for node in range(3):
        headers = {"Idempotency-Key": "e-1", **ONCE}
        got = await site.chat("estimate", node, **headers)
        assert got.text == expected_text("estimate")
        assert json.loads(got.body)["replayed"] == (node > 0)
        assert got.headers.get("X-Replayed", "") == ("true" if node else "")
    assert site.model_runs() == 1


async def test_key_used_for_another_request_is_refused(site) -> None:
    await site.bill(text="first")
    error = (await site.bill(text="second", node=1)).error
    assert (error["code"], error["ran"]) == (ResultCode.KEY_REUSED, Ran.NO)
    assert site.plain_runs() == 1


async def test_same_key_of_two_workspaces_are_two_requests(site) -> None:
    first = await site.bill()
    headers = {"Idempotency-Key": "k"}
    second = await site.post(BILL, b'{"text": "bill"}', key=OTHER_KEY, **headers)
    assert (first.status, second.status) == (200, 200)
    assert site.plain_runs() == 2


async def test_lost_answer_of_the_claim_write_runs_once(site) -> None:
    site.model.faults.lost_answers = 1
    first = await site.bill()
    again = await site.bill(node=1)
    assert (first.status, again.status) == (200, 200)
    assert first.body == again.body
    assert site.plain_runs() == 1


async def test_store_out_refuses_as_not_run(site) -> None:
    site.model.faults.is_down = True
    got = await site.bill()
    error = got.error
    assert (error["code"], error["ran"]) == (ResultCode.STORE_UNAVAILABLE, Ran.NO)
    assert got.headers["Retry-After"]
    assert site.plain_runs() == 0
    site.model.faults.is_down = False
    assert (await site.bill()).status == 200
    assert site.plain_runs() == 1


async def test_store_out_after_the_dispatch_never_runs_it_again(site) -> None:
    site.plain.work_s = 0.5
    asking = asyncio.ensure_future(site.bill())
    await site.until(lambda: site.plain_runs() == 1)
    site.model.faults.is_down = True
    assert (await asking).status == 200
    site.model.faults.is_down = False
    repeat = await site.bill(node=1)
    assert repeat.status == 200 or repeat.error["ran"] == Ran.MAYBE
    assert site.plain_runs() == 1


async def test_holder_killed_after_the_dispatch_leaves_a_final_answer(site) -> None:
    site.plain.work_s = 60.0
    asking = asyncio.ensure_future(site.bill())
    await site.until(lambda: site.plain_runs() == 1)
    holder = site.holder()
    index = site.nodes.index(holder)
    await holder.kill()
    asking.cancel()
    site.nodes.remove(holder)
    # It starts anew under its name, and knows nothing of the claim.
    await site.add_node(index)
    view = site.nodes[-1].daemon.node.view
    await site.until(lambda: view.configuration.version == site.revision)
    got = await site.bill(node=0)
    assert (got.error["code"], got.error["ran"]) == (
        ResultCode.OUTCOME_UNKNOWN,
        Ran.MAYBE,
    )
    assert site.plain_runs() == 1


async def test_claim_of_a_request_refused_by_the_backend_is_released(site) -> None:
    site.plain.refuses = True
    got = await site.bill()
    assert got.error["ran"] == Ran.NO
    site.plain.refuses = False
    await site.until(lambda: site.claims() == [])
    assert (await site.bill(node=1)).status == 200
    assert site.plain_runs() == 1


async def test_backend_lost_while_running_is_never_tried_again(site) -> None:
    site.plain.lost_share = 1.0
    assert (await site.bill()).error["ran"] == Ran.MAYBE
    site.plain.lost_share = 0.0
    await site.until(lambda: site.claims()[0].state is ClaimState.LOST)
    got = await site.bill(node=2)
    assert got.error["code"] == ResultCode.OUTCOME_UNKNOWN
    assert site.plain_runs() == 1


async def test_without_a_key_there_is_one_dispatch(site) -> None:
    site.plain.lost_share = 1.0
    assert (await site.bill(key="")).error["ran"] == Ran.MAYBE
    assert site.plain_runs() == 1


async def test_caller_that_goes_away_still_finds_its_answer(site) -> None:
    site.plain.work_s = 0.5
    asking = asyncio.ensure_future(site.bill())
    await site.until(lambda: site.plain_runs() == 1)
    asking.cancel()
    got = await site.bill(node=1)
    assert json.loads(got.body)["path"] == "/billing/17"
    assert got.headers["X-Replayed"] == "true"
    assert site.plain_runs() == 1


async def test_expired_claims_are_cleaned(site) -> None:
    for node in site.nodes:
        node.daemon.claims.expiry_s = -1.0
    await site.bill("old")
    for node in site.nodes:
        node.daemon.claims.expiry_s = 3600.0
    await site.bill("new")
    await site.until(lambda: {c.state for c in site.claims()} == {ClaimState.DONE})
    claims = site.nodes[0].daemon.claims
    for _ in range(32):
        await claims.clean()
    assert len(site.claims()) == 1


async def test_long_answers_are_kept_and_too_long_ones_are_not(site) -> None:
    headers = {"Idempotency-Key": "l-1", **ONCE}
    first = await site.chat("long", tokens=3000, **headers)
    again = await site.chat("long", 1, tokens=3000, **headers)
    assert first.text == again.text == expected_text("long", 3000)
    for node in site.nodes:
        node.daemon.claims.row_bytes = 64
    headers = {"Idempotency-Key": "l-2", **ONCE}
    assert (await site.chat("longer", tokens=50, **headers)).status == 200
    await site.until(lambda: any(c.state is ClaimState.LOST for c in site.claims()))
    got = await site.chat("longer", 1, tokens=50, **headers)
    assert got.error["code"] == ResultCode.OUTCOME_UNKNOWN
    assert site.model_runs() == 2


async def repeat(site: OwnSite, node: int) -> Got:
    """Ask again as a caller does that is told to come back."""
    while True:
        got = await site.bill(node=node)
        if got.status == 200 or got.error["ran"] != Ran.NO:
            return got
        await asyncio.sleep(0.1)


async def test_a_claim_that_a_restored_store_has_lost_is_held_on(site) -> None:
    """The store comes back from a copy of before the claim, while the request runs."""
    copy = site.model.copy()
    site.plain.work_s = 2.5
    asking = asyncio.ensure_future(site.bill())
    await site.until(lambda: site.plain_runs() == 1)
    site.model.restore(copy)
    again = await repeat(site, 1)
    first = await asking
    assert (first.status, again.status) == (200, 200)
    assert first.body == again.body
    assert site.plain_runs() == 1


async def test_an_answer_that_a_restored_store_has_lost_is_stored_again(site) -> None:
    copy = site.model.copy()
    first = await site.bill()
    site.model.restore(copy)
    again = await repeat(site, 1)
    assert (first.status, again.status) == (200, 200)
    assert first.body == again.body
    assert site.plain_runs() == 1


async def test_a_file_that_a_restored_store_has_lost_is_in_force_again(site) -> None:
    """Our own interface has acknowledged it; nobody else would write it again."""
    copy = site.model.copy()
    await site.apply(declared())
    revision = site.revision
    site.model.restore(copy)
    await site.until(lambda: decode_declared(head_of(site)).version == revision)
    versions = {n.daemon.node.view.configuration.version for n in site.nodes}
    assert versions == {revision}


def head_of(site: OwnSite) -> bytes:
    return site.model.rows[DECLARED_TABLE, "", HEAD_KEY].value
