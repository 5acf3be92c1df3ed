"""What a node believes of backend servers when the store shows an older copy."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from fordhatch.adapter import BACKENDS_TABLE
from fordhatch.catalog import BackendState
from fordhatch.core import Timer
from fordhatch.registry import StoreSource, StoreView
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel, entry_fields

GRACE_S = 2.0
"""Within this time living backend servers have written again."""


def place(epoch: int, state: str) -> dict[str, object]:
    return {"name": f"g.{epoch}", "epoch": epoch, "rank": 0, "state": state}


class Drill:
    """A store, and a node that follows it."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.view = StoreView.create(
            StoreSource(MemoryStoreClient(self.model, "n1")), Timer.from_seed(1)
        )

    def put(self, key: str, **changes: object) -> None:
        entry = {**entry_fields("llm", f"10.0.0.{key[-1]}:80"), **changes}
        self.model.put(BACKENDS_TABLE, key, json.dumps(entry).encode())

    def state(self, key: str) -> BackendState | None:
        found = self.view.directory.backends.get(key)
        return found.state if found else None

    def epoch(self, key: str) -> int:
        membership = self.view.directory.backends[key].membership
        return membership.epoch if membership else 0

    async def settle(self) -> None:
        await asyncio.sleep(0.6)


def run(scenario: Callable[[Drill], Awaitable[None]]) -> None:
    async def whole() -> None:
        drill = Drill()
        drill.view.start()
        try:
            await scenario(drill)
        finally:
            await drill.view.close()

    run_in_virtual_time(whole())


def test_who_leaves_does_not_come_back_with_the_copy() -> None:
    async def scenario(drill: Drill) -> None:
        drill.put("i-1")
        copy = drill.model.copy()
        drill.put("i-1", state="draining")
        await drill.settle()
        drill.model.restore(copy)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert drill.state("i-1") is BackendState.DRAINING

    run(scenario)


def test_a_group_that_serves_outlasts_a_copy_without_it() -> None:
    async def scenario(drill: Drill) -> None:
        drill.put("i-1", group=place(3, "open"))
        drill.put("i-2")
        copy = drill.model.copy()
        drill.put("i-1", group=place(7, "open"))
        drill.put("i-2", group=place(8, "ready"))
        drill.put("i-3", group=place(9, "open"))
        await drill.settle()
        drill.model.restore(copy)
        for _ in range(18):
            await asyncio.sleep(0.1)
            assert [drill.epoch(f"i-{n}") for n in (1, 2, 3)] == [7, 8, 9]
        for n in (1, 2, 3):
            drill.put(f"i-{n}", group=place(6 + n, "closing"))
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert [drill.epoch(f"i-{n}") for n in (1, 2, 3)] == [7, 8, 9]

    run(scenario)


def test_who_does_not_write_again_counts_by_the_copy_after_the_grace() -> None:
    async def scenario(drill: Drill) -> None:
        drill.put("i-1", group=place(3, "open"))
        copy = drill.model.copy()
        drill.put("i-1", group=place(7, "open"))
        drill.put("i-2")
        await drill.settle()
        drill.model.restore(copy)
        await asyncio.sleep(GRACE_S + 0.8)
        assert drill.epoch("i-1") == 3
        assert drill.state("i-2") is None

    run(scenario)


def test_who_is_gone_does_not_come_back_with_the_copy_at_once() -> None:
    async def scenario(drill: Drill) -> None:
        drill.put("i-1")
        drill.put("i-2")
        await drill.settle()
        copy = drill.model.copy()
        drill.model.remove(BACKENDS_TABLE, "i-1")
        await drill.settle()
        drill.model.restore(copy)
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert drill.state("i-1") is None
        drill.model.remove(BACKENDS_TABLE, "i-1")
        await asyncio.sleep(GRACE_S)
        assert drill.state("i-1") is None

    run(scenario)


def test_news_that_come_with_the_return_count_at_once() -> None:
    """A copy may show what was written since: who leaves, a later start, a later
    group, a new backend server."""

    async def scenario(drill: Drill) -> None:
        drill.put("i-1")
        drill.put("i-2", born=5)
        drill.put("i-3", group=place(3, "open"))
        await drill.settle()
        copy = drill.model.copy()
        drill.put("i-1", slots=7)
        await drill.settle()
        drill.model.faults.is_down = True
        await asyncio.sleep(1.0)
        drill.model.restore(copy)
        drill.put("i-1", state="draining")
        drill.put("i-2", born=6)
        drill.put("i-3", group=place(4, "open"))
        drill.put("i-4")
        drill.model.faults.is_down = False
        await drill.settle()
        assert drill.state("i-1") is BackendState.DRAINING
        assert drill.state("i-2@6") is BackendState.READY
        assert drill.epoch("i-3") == 4
        assert drill.state("i-4") is BackendState.READY

    run(scenario)
