"""No instance in two groups, no group serving with a member missing."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from memory_site import REGION, small_site

from fordhatch.groups import Repair, group_prefix, homes_of, instance_prefix
from fordhatch_standins import MemoryEngines


def rows(site, prefix: str) -> list[dict]:
    return [v for k, (_, v) in site.platform.rows.items() if k.startswith(prefix)]


def check_rows(site) -> None:
    """Each instance row names the one group that lists the instance."""
    listed: dict[str, str] = {}
    for group in rows(site, group_prefix(REGION)):
        if group["state"] == "dissolved":
            continue
        for member in group["members"]:
            name = member["instance_id"]
            assert name not in listed, f"{name} is in two groups"
            listed[name] = group["group_id"]
    bound = {
        row["instance_id"]: row["group_id"]
        for row in rows(site, instance_prefix(REGION))
        if row["group_id"]
    }
    assert bound == listed


@pytest.mark.parametrize("checks", [True, False])
def test_planner_frozen_between_check_and_send_does_no_harm(virtual, checks) -> None:
    """An order of a former planner arrives late, at engines of both kinds."""

    async def scenario(site) -> None:
        for index in range(9):
            await site.add_engine(f"gpu-{index + 1}", checks=checks)
        site.add_plain("yard-1")
        for index in range(3):
            await site.add_node(index + 1)
        await site.apply(site.declared())
        await site.until(lambda: len(site.serving()) == 3)
        stale = None
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        victim = row.members[1]
        held = site.engines.servers[victim.address].order_in_force
        stale = attrs.evolve(held, order_id="stale", group_id="old", epoch=1, rank=0)
        stale = attrs.evolve(stale, fencing_token=held.fencing_token - 1)
        await site.engines.order(victim.address, stale)
        asked = [site.ask(site.request(f"box {i}", tokens=60)) for i in range(12)]
        done = await asyncio.gather(*asked)
        assert all(d.is_ok() for d in done)
        member = site.engines.servers[victim.address]
        await site.until(lambda: member.order_in_force.group_id == row.group_id)
        await site.until(lambda: len(site.serving()) == 3)
        check_rows(site)

    virtual(scenario)


def test_killed_planner_is_succeeded_and_repairs_go_on(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        leader = site.planner()
        await site.kill_node(site.nodes.index(leader))
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[0].address)
        took_s = await site.until(lambda: (row.group_id, 2) in site.serving())
        assert took_s < 20.0
        check_rows(site)

    virtual(scenario)


class CutPlatform:
    """A platform that one node cannot reach, or whose answers come late to it."""

    def __init__(self, platform) -> None:
        self.platform = platform
        self.cut = False
        self.hold: asyncio.Event | None = None

    def __getattr__(self, name: str):
        call = getattr(self.platform, name)
        if name not in {"read", "scan", "transact", "put", "get", "instances"}:
            return call

        async def guarded(*args, **kwargs):
            if self.hold is not None:
                await self.hold.wait()
            if self.cut:
                down = attrs.evolve(self.platform.faults, down=True)
                before, self.platform.faults = self.platform.faults, down
                try:
                    return await call(*args, **kwargs)
                finally:
                    self.platform.faults = before
            return await call(*args, **kwargs)

        return guarded


async def site_with_cut_platforms(site) -> list[CutPlatform]:
    for index in range(9):
        await site.add_engine(f"gpu-{index + 1}")
    site.add_plain("yard-1")
    edges = []
    for index in range(3):
        edges.append(CutPlatform(site.platform))
        await site.add_node(index + 1, platform=edges[-1])
    await site.apply(site.declared())
    await site.until(lambda: len(site.serving()) == 3)
    return edges


def test_planner_cut_off_from_the_store_is_succeeded_without_overlap(virtual) -> None:
    async def scenario(site) -> None:
        edges = await site_with_cut_platforms(site)
        old = site.planner()
        edges[site.nodes.index(old)].cut = True
        others = [n for n in site.nodes if n is not old]

        def succeeded() -> bool:
            # ``planner`` asserts that there are never two.
            leader = site.planner()
            return leader is not None and leader is not old

        took_s = await site.until(succeeded)
        assert took_s < 15.0
        row = others[0].groups.rows["estimator-llm-2"]
        site.engines.down.add(row.members[0].address)
        await site.until(lambda: (row.group_id, 2) in site.serving())
        check_rows(site)

    virtual(scenario)


def test_planner_paused_in_a_write_writes_nothing_after_its_successor(virtual) -> None:
    async def scenario(site) -> None:
        edges = await site_with_cut_platforms(site)
        old = site.planner()
        index = site.nodes.index(old)
        edges[index].hold = asyncio.Event()
        row = old.groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[0].address)
        await site.until(lambda: site.planner() not in (None, old))
        await site.until(lambda: (row.group_id, 2) in site.serving())
        generation = site.platform.rows[f"groups-head/{REGION}"][1]["generation"]
        edges[index].hold.set()
        edges[index].hold = None
        await asyncio.sleep(5.0)
        head = site.platform.rows[f"groups-head/{REGION}"][1]
        assert head["generation"] == generation, "the former planner wrote"
        check_rows(site)

    virtual(scenario)


@pytest.mark.parametrize("writes", [1, 2, 3])
def test_lost_answers_of_planner_writes_form_each_group_once(virtual, writes) -> None:
    async def scenario(site) -> None:
        for index in range(9):
            await site.add_engine(f"gpu-{index + 1}")
        site.add_plain("yard-1")
        for index in range(3):
            await site.add_node(index + 1)
        await site.until(lambda: site.planner() is not None)
        await site.apply(site.declared())
        site.platform.faults.lose_answers = writes
        await site.until(lambda: len(site.serving()) == 3, 60.0)
        check_rows(site)

    virtual(scenario)


def test_no_permit_while_a_member_is_missing(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=8)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[3].address)
        permit_s = site.nodes[0].permits.permit_s
        await asyncio.sleep(permit_s + 0.1)
        assert (row.group_id, 1) not in site.serving()
        # No spare is left, so the group waits for its member and then serves again.
        await asyncio.sleep(10.0)
        assert all(name != row.group_id for name, _ in site.serving())
        site.engines.down.clear()
        await site.until(lambda: any(n == row.group_id for n, _ in site.serving()))

    virtual(scenario)


def test_one_blind_watcher_does_not_break_a_group(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        before = site.nodes[0].groups.generations[REGION]
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        homes = homes_of(row, site.nodes[0].membership.table)
        blind = next(n for n in site.nodes if n.settings.node_id == homes[0].node_id)
        # Its way to one member is cut, and a spare would be there to replace it.
        seen = dict(site.engines.servers)
        del seen[row.members[1].address]
        blind.watcher.engines = MemoryEngines(servers=seen)
        await asyncio.sleep(15.0)
        assert row.group_id not in blind.permits.held()
        assert site.nodes[0].groups.generations[REGION] == before
        done = await asyncio.gather(
            *(site.ask(site.request(f"box {i}"), i % 3) for i in range(9))
        )
        assert all(d.is_ok() for d in done)

    virtual(scenario)


def test_dark_fabric_domain_comes_back(virtual) -> None:
    async def scenario(site) -> None:
        for index in range(5):
            await site.add_engine(f"a-{index + 1}", domain="fabric-a")
            await site.add_engine(f"b-{index + 1}", domain="fabric-b")
        site.add_plain("yard-1")
        for index in range(3):
            await site.add_node(index + 1)
        await site.apply(site.declared())
        await site.until(lambda: len(site.serving()) == 3)
        dark = {f"a-{i + 1}:80" for i in range(5)}
        site.engines.down.update(dark)
        await asyncio.sleep(20.0)
        groups = [g for g, _ in site.serving() if g.startswith("estimator")]
        assert len(groups) == 1
        assert (await site.ask(site.request("still served"))).is_ok()
        site.engines.down.clear()
        await site.until(lambda: len(site.serving()) == 3, 60.0)
        check_rows(site)

    virtual(scenario)


def test_leftovers_of_two_broken_groups_make_one(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=8)
        for name in ("estimator-llm-1", "estimator-llm-2"):
            row = site.nodes[0].groups.rows[name]
            site.engines.down.add(row.members[1].address)
        await site.until(
            lambda: any(g.startswith("estimator") for g, _ in site.serving()), 60.0
        ) if not any(g.startswith("estimator") for g, _ in site.serving()) else None
        await asyncio.sleep(25.0)
        groups = [g for g, _ in site.serving() if g.startswith("estimator")]
        assert len(groups) == 1
        check_rows(site)

    virtual(scenario)


def test_flapping_instance_is_set_aside(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        name = site.nodes[0].groups.rows["estimator-llm-1"].members[0].instance_id
        for _ in range(3):
            site.engines.down.add(f"{name}:80")
            await asyncio.sleep(8.0)
            site.engines.down.clear()
            await asyncio.sleep(8.0)
        view = site.planner().planner.instances[name]
        assert view.quarantined_until_s > asyncio.get_running_loop().time()
        members = {
            m.instance_id for r in site.nodes[0].groups.present() for m in r.members
        }
        assert name not in members
        assert len(site.serving()) == 3

    virtual(scenario)


def test_leaving_member_gets_no_new_work_after_three_seconds(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=8)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        leaving = row.members[2]
        server = site.engines.servers[leaving.address]
        server.faults.leaving = True
        await asyncio.sleep(3.0)
        leader = site.engines.servers[row.members[0].address]
        before = sum(leader.executions.values())
        done = await asyncio.gather(
            *(site.ask(site.request(f"box {i}"), i % 3) for i in range(12))
        )
        assert all(d.is_ok() for d in done)
        assert sum(leader.executions.values()) == before

    virtual(scenario)


def test_instance_that_the_list_calls_leaving_gets_no_new_work(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=9)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        name = row.members[2].instance_id
        listed = site.platform.listed[name]
        site.platform.listed[name] = attrs.evolve(listed, state="leaving")
        await asyncio.sleep(3.0)
        assert (row.group_id, 1) not in site.serving()
        await site.until(lambda: (row.group_id, 2) in site.serving(), 60.0)
        members = site.nodes[0].groups.rows[row.group_id].members
        assert name not in [m.instance_id for m in members]

    virtual(scenario)


def test_stream_in_flight_outlives_the_leaving_of_its_member(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        request = site.request("long", tokens=800)
        asking = asyncio.ensure_future(site.ask(request))
        await asyncio.sleep(1.0)
        busy = next(
            e for e in site.engines.servers.values() if getattr(e, "running", None)
        )
        order = busy.order_in_force
        site.engines.servers[order.members[1]].faults.leaving = True
        await asyncio.sleep(5.0)
        assert not asking.done()
        assert busy.order_in_force is order, "the group was rebuilt under its stream"
        assert (await asking).is_ok()
        assert busy.cancelled == 0, "the stream was cut"
        await site.until(lambda: (order.group_id, 2) in site.serving(), 60.0)

    virtual(scenario)


@pytest.mark.parametrize(("engines", "lowest_allowed"), [(12, 3), (8, 2)])
def test_version_rollout_falls_no_lower_than_spares_allow(
    virtual, engines: int, lowest_allowed: int
) -> None:
    """With spares all three services go on; without, one group at a time is out."""

    async def scenario(site) -> None:
        await small_site(site, engines=engines)
        document = site.declared(version="2026-12")
        document["models"][0]["versions"].append(
            {"name": "2026-12", "shard_bytes": 1000}
        )
        await site.apply(document)
        lowest = 3

        def rolled() -> bool:
            nonlocal lowest
            lowest = min(lowest, len(site.serving()))
            rows = [r for r in site.nodes[0].groups.present() if r.kind == "model"]
            new = [r for r in rows if (r.group_id, r.epoch) in site.serving()]
            both_serve = len(rows) == len(new) == 2
            return both_serve and all(r.version == "2026-12" for r in rows)

        await site.until(rolled, 120.0)
        assert lowest >= lowest_allowed
        check_rows(site)

    virtual(scenario)


def test_adapters_are_loaded_without_touching_the_group(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        document = site.declared(adapters=["tariff-coding", "lessor-x"])
        document["models"][0]["adapters"].append("lessor-x")
        epochs = site.serving()
        await site.apply(document)
        engines = [e for e in site.engines.servers.values() if hasattr(e, "take")]
        await site.until(
            lambda: (
                sum(
                    e.order_in_force is not None
                    and "lessor-x" in e.order_in_force.adapters
                    for e in engines
                )
                == 8
            )
        )
        assert site.serving() == epochs

    virtual(scenario)


def test_group_that_matters_more_takes_from_one_that_matters_less(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=8, groups=1)
        document = site.declared(groups=1)
        lesser = {**document["model_services"][0], "name": "lesser", "importance": 1}
        document["model_services"].append(lesser)
        await site.apply(document)
        await site.until(lambda: len(site.serving()) == 3, 60.0)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        site.engines.down.add(row.members[0].address)
        await site.until(lambda: (row.group_id, 2) in site.serving(), 60.0)
        check_rows(site)

    virtual(scenario)


class RepairOnce:
    """A policy that rebuilds a group under its permits, once."""

    def __init__(self, group_id: str, spare: str) -> None:
        self.decisions = [Repair(group_id, {1: spare})]

    def decide(self, view, declared, region) -> list:
        decisions, self.decisions = self.decisions, []
        return decisions


def test_orders_wait_until_every_old_permit_has_lapsed(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        leader = site.planner()
        leader.planner.policy = RepairOnce("estimator-llm-1", "gpu-9")
        # Both homes stop looking, so that their permits last as long as they can.
        for node in site.nodes:
            for task in node.watcher._watches.values():
                task.cancel()
        early: list[bool] = []

        async def note(step: str) -> None:
            if step.startswith("order"):
                early.append(("estimator-llm-1", 1) in held_epochs(site))

        site.engines.before = note
        await site.until(lambda: bool(early))
        assert not any(early), "an order went out under a valid permit"

    virtual(scenario)


def held_epochs(site) -> set[tuple[str, int]]:
    return {
        (permit.group_id, permit.epoch)
        for node in site.nodes
        for permit in node.permits._permits.values()
        if node.permits.valid(permit.group_id, permit.epoch)
    }


def test_straggler_is_replaced_and_others_are_not(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        slow = row.members[2]
        site.engines.servers[slow.address].faults.step_factor = 5.0
        await site.until(lambda: (row.group_id, 2) in site.serving(), 60.0)
        now = site.nodes[0].groups.rows[row.group_id]
        assert now.members[2].instance_id != slow.instance_id
        others = [m.instance_id for i, m in enumerate(row.members) if i != 2]
        assert others == [m.instance_id for i, m in enumerate(now.members) if i != 2]
        assert ("estimator-llm-2", 1) in site.serving()

    virtual(scenario)


def test_short_slowness_is_forgiven(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        engine = site.engines.servers[row.members[2].address]
        for _ in range(3):
            engine.faults.step_factor = 5.0
            await asyncio.sleep(4.0)
            engine.faults.step_factor = 1.0
            await asyncio.sleep(3.0)
        assert (row.group_id, 1) in site.serving()

    virtual(scenario)


def test_member_that_stays_after_all_serves_again(virtual) -> None:
    async def scenario(site) -> None:
        await small_site(site, engines=8)
        row = site.nodes[0].groups.rows["estimator-llm-1"]
        server = site.engines.servers[row.members[2].address]
        server.faults.leaving = True
        await asyncio.sleep(5.0)
        assert (row.group_id, 1) not in site.serving()
        server.faults.leaving = False
        await site.until(lambda: (row.group_id, 1) in site.serving())

    virtual(scenario)
