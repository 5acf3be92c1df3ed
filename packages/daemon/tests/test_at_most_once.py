"""A request with an idempotency key runs at most once, under every fault."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest_asyncio
from in_process_site import (
    BILLING_PATH,
    OTHER_API_KEY,
    InProcessNode,
    InProcessSite,
    Response,
    declared,
    expected_text,
)

from fordhatch.chat import ClaimState
from fordhatch.chat._claim_restorer import HOLD_OFF_S
from fordhatch.config import DECLARED_TABLE, decode_declared
from fordhatch.config._declared_configuration import HEAD_KEY
from fordhatch.core import Ran, ResultCode

NOT_REPEATABLE = {"X-Repeatable": "false"}


@pytest_asyncio.fixture
async def site() -> AsyncIterator[InProcessSite]:
    started = await InProcessSite.start()
    yield started
    await started.close()


async def test_concurrent_retries_on_every_node_run_once(site) -> None:
    site.plain.work_s = 0.5
    got = await asyncio.gather(*(site.post_bill(node=i % 3) for i in range(9)))
    assert {g.status for g in got} == {200}
    assert len({g.body for g in got}) == 1
    assert site.plain_runs() == 1


async def test_model_answers_are_replayed_in_full(site) -> None:
    for node in range(3):
        headers = {"Idempotency-Key": "e-1", **NOT_REPEATABLE}
        got = await site.chat("estimate", node, **headers)
        assert got.text == expected_text("estimate")
        assert json.loads(got.body)["replayed"] == (node > 0)
        assert got.headers.get("X-Replayed", "") == ("true" if node else "")
    assert site.model_runs() == 1


async def test_key_used_for_another_request_is_refused(site) -> None:
    await site.post_bill(text="first")
    error = (await site.post_bill(text="second", node=1)).error
    assert (error["code"], error["ran"]) == (ResultCode.KEY_REUSED, Ran.NO)
    assert site.plain_runs() == 1


async def test_same_key_of_two_workspaces_are_two_requests(site) -> None:
    first = await site.post_bill()
    headers = {"Idempotency-Key": "k"}
    second = await site.post(
        BILLING_PATH, b'{"text": "bill"}', key=OTHER_API_KEY, **headers
    )
    assert (first.status, second.status) == (200, 200)
    assert site.plain_runs() == 2


async def test_lost_answer_of_the_claim_write_runs_once(site) -> None:
    site.model.faults.lost_answers = 1
    first = await site.post_bill()
    retried = await site.post_bill(node=1)
    assert (first.status, retried.status) == (200, 200)
    assert first.body == retried.body
    assert site.plain_runs() == 1


async def test_unavailable_store_refuses_requests_as_not_run(site) -> None:
    site.model.faults.is_down = True
    got = await site.post_bill()
    error = got.error
    assert (error["code"], error["ran"]) == (ResultCode.STORE_UNAVAILABLE, Ran.NO)
    assert got.headers["Retry-After"]
    assert site.plain_runs() == 0
    site.model.faults.is_down = False
    assert (await site.post_bill()).status == 200
    assert site.plain_runs() == 1


async def test_store_outage_after_dispatch_never_runs_a_request_again(site) -> None:
    site.plain.work_s = 0.5
    pending = asyncio.ensure_future(site.post_bill())
    await site.until(lambda: site.plain_runs() == 1)
    site.model.faults.is_down = True
    assert (await pending).status == 200
    site.model.faults.is_down = False
    retried = await site.post_bill(node=1)
    assert retried.status == 200 or retried.error["ran"] == Ran.MAYBE
    assert site.plain_runs() == 1


async def test_holder_killed_after_dispatch_gives_a_final_answer(site) -> None:
    site.plain.work_s = 60.0
    pending = asyncio.ensure_future(site.post_bill())
    await site.until(lambda: site.plain_runs() == 1)
    holder = site.claim_holder()
    index = site.nodes.index(holder)
    await holder.kill()
    pending.cancel()
    site.nodes.remove(holder)
    # The node restarts under the same name, without any record of the claim.
    await site.add_node(index)
    view = site.nodes[-1].daemon.node.view
    await site.until(lambda: view.configuration.version == site.revision)
    got = await site.post_bill(node=0)
    assert (got.error["code"], got.error["ran"]) == (
        ResultCode.OUTCOME_UNKNOWN,
        Ran.MAYBE,
    )
    assert site.plain_runs() == 1


async def test_claim_of_a_request_refused_by_the_backend_is_released(site) -> None:
    site.plain.refuses = True
    got = await site.post_bill()
    assert got.error["ran"] == Ran.NO
    site.plain.refuses = False
    await site.until(lambda: site.claims() == [])
    assert (await site.post_bill(node=1)).status == 200
    assert site.plain_runs() == 1


async def test_backend_lost_while_running_is_never_tried_again(site) -> None:
    site.plain.lost_share = 1.0
    assert (await site.post_bill()).error["ran"] == Ran.MAYBE
    site.plain.lost_share = 0.0
    await site.until(lambda: site.claims()[0].state is ClaimState.LOST)
    got = await site.post_bill(node=2)
    assert got.error["code"] == ResultCode.OUTCOME_UNKNOWN
    assert site.plain_runs() == 1


async def test_without_a_key_there_is_one_dispatch(site) -> None:
    site.plain.lost_share = 1.0
    assert (await site.post_bill(key="")).error["ran"] == Ran.MAYBE
    assert site.plain_runs() == 1


async def test_answer_is_kept_for_a_caller_that_disconnects(site) -> None:
    site.plain.work_s = 0.5
    pending = asyncio.ensure_future(site.post_bill())
    await site.until(lambda: site.plain_runs() == 1)
    pending.cancel()
    got = await site.post_bill(node=1)
    assert json.loads(got.body)["path"] == "/billing/17"
    assert got.headers["X-Replayed"] == "true"
    assert site.plain_runs() == 1


async def test_expired_claims_are_cleaned(site) -> None:
    for node in site.nodes:
        node.daemon.claims.expiry_s = -1.0
    await site.post_bill("old")
    for node in site.nodes:
        node.daemon.claims.expiry_s = 3600.0
    await site.post_bill("new")
    await site.until(lambda: {c.state for c in site.claims()} == {ClaimState.DONE})
    claims = site.nodes[0].daemon.claims
    for _ in range(32):
        await claims.clean()
    assert len(site.claims()) == 1


async def test_long_answers_are_stored_and_oversized_ones_are_not(site) -> None:
    headers = {"Idempotency-Key": "l-1", **NOT_REPEATABLE}
    first = await site.chat("long", tokens=3000, **headers)
    retried = await site.chat("long", 1, tokens=3000, **headers)
    assert first.text == retried.text == expected_text("long", 3000)
    for node in site.nodes:
        node.daemon.claims.row_bytes = 64
    headers = {"Idempotency-Key": "l-2", **NOT_REPEATABLE}
    assert (await site.chat("longer", tokens=50, **headers)).status == 200
    await site.until(lambda: any(c.state is ClaimState.LOST for c in site.claims()))
    got = await site.chat("longer", 1, tokens=50, **headers)
    assert got.error["code"] == ResultCode.OUTCOME_UNKNOWN
    assert site.model_runs() == 2


def _is_configured(site: InProcessSite, node: InProcessNode) -> bool:
    return node.daemon.node.view.configuration.version >= site.revision


async def retry_until_final(site: InProcessSite, node: int, key: str = "k") -> Response:
    """Retry as a caller does, as long as the request is refused as not run."""
    while True:
        got = await site.post_bill(key, node=node)
        if got.status == 200 or got.error["ran"] != Ran.NO:
            return got
        await asyncio.sleep(0.1)


async def test_claim_lost_by_a_restored_store_stays_in_effect(site) -> None:
    """A backup older than the claim is restored while the request runs."""
    backup = site.model.copy()
    site.plain.work_s = 2.5
    pending = asyncio.ensure_future(site.post_bill())
    await site.until(lambda: site.plain_runs() == 1)
    site.model.restore(backup)
    retried = await retry_until_final(site, 1)
    first = await pending
    assert (first.status, retried.status) == (200, 200)
    assert first.body == retried.body
    assert site.plain_runs() == 1


async def test_answer_lost_by_a_restored_store_is_stored_again(site) -> None:
    backup = site.model.copy()
    first = await site.post_bill()
    site.model.restore(backup)
    retried = await retry_until_final(site, 1)
    assert (first.status, retried.status) == (200, 200)
    assert first.body == retried.body
    assert site.plain_runs() == 1


async def test_holder_that_reaches_a_restored_store_late_keeps_its_claims(site) -> None:
    """Guards against claims made before the holder of a lost one has rewritten it.

    The holder's link to the store fails from the restore until the others have had
    twice the hold-off.
    """
    backup = site.model.copy()
    first = await site.post_bill()
    holder = site.claim_holder()
    retrying = next(i for i, node in enumerate(site.nodes) if node is not holder)
    holder.store.is_frozen = True
    site.model.restore(backup)
    pending = asyncio.ensure_future(retry_until_final(site, retrying))
    await asyncio.sleep(2 * HOLD_OFF_S)
    holder.store.is_frozen = False
    retried = await pending
    assert (first.status, retried.status) == (200, 200)
    assert first.body == retried.body
    assert site.plain_runs() == 1


async def test_claims_of_nodes_that_do_not_call_the_store_are_rewritten(site) -> None:
    """Guards against holders that learn of a restore only by calls of their own.

    Most nodes of a larger site read their tables from another node.
    """
    for index in range(3, 7):
        await site.add_node(index)
    await site.until(lambda: all(_is_configured(site, n) for n in site.nodes))
    backup = site.model.copy()
    keys = [f"k-{index}" for index in range(1, 7)]
    for index, key in enumerate(keys, 1):
        assert (await site.post_bill(key, node=index)).status == 200
    site.model.restore(backup)
    for key in keys:
        assert (await retry_until_final(site, 0, key)).status == 200
    assert site.plain_runs() == len(keys)


async def test_settled_claim_that_a_backup_has_as_running_is_settled(site) -> None:
    """Guards against an answer that a retry waits for though it is known."""
    site.plain.work_s = 0.5
    pending = asyncio.ensure_future(site.post_bill())
    await site.until(lambda: site.plain_runs() == 1)
    backup = site.model.copy()
    first = await pending
    await site.until(lambda: site.claims()[0].state is ClaimState.DONE)
    site.model.restore(backup)
    retried = await retry_until_final(site, 1)
    assert retried.body == first.body
    assert site.plain_runs() == 1


async def test_file_lost_by_a_restored_store_is_active_again(site) -> None:
    """The operators' interface has acknowledged the file, so the nodes must rewrite it.

    No other component would do so.
    """
    backup = site.model.copy()
    await site.apply(declared())
    revision = site.revision
    site.model.restore(backup)
    await site.until(lambda: decode_declared(head_of(site)).version == revision)
    versions = {n.daemon.node.view.configuration.version for n in site.nodes}
    assert versions == {revision}


def head_of(site: InProcessSite) -> bytes:
    return site.model.rows[DECLARED_TABLE, "", HEAD_KEY].value
