"""Crash rows reach the store in few calls, also after an outage."""

from __future__ import annotations

import asyncio

import looptime  # noqa: F401
import pytest

from fordhatch.core import Timer
from fordhatch.registry import SHARED_TABLE, CrashRecord, RunStage
from fordhatch.serving.crashes._crash_row_writer import (
    BATCH_PAUSE_S,
    MAX_PENDING_ROWS,
    CrashRowWriter,
)
from fordhatch_standins import MemoryStoreClient, StoreModel


class Store:
    def __init__(self) -> None:
        self.model = StoreModel()
        self.client = MemoryStoreClient(self.model, "n1")
        self.row_writer = CrashRowWriter(self.client, Timer.from_seed(1))

    def rows(self) -> list[str]:
        return [row.name[2] for row in self.model.page(SHARED_TABLE, "", 1000, "")]

    @property
    def writes(self) -> int:
        return self.client.calls[f"write {SHARED_TABLE}"]


def record(digest: str, backend: str = "x") -> CrashRecord:
    return CrashRecord(digest, backend, RunStage.BEGUN, "n1")


@pytest.mark.looptime
async def test_many_rows_are_written_in_few_calls() -> None:
    store = Store()
    for number in range(200):
        store.row_writer.put([record(f"d{number}")])
    await asyncio.sleep(10 * BATCH_PAUSE_S)
    assert len(store.rows()) == 200
    assert store.writes == 3


@pytest.mark.looptime
async def test_a_steady_stream_of_crashes_makes_ten_calls_a_second() -> None:
    store = Store()
    for number in range(500):
        store.row_writer.put([record(f"d{number}")])
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)
    assert len(store.rows()) == 500
    assert store.writes <= 52


@pytest.mark.looptime
async def test_rows_are_written_after_an_outage_of_the_store() -> None:
    store = Store()
    store.model.faults.is_down = True
    store.row_writer.put([record("a"), record("b")])
    await asyncio.sleep(5.0)
    store.row_writer.remove([("b", "x")])
    store.model.faults.is_down = False
    await asyncio.sleep(0.5)
    assert store.rows() == ["crash/a/x"]


@pytest.mark.looptime
async def test_a_written_row_can_be_removed() -> None:
    store = Store()
    store.row_writer.put([record("a"), record("b")])
    await asyncio.sleep(0.5)
    store.row_writer.remove([("a", "x")])
    await asyncio.sleep(0.5)
    assert store.rows() == ["crash/b/x"]


@pytest.mark.looptime
async def test_pending_rows_are_bounded() -> None:
    store = Store()
    store.model.faults.is_down = True
    for number in range(MAX_PENDING_ROWS + 20):
        store.row_writer.put([record(f"d{number}")])
    store.model.faults.is_down = False
    await asyncio.sleep(10.0)
    assert len(store.rows()) == MAX_PENDING_ROWS
    assert "crash/d0/x" not in store.rows()
