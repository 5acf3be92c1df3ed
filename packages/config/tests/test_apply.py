"""An accepted file is in force everywhere within seconds and never reverts."""

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
class Operator:
    """One node's way of accepting files."""

    store: MemoryStoreClient
    applier: ConfigApplier
    view: StoreView

    @classmethod
    def at(cls, model: StoreModel, name: str) -> Operator:
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


def play(scenario: Callable[[StoreModel, list[Operator]], Awaitable[None]]) -> None:
    """Run a scenario with three nodes on a virtual clock."""

    async def whole() -> None:
        model = StoreModel()
        operators = [Operator.at(model, f"n{i}") for i in range(3)]
        first = await operators[0].apply(2, 0, "first")
        assert first.revision == 1
        try:
            await scenario(model, operators)
        finally:
            for operator in operators:
                await operator.view.close()

    run_in_virtual_time(whole())


async def until_in_force(operators: list[Operator], revision: int) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while any(o.view.configuration.version < revision for o in operators):
        assert loop.time() - began_s < 60
        await asyncio.sleep(0.02)
    return loop.time() - began_s


def test_of_racing_operators_one_wins_and_the_other_is_told_who() -> None:
    async def scenario(model, operators) -> None:
        done = await asyncio.gather(
            *(o.apply(i, 1, f"r{i}") for i, o in enumerate(operators))
        )
        (won,) = [i for i, d in enumerate(done) if isinstance(d, Applied)]
        for index, result in enumerate(done):
            if index != won:
                assert result.code is ResultCode.CONFIG_CONFLICT
                assert f"operator-r{won}" in result.message
        records, end = (await read_audit(operators[0].store, "", 100)).unwrap()
        assert [r.outcome for r in records].count("accepted") == 2
        assert (len(records), end) == (4, "")

    play(scenario)


def test_repeat_after_a_lost_answer_is_the_same_apply() -> None:
    async def scenario(model, operators) -> None:
        model.faults.lost_answers = 1
        first = await operators[0].apply(1, 1, "a")
        again = await operators[1].apply(1, 1, "a")
        assert first == again
        assert first.revision == 2
        assert decode_declared(model.rows[HEAD].value).version == 2

    play(scenario)


def test_repeat_is_recognised_after_others_have_applied() -> None:
    async def scenario(model, operators) -> None:
        first = await operators[0].apply(1, 1, "a")
        await operators[1].apply(2, 2, "b")
        assert await operators[2].apply(1, 1, "a") == first

    play(scenario)


def test_bad_file_changes_nothing() -> None:
    async def scenario(model, operators) -> None:
        before = dict(model.rows)
        request = ApplyRequest(b'{"format": 2}', 1, "a", "op")
        failure = (await operators[0].applier.apply(request)).unwrap_err()
        assert (failure.code, failure.ran) == (ResultCode.CONFIG_INVALID, Ran.NO)
        assert model.rows == before

    play(scenario)


def test_a_file_longer_than_a_row_is_refused_as_a_whole() -> None:
    async def scenario(model, operators) -> None:
        before = dict(model.rows)
        operators[0].applier.row_bytes = 200
        failure = await operators[0].apply(1, 1, "a")
        assert (failure.code, failure.ran) == (ResultCode.CONFIG_INVALID, Ran.NO)
        assert model.rows == before

    play(scenario)


def test_store_out_refuses_an_apply_as_not_done() -> None:
    async def scenario(model, operators) -> None:
        await until_in_force(operators, 1)
        model.faults.is_down = True
        failure = await operators[0].apply(1, 1, "a")
        assert failure.ran is Ran.NO
        model.faults.is_down = False
        await asyncio.sleep(20.0)
        assert {o.view.configuration.version for o in operators} == {1}

    play(scenario)


def test_in_force_everywhere_within_eight_seconds_of_the_stores_return() -> None:
    async def scenario(model, operators) -> None:
        await until_in_force(operators, 1)
        accepted = await operators[0].apply(1, 1, "a")
        model.faults.is_down = True
        await asyncio.sleep(30.0)
        model.faults.is_down = False
        assert await until_in_force(operators, accepted.revision) < 8.0

    play(scenario)


def test_an_accepted_file_is_in_force_within_milliseconds() -> None:
    async def scenario(model, operators) -> None:
        await until_in_force(operators, 1)
        await operators[0].apply(1, 1, "a")
        assert await until_in_force(operators, 2) < 0.1

    play(scenario)


def test_an_older_file_is_never_taken() -> None:
    async def scenario(model, operators) -> None:
        old = model.rows[HEAD].value
        await operators[0].apply(1, 1, "a")
        await until_in_force(operators, 2)
        model.put(DECLARED_TABLE, "head", old)
        await asyncio.sleep(5.0)
        assert {o.view.configuration.version for o in operators} == {2}

    play(scenario)


def test_an_unreadable_file_leaves_the_one_before_in_force() -> None:
    async def scenario(model, operators) -> None:
        await until_in_force(operators, 1)
        model.put(DECLARED_TABLE, "head", b"noise")
        await asyncio.sleep(5.0)
        assert {o.view.configuration.version for o in operators} == {1}
        with pytest.raises(DecodeError):
            decode_declared(b"noise")

    play(scenario)


def test_read_back_waits_for_a_revision_or_says_that_it_has_not_come() -> None:
    async def scenario(model, operators) -> None:
        waiting = asyncio.ensure_future(
            operators[2].view.configuration.wait_for(2, 8.0)
        )
        await operators[0].apply(1, 1, "a")
        assert await waiting
        assert not await operators[2].view.configuration.wait_for(3, 1.0)

    play(scenario)


def test_services_models_and_workspaces_are_those_of_the_file() -> None:
    async def scenario(model, operators) -> None:
        await until_in_force(operators, 1)
        current = operators[0].view.configuration.current
        (model_profile,) = current.services["a100"].engine.models
        assert model_profile.name == "estimator@2026-11"
        assert (model_profile.size, model_profile.wanted_groups) == (4, 2)
        assert current.services["yard-app"].engine is None
        assert len({w.name for w in current.workspace_by_key.values()}) == 10

    play(scenario)
