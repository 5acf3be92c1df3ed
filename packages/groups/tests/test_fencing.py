from __future__ import annotations

import asyncio
import json
from pathlib import Path

import looptime
import pytest

from fordhatch.config import OperatorsFile
from fordhatch.core import ResultCode, Timer
from fordhatch.groups import (
    Dissolve,
    Form,
    GroupMap,
    InstanceView,
    PlannerLease,
    RegionState,
)
from fordhatch.platform import Instance, Transaction
from fordhatch_standins import MemoryPlatform

EXAMPLE = Path(__file__).parents[3] / "examples" / "pruitt.json"
TTL_S = 6.0


@pytest.fixture
def loop():
    loop = looptime.new_event_loop(start=1000.0, noop_cycles=0)
    yield loop
    loop.close()


def new_lease(platform, holder: str) -> PlannerLease:
    return PlannerLease("r", holder, platform, Timer.from_seed(1), TTL_S)


def views() -> dict[str, InstanceView]:
    names = [f"gpu-{i}" for i in range(8)]
    return {
        name: InstanceView(
            Instance(name, f"{name}:1", "r", "z", "fabric", "a100"), state="ready"
        )
        for name in names
    }


def form(names: list[str]) -> Form:
    declared = OperatorsFile.from_json(EXAMPLE.read_bytes()).unwrap()
    return Form(declared.model_services[0], 1, names)


async def prepared(platform) -> tuple[PlannerLease, RegionState]:
    head = {"revision": 1, "digest": "d"}
    await platform.transact(Transaction(puts={"config/head": head}))
    lease = new_lease(platform, "a")
    assert await lease.keep()
    state = RegionState("r", platform)
    assert await state.load()
    return lease, state


def test_a_second_node_takes_the_lease_only_after_it_lapsed(loop) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        first, second = new_lease(platform, "a"), new_lease(platform, "b")
        assert await first.keep()
        taken_s = None
        while taken_s is None:
            if await second.keep():
                taken_s = asyncio.get_running_loop().time() - 1000.0
                assert not first.held()
            await asyncio.sleep(0.1)
        assert TTL_S < taken_s < 2 * TTL_S
        assert second.token == first.token + 1

    loop.run_until_complete(scenario())


def test_former_planner_writes_nothing_before_its_successor_has_written(loop) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        lease, state = await prepared(platform)
        # Frozen here; meanwhile the lease lapses and another node takes it.
        check = lease.check()
        successor = new_lease(platform, "b")
        while not await successor.keep():
            await asyncio.sleep(0.5)
        done = await state.commit(form(list(views())[:4]), views(), check, 1)
        assert done.unwrap_err().code is ResultCode.STORE_CONFLICT
        assert not [k for k in platform.rows if k.startswith("groups/")]

    loop.run_until_complete(scenario())


def test_two_writers_cannot_bind_one_instance_twice(loop) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        lease, state = await prepared(platform)
        other = RegionState("r", platform)
        await other.load()
        names = list(views())
        first = await state.commit(form(names[:4]), views(), lease.check(), 1)
        second = await other.commit(form(names[3:7]), views(), lease.check(), 1)
        assert first.is_ok()
        assert second.unwrap_err().code is ResultCode.STORE_CONFLICT

    loop.run_until_complete(scenario())


def test_fencing_tokens_rise_with_every_assignment_and_release(loop) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        lease, state = await prepared(platform)
        names = list(views())[:4]
        tokens = []
        for _ in range(3):
            group = await state.commit(form(names), views(), lease.check(), 1)
            tokens.append(state.instances[names[0]].fencing_token)
            gone = Dissolve(group.unwrap().group_id, "test")
            assert (await state.commit(gone, views(), lease.check(), 1)).is_ok()
            tokens.append(state.instances[names[0]].fencing_token)
        assert tokens == sorted(set(tokens))

    loop.run_until_complete(scenario())


def test_token_rises_above_one_that_the_engine_reports(loop) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        lease, state = await prepared(platform)
        seen = views()
        seen["gpu-0"].reported_token = 41
        group = await state.commit(form(list(seen)[:4]), seen, lease.check(), 1)
        assert group.unwrap().members[0].fencing_token == 42

    loop.run_until_complete(scenario())


def test_rows_survive_a_round_trip_through_json(loop) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        lease, state = await prepared(platform)
        await state.commit(form(list(views())[:4]), views(), lease.check(), 1)
        for key, (version, value) in list(platform.rows.items()):
            platform.rows[key] = (version, json.loads(json.dumps(value)))
        again = RegionState("r", platform)
        assert await again.load()
        assert again.groups == state.groups
        assert again.instances == state.instances

    loop.run_until_complete(scenario())


def test_dissolved_rows_do_not_pile_up_and_nodes_behind_notice(
    loop, monkeypatch
) -> None:
    monkeypatch.setattr("fordhatch.groups._state.DISSOLVED_KEPT", 3)

    async def scenario() -> None:
        platform = MemoryPlatform()
        lease, state = await prepared(platform)
        names = list(views())
        kept = await state.commit(form(names[4:]), views(), lease.check(), 1)
        first = await state.commit(form(names[:4]), views(), lease.check(), 1)
        behind = GroupMap()
        head = (await platform.read(["groups-head/r"])).unwrap()["groups-head/r"]
        await behind.observe_head(platform, "r", head)
        assert len(behind.present()) == 2
        group_id = first.unwrap().group_id
        for _ in range(80):
            gone = Dissolve(group_id, "test")
            assert (await state.commit(gone, views(), lease.check(), 1)).is_ok()
            again = await state.commit(form(names[:4]), views(), lease.check(), 1)
            group_id = again.unwrap().group_id
        rows = [key for key in platform.rows if key.startswith("groups/r/")]
        assert len(rows) <= 3 + 3
        head = (await platform.read(["groups-head/r"])).unwrap()["groups-head/r"]
        await behind.observe_head(platform, "r", head)
        present = {row.group_id for row in behind.present()}
        assert present == {kept.unwrap().group_id, group_id}
        assert not behind.guard.tripped
        follower = GroupMap()
        follower.adopt_reply(behind.changed_after("r", 0))
        assert {r.group_id for r in follower.present()} == present

    loop.run_until_complete(scenario())
