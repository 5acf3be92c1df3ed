"""An accepted file becomes active on every node within seconds and never reverts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import pytest

from fordhatch.adapter import DecodeError
from fordhatch.config import (
    DECLARED_ROW,
    DECLARED_TABLE,
    Applied,
    ApplyRequest,
    ConfigApplier,
    decode_declared,
    read_audit,
)
from fordhatch.core import Failure, Ran, ResultCode, Timer
from fordhatch.registry import StoreSource, StoreView
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel

EXAMPLE = Path(__file__).parents[3] / "examples" / "pruitt.json"
HEAD = (DECLARED_TABLE, "", "head")


@attrs.define(eq=False, repr=False)
class ApplierNode:
    """A node that accepts files, with its store client and its view of the store."""

    store: MemoryStoreClient
    applier: ConfigApplier
    view: StoreView

    @classmethod
    def at(cls, model: StoreModel, name: str) -> ApplierNode:
        timer = Timer.from_seed(name)
        timer.wall_clock = lambda: 1e9 + asyncio.get_running_loop().time()
        store = MemoryStoreClient(model, name)
        view = StoreView.create(
            StoreSource(store), timer, configuration_row=DECLARED_ROW
        )
        view.start()
        return cls(store, ConfigApplier(store, timer, 65536), view)

    async def apply(self, groups: int, base: int, name: str) -> Applied | Failure:
        request = ApplyRequest(file_with(groups), base, name, f"operator-{name}")
        done = await self.applier.apply(request)
        return done.unwrap() if done.is_ok() else done.unwrap_err()


def file_with(groups: int) -> bytes:
    document = json.loads(EXAMPLE.read_text())
    document["model_services"][0]["groups"] = groups
    return json.dumps(document).encode()


def run_scenario(
    scenario: Callable[[StoreModel, list[ApplierNode]], Awaitable[None]],
) -> None:
    """Run a scenario with three nodes on a virtual clock.

    Revision 1 has been accepted when the scenario starts.
    """

    async def run() -> None:
        model = StoreModel()
        nodes = [ApplierNode.at(model, f"n{i}") for i in range(3)]
        first = await nodes[0].apply(2, 0, "first")
        assert first.revision == 1
        try:
            await scenario(model, nodes)
        finally:
            for node in nodes:
                await node.view.close()

    run_in_virtual_time(run())


async def wait_until_active(nodes: list[ApplierNode], revision: int) -> float:
    """Return the seconds until a revision is active on every node."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while any(n.view.configuration.version < revision for n in nodes):
        assert loop.time() - started_s < 60
        await asyncio.sleep(0.02)
    return loop.time() - started_s


def test_one_of_racing_operators_wins_and_the_others_learn_its_name() -> None:
    async def scenario(model, nodes) -> None:
        done = await asyncio.gather(
            *(n.apply(i, 1, f"r{i}") for i, n in enumerate(nodes))
        )
        (won,) = [i for i, d in enumerate(done) if isinstance(d, Applied)]
        for index, result in enumerate(done):
            if index != won:
                assert result.code is ResultCode.CONFIG_CONFLICT
                assert f"operator-r{won}" in result.message
        records, end = (await read_audit(nodes[0].store, "", 100)).unwrap()
        assert [r.outcome for r in records].count("accepted") == 2
        assert (len(records), end) == (4, "")

    run_scenario(scenario)


def test_repeat_after_a_lost_answer_is_the_same_apply() -> None:
    async def scenario(model, nodes) -> None:
        model.faults.lost_answers = 1
        first = await nodes[0].apply(1, 1, "a")
        again = await nodes[1].apply(1, 1, "a")
        assert first == again
        assert first.revision == 2
        assert decode_declared(model.rows[HEAD].value).version == 2

    run_scenario(scenario)


def test_repeat_is_recognised_after_other_applies() -> None:
    async def scenario(model, nodes) -> None:
        first = await nodes[0].apply(1, 1, "a")
        await nodes[1].apply(2, 2, "b")
        assert await nodes[2].apply(1, 1, "a") == first

    run_scenario(scenario)


def test_bad_file_changes_nothing() -> None:
    async def scenario(model, nodes) -> None:
        before = dict(model.rows)
        request = ApplyRequest(b'{"format": 2}', 1, "a", "op")
        failure = (await nodes[0].applier.apply(request)).unwrap_err()
        assert (failure.code, failure.ran) == (ResultCode.CONFIG_INVALID, Ran.NO)
        assert model.rows == before

    run_scenario(scenario)


def test_a_file_longer_than_a_row_changes_nothing() -> None:
    async def scenario(model, nodes) -> None:
        before = dict(model.rows)
        nodes[0].applier.row_bytes = 200
        failure = await nodes[0].apply(1, 1, "a")
        assert (failure.code, failure.ran) == (ResultCode.CONFIG_INVALID, Ran.NO)
        assert model.rows == before

    run_scenario(scenario)


def test_apply_during_a_store_outage_is_refused_as_not_run() -> None:
    async def scenario(model, nodes) -> None:
        await wait_until_active(nodes, 1)
        model.faults.is_down = True
        failure = await nodes[0].apply(1, 1, "a")
        assert failure.ran is Ran.NO
        model.faults.is_down = False
        await asyncio.sleep(20.0)
        assert {n.view.configuration.version for n in nodes} == {1}

    run_scenario(scenario)


def test_file_is_active_within_eight_seconds_after_a_store_outage() -> None:
    async def scenario(model, nodes) -> None:
        await wait_until_active(nodes, 1)
        accepted = await nodes[0].apply(1, 1, "a")
        model.faults.is_down = True
        await asyncio.sleep(30.0)
        model.faults.is_down = False
        assert await wait_until_active(nodes, accepted.revision) < 8.0

    run_scenario(scenario)


def test_an_accepted_file_is_active_within_milliseconds() -> None:
    async def scenario(model, nodes) -> None:
        await wait_until_active(nodes, 1)
        await nodes[0].apply(1, 1, "a")
        assert await wait_until_active(nodes, 2) < 0.1

    run_scenario(scenario)


def test_an_older_file_is_never_applied() -> None:
    async def scenario(model, nodes) -> None:
        old = model.rows[HEAD].value
        await nodes[0].apply(1, 1, "a")
        await wait_until_active(nodes, 2)
        model.put(DECLARED_TABLE, "head", old)
        await asyncio.sleep(5.0)
        assert {n.view.configuration.version for n in nodes} == {2}

    run_scenario(scenario)


def test_a_malformed_file_leaves_the_previous_one_active() -> None:
    async def scenario(model, nodes) -> None:
        await wait_until_active(nodes, 1)
        model.put(DECLARED_TABLE, "head", b"noise")
        await asyncio.sleep(5.0)
        assert {n.view.configuration.version for n in nodes} == {1}
        with pytest.raises(DecodeError):
            decode_declared(b"noise")

    run_scenario(scenario)


def test_wait_for_a_revision_reports_whether_it_became_active() -> None:
    async def scenario(model, nodes) -> None:
        waiting = asyncio.ensure_future(nodes[2].view.configuration.wait_for(2, 8.0))
        await nodes[0].apply(1, 1, "a")
        assert await waiting
        assert not await nodes[2].view.configuration.wait_for(3, 1.0)

    run_scenario(scenario)


def test_services_models_and_workspaces_are_those_of_the_file() -> None:
    async def scenario(model, nodes) -> None:
        await wait_until_active(nodes, 1)
        current = nodes[0].view.configuration.current
        (model_profile,) = current.services["a100"].engine.models
        assert model_profile.name == "estimator@2026-11"
        assert (model_profile.size, model_profile.declared_groups) == (4, 2)
        assert current.services["yard-app"].engine is None
        assert len({w.name for w in current.workspace_by_key.values()}) == 10

    run_scenario(scenario)
