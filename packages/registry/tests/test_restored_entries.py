"""A node's view of backend servers after the store is restored from a backup."""

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
"""Time within which running backend servers have rewritten their entries."""


def place(epoch: int, state: str) -> dict[str, object]:
    return {"name": f"g.{epoch}", "epoch": epoch, "rank": 0, "state": state}


class Simulation:
    """A store, and a view of a node that follows it."""

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


def run(scenario: Callable[[Simulation], Awaitable[None]]) -> None:
    async def main() -> None:
        simulation = Simulation()
        simulation.view.start()
        try:
            await scenario(simulation)
        finally:
            await simulation.view.close()

    run_in_virtual_time(main())


def test_a_leaving_server_stays_draining_after_a_restore() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.put("i-1")
        backup = simulation.model.copy()
        simulation.put("i-1", state="draining")
        await simulation.settle()
        simulation.model.restore(backup)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert simulation.state("i-1") is BackendState.DRAINING

    run(scenario)


def test_a_serving_group_outlasts_a_backup_without_it() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.put("i-1", group=place(3, "open"))
        simulation.put("i-2")
        backup = simulation.model.copy()
        simulation.put("i-1", group=place(7, "open"))
        simulation.put("i-2", group=place(8, "ready"))
        simulation.put("i-3", group=place(9, "open"))
        await simulation.settle()
        simulation.model.restore(backup)
        for _ in range(18):
            await asyncio.sleep(0.1)
            assert [simulation.epoch(f"i-{n}") for n in (1, 2, 3)] == [7, 8, 9]
        for n in (1, 2, 3):
            simulation.put(f"i-{n}", group=place(6 + n, "closing"))
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert [simulation.epoch(f"i-{n}") for n in (1, 2, 3)] == [7, 8, 9]

    run(scenario)


def test_entries_that_are_not_rewritten_come_from_the_backup_after_the_grace() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.put("i-1", group=place(3, "open"))
        backup = simulation.model.copy()
        simulation.put("i-1", group=place(7, "open"))
        simulation.put("i-2")
        await simulation.settle()
        simulation.model.restore(backup)
        await asyncio.sleep(GRACE_S + 0.8)
        assert simulation.epoch("i-1") == 3
        assert simulation.state("i-2") is None

    run(scenario)


def test_a_removed_server_does_not_reappear_with_the_backup_at_once() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.put("i-1")
        simulation.put("i-2")
        await simulation.settle()
        backup = simulation.model.copy()
        simulation.model.remove(BACKENDS_TABLE, "i-1")
        await simulation.settle()
        simulation.model.restore(backup)
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert simulation.state("i-1") is None
        simulation.model.remove(BACKENDS_TABLE, "i-1")
        await asyncio.sleep(GRACE_S)
        assert simulation.state("i-1") is None

    run(scenario)


def test_newer_entries_in_a_restored_store_are_applied_at_once() -> None:
    """A restored store may also contain rows that were written since: a leaving
    server, a later start, a later group, a new backend server."""

    async def scenario(simulation: Simulation) -> None:
        simulation.put("i-1")
        simulation.put("i-2", born=5)
        simulation.put("i-3", group=place(3, "open"))
        await simulation.settle()
        backup = simulation.model.copy()
        simulation.put("i-1", slots=7)
        await simulation.settle()
        simulation.model.faults.is_down = True
        await asyncio.sleep(1.0)
        simulation.model.restore(backup)
        simulation.put("i-1", state="draining")
        simulation.put("i-2", born=6)
        simulation.put("i-3", group=place(4, "open"))
        simulation.put("i-4")
        simulation.model.faults.is_down = False
        await simulation.settle()
        assert simulation.state("i-1") is BackendState.DRAINING
        assert simulation.state("i-2@6") is BackendState.READY
        assert simulation.epoch("i-3") == 4
        assert simulation.state("i-4") is BackendState.READY

    run(scenario)
