"""A request marked as not repeatable runs at most once, whatever fails."""

from __future__ import annotations

import asyncio
import json

from memory_site import expected_text, small_site

from fordhatch.core import Ran, ResultCode

BILL = "/billing/17"


def plain_request(site, key: str = "k", text: str = "bill", **fields):
    return site.request(text, key=key, application="yard", path=BILL, **fields)


def runs(site) -> int:
    return sum(site.engines.executions().values())


def test_repeats_at_the_same_time_on_every_node_run_once(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 1.0
        request = plain_request(site)
        done = await asyncio.gather(*(site.ask(request, i % 3) for i in range(9)))
        assert len({d.unwrap().body for d in done}) == 1
        assert runs(site) == 1

    virtual(scenario)


def test_model_answers_are_replayed_whole(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        for node in range(3):
            request = site.request("estimate", key="e-1", repeatable=False)
            done = (await site.ask(request, node)).unwrap()
            assert done.text == expected_text("estimate")
            assert done.replayed == (node > 0)
        assert runs(site) == 1

    virtual(scenario)


def test_key_used_for_another_request_is_refused(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        await site.ask(plain_request(site, text="first"))
        failure = (await site.ask(plain_request(site, text="second"))).unwrap_err()
        assert (failure.code, failure.ran) == (ResultCode.KEY_REUSED, Ran.NO)
        assert runs(site) == 1

    virtual(scenario)


def test_same_key_of_two_workspaces_are_two_requests(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        first = plain_request(site)
        other = site.nodes[0].config.current.declared.workspaces[1]
        second = plain_request(site)
        object.__setattr__(second, "workspace", other)
        assert (await site.ask(first)).is_ok()
        assert (await site.ask(second)).is_ok()
        assert runs(site) == 2

    virtual(scenario)


def test_lost_answer_of_the_claim_write_runs_once(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.platform.faults.lose_answers = 1
        done = await site.ask(plain_request(site))
        assert done.is_ok()
        repeat = await site.ask(plain_request(site), 1)
        assert repeat.unwrap().body == done.unwrap().body
        assert runs(site) == 1

    virtual(scenario)


def test_store_out_refuses_as_not_run(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.platform.faults.down = True
        failure = (await site.ask(plain_request(site))).unwrap_err()
        assert (failure.code, failure.ran) == (ResultCode.STORE_UNAVAILABLE, Ran.NO)
        assert failure.retry_after_s
        assert runs(site) == 0
        site.platform.faults.down = False
        assert (await site.ask(plain_request(site))).is_ok()
        assert runs(site) == 1

    virtual(scenario)


def test_store_out_after_the_dispatch_never_runs_it_again(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 1.0
        asking = asyncio.ensure_future(site.ask(plain_request(site)))
        await site.until(lambda: runs(site) == 1)
        site.platform.faults.down = True
        assert (await asking).is_ok()
        await asyncio.sleep(4.0)
        site.platform.faults.down = False
        repeat = await site.ask(plain_request(site, timeout_s=10.0), 1)
        if repeat.is_err():
            assert repeat.unwrap_err().ran is Ran.MAYBE
        assert runs(site) == 1

    virtual(scenario)


def test_holder_killed_after_the_dispatch_leaves_a_final_answer(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 30.0
        asking = asyncio.ensure_future(site.ask(plain_request(site)))
        await site.until(lambda: runs(site) == 1)
        holder = claim(site)["node"]
        index = [n.settings.node_id for n in site.nodes].index(holder)
        await site.kill_node(index)
        failure = (await site.ask(plain_request(site), 0)).unwrap_err()
        assert failure.code is ResultCode.OUTCOME_UNKNOWN
        assert failure.ran is Ran.MAYBE
        assert runs(site) == 1
        asking.cancel()

    virtual(scenario)


def claim(site) -> dict:
    values = [v for k, (_, v) in site.platform.rows.items() if k.startswith("claims/")]
    assert len(values) == 1
    return values[0]


def test_holder_frozen_between_claim_and_dispatch_runs_it_once(virtual) -> None:
    """The engine bars the frozen holder's request, so that a repeat may run."""

    async def scenario(site) -> None:
        await small_site(site)
        thaw = asyncio.Event()
        frozen: list[str] = []

        async def freeze_first(step: str) -> None:
            if step.startswith("generate") and not frozen:
                frozen.append(step)
                await thaw.wait()

        site.engines.before = freeze_first
        request = site.request("estimate", key="e-1", repeatable=False)
        first = asyncio.ensure_future(site.ask(request, 0))
        await site.until(lambda: bool(frozen))
        holder = claim(site)["node"]
        for node in site.nodes:
            entry = node.membership.table.entries.get(holder)
            if entry is not None:
                node.membership.table.entries.pop(holder)
        awake = next(
            i for i, n in enumerate(site.nodes) if n.settings.node_id != holder
        )
        done = await site.ask(request, awake)
        assert done.unwrap().text == expected_text("estimate")
        thaw.set()
        await asyncio.wait({first}, timeout=20.0)
        assert runs(site) == 1

    virtual(scenario)


def test_claim_of_a_request_refused_by_the_backend_is_released(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.refuse = True
        failure = (await site.ask(plain_request(site))).unwrap_err()
        assert failure.ran is Ran.NO
        site.engines.servers["yard-1:80"].faults.refuse = False
        assert (await site.ask(plain_request(site), 1)).is_ok()
        assert runs(site) == 1

    virtual(scenario)


def test_backend_lost_while_running_is_never_tried_again(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 1.0
        asking = asyncio.ensure_future(site.ask(plain_request(site)))
        await site.until(lambda: runs(site) == 1)
        site.engines.down.add("yard-1:80")
        assert (await asking).unwrap_err().ran is Ran.MAYBE
        site.engines.down.clear()
        await asyncio.sleep(5.0)
        failure = (await site.ask(plain_request(site), 2)).unwrap_err()
        assert failure.code is ResultCode.OUTCOME_UNKNOWN
        assert runs(site) == 1

    virtual(scenario)


def test_without_a_key_there_is_one_dispatch(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 1.0
        asking = asyncio.ensure_future(site.ask(plain_request(site, key="")))
        await site.until(lambda: runs(site) == 1)
        site.engines.down.add("yard-1:80")
        assert (await asking).unwrap_err().ran is Ran.MAYBE
        assert runs(site) == 1

    virtual(scenario)


def test_caller_that_goes_away_still_finds_its_answer(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 2.0
        asking = asyncio.ensure_future(site.ask(plain_request(site)))
        await site.until(lambda: runs(site) == 1)
        asking.cancel()
        done = await site.ask(plain_request(site), 1)
        assert json.loads(done.unwrap().body)["path"] == BILL
        assert done.unwrap().replayed
        assert runs(site) == 1

    virtual(scenario)


def test_expired_claims_are_cleaned(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        for node in site.nodes:
            node.claims.expiry_s = 30.0
        await site.ask(plain_request(site))
        await asyncio.sleep(20.0)
        assert claim(site)["state"] == "done"
        await asyncio.sleep(30.0)
        left = [key for key in site.platform.rows if key.startswith("claims/")]
        assert left == []

    virtual(scenario)


def test_cleaning_reaches_every_page(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        claims = site.nodes[0].claims
        old = {"attempt_id": "a", "expires_at": 0.0}
        for index in range(600):
            site.platform.rows[f"claims/00/{index:04d}"] = (1, dict(old))
        await claims.clean()
        await asyncio.sleep(5.0)
        assert not [key for key in site.platform.rows if key.startswith("claims/")]

    virtual(scenario)


def test_long_answers_go_to_the_object_store(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        request = site.request(
            "long", key="l-1", repeatable=False, tokens=3000, timeout_s=60.0
        )
        first = (await site.ask(request)).unwrap()
        again = (await site.ask(request, 1)).unwrap()
        assert first.text == again.text == expected_text("long", 3000)
        assert "object" in claim(site)["answer"]
        assert runs(site) == 1

    virtual(scenario)


def test_holder_that_started_anew_does_not_hold_up_a_repeat(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        site.engines.servers["yard-1:80"].faults.delay_s = 30.0
        asking = asyncio.ensure_future(site.ask(plain_request(site)))
        await site.until(lambda: runs(site) == 1)
        name = claim(site)["node"]
        await site.kill_node([n.settings.node_id for n in site.nodes].index(name))
        await site.add_node(int(name.removeprefix("node-")))
        await site.until(lambda: site.nodes[-1].confirmed() is None)
        await asyncio.sleep(2.0)
        started_s = asyncio.get_running_loop().time()
        failure = (await site.ask(plain_request(site), 0)).unwrap_err()
        assert failure.code is ResultCode.OUTCOME_UNKNOWN
        assert asyncio.get_running_loop().time() - started_s < 2.0
        assert runs(site) == 1
        asking.cancel()

    virtual(scenario)


def test_engine_that_restarted_proves_nothing(virtual) -> None:
    """An engine that forgot the request must not be taken for one that never saw it."""

    async def scenario(site) -> None:
        await small_site(site)
        request = site.request("estimate", key="e-1", repeatable=False, tokens=500)
        asking = asyncio.ensure_future(site.ask(request))
        await site.until(lambda: runs(site) == 1)
        address = claim(site)["target"]["address"]
        holder = claim(site)["node"]
        index = [n.settings.node_id for n in site.nodes].index(holder)
        asking.cancel()
        await site.kill_node(index)
        engine = site.engines.servers[address]
        engine.seen.clear()
        engine.boot_id += "'"
        failure = (await site.ask(request, 0)).unwrap_err()
        assert failure.code is ResultCode.OUTCOME_UNKNOWN
        await asyncio.sleep(5.0)
        assert runs(site) == 1

    virtual(scenario)


def test_plain_holder_frozen_between_claim_and_dispatch_runs_it_once(virtual) -> None:
    """A plain service cannot be asked, so a repeat gets a final answer instead."""

    async def scenario(site) -> None:
        await small_site(site)
        thaw = asyncio.Event()
        frozen: list[str] = []

        async def freeze_first(step: str) -> None:
            if step.startswith("call") and not frozen:
                frozen.append(step)
                await thaw.wait()

        site.engines.before = freeze_first
        first = asyncio.ensure_future(site.ask(plain_request(site), 0))
        await site.until(lambda: bool(frozen))
        holder = claim(site)["node"]
        for node in site.nodes:
            node.membership.table.entries.pop(holder, None)
        awake = next(
            i for i, n in enumerate(site.nodes) if n.settings.node_id != holder
        )
        failure = (await site.ask(plain_request(site), awake)).unwrap_err()
        assert failure.code is ResultCode.OUTCOME_UNKNOWN
        assert runs(site) == 0
        thaw.set()
        await asyncio.wait({first}, timeout=20.0)
        assert runs(site) == 1

    virtual(scenario)
