"""What a node believes of the store, on a virtual clock."""

from __future__ import annotations

import asyncio
import json

import pytest
from result import Err, Ok, Result

from fordhatch.adapter import (
    BACKENDS_TABLE,
    CONFIGURATION_KEY,
    NOTHING,
    OPERATOR_TABLE,
    Row,
    RowKey,
    StoreVersion,
)
from fordhatch.core import Failure, ResultCode, Timer
from fordhatch.registry import StoreSource, StoreView, TableUpdate
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel, backend_entry


def run(scenario) -> None:
    run_in_virtual_time(scenario())


def configuration(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def backend(**changes: object) -> bytes:
    return backend_entry("a", "10.0.0.1:80", **changes)


async def started(model: StoreModel) -> StoreView:
    client = MemoryStoreClient(model, "n1")
    view = StoreView.create(StoreSource(client), Timer.from_seed(1))
    view.start()
    await asyncio.sleep(0.1)
    return view


def test_a_configuration_is_in_force_within_milliseconds() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(4))
        await asyncio.sleep(0.05)
        assert view.configuration.version == 4
        await view.close()

    run(scenario)


def test_a_version_never_falls_in_the_life_of_a_process() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        for version in (8, 5):
            model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(version))
            await asyncio.sleep(0.05)
        assert view.configuration.version == 8
        await view.close()

    run(scenario)


def test_an_unreadable_configuration_leaves_the_one_before_in_force() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(4))
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, b"{")
        await asyncio.sleep(0.05)
        assert view.configuration.version == 4
        await view.close()

    run(scenario)


def test_age_counts_from_the_sending_of_the_last_answered_call() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        await asyncio.sleep(5)
        assert view.configuration_age_s() < 2.0
        model.faults.is_silent = True
        await asyncio.sleep(3)
        assert view.configuration_age_s() > 3.0
        model.faults.is_silent = False
        await asyncio.sleep(2)
        assert view.configuration_age_s() < 2.0
        await view.close()

    run(scenario)


def test_changes_in_a_forgotten_history_are_found_by_reading_whole() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        model.put(BACKENDS_TABLE, "i-1", backend())
        await asyncio.sleep(0.2)
        model.faults.mutes_watches = True
        model.remove(BACKENDS_TABLE, "i-1")
        model.put(BACKENDS_TABLE, "i-2", backend())
        await asyncio.sleep(0.5)
        model.forget_history()
        model.faults.mutes_watches = False
        await asyncio.sleep(0.3)
        assert set(view.directory.backends) == {"i-2"}
        await view.close()

    run(scenario)


def test_a_table_longer_than_a_page_is_read_whole() -> None:
    async def scenario() -> None:
        model = StoreModel()
        for index in range(1203):
            model.put(BACKENDS_TABLE, f"i-{index:05d}", backend())
        view = await started(model)
        assert len(view.directory.backends) == 1203
        await view.close()

    run(scenario)


@pytest.mark.parametrize("returns", [True, False])
def test_entries_that_lapsed_in_an_outage_get_two_seconds(returns) -> None:
    async def scenario() -> None:
        model = StoreModel()
        model.put(BACKENDS_TABLE, "i-1", backend())
        view = await started(model)
        model.faults.is_down = True
        await asyncio.sleep(3)
        model.remove(BACKENDS_TABLE, "i-1")
        model.faults.is_down = False
        await asyncio.sleep(1.5)
        assert "i-1" in view.directory.backends
        if returns:
            model.put(BACKENDS_TABLE, "i-1", backend())
        await asyncio.sleep(1.5)
        assert ("i-1" in view.directory.backends) is returns
        await view.close()

    run(scenario)


def test_a_removal_in_quiet_times_counts_at_once() -> None:
    async def scenario() -> None:
        model = StoreModel()
        model.put(BACKENDS_TABLE, "i-1", backend())
        view = await started(model)
        await asyncio.sleep(1)
        model.remove(BACKENDS_TABLE, "i-1")
        await asyncio.sleep(0.1)
        assert not view.directory.backends
        await view.close()

    run(scenario)


def test_a_malformed_entry_does_not_hide_the_others() -> None:
    async def scenario() -> None:
        model = StoreModel()
        model.put(BACKENDS_TABLE, "i-1", b"{}")
        model.put(BACKENDS_TABLE, "i-2", backend())
        view = await started(model)
        assert set(view.directory.backends) == {"i-2"}
        await view.close()

    run(scenario)


def at(number: int) -> StoreVersion:
    return StoreVersion(0, number)


def passed_on(
    version: int, *rows: Row, age_s: float = 0.2, steady_s: float = 60.0
) -> TableUpdate:
    return TableUpdate(rows, at(version), False, age_s, steady_s)


REMOVED = Row(RowKey(BACKENDS_TABLE, "i-1"), at(12), b"", is_removed=True)


async def fed_by_others() -> StoreView:
    """Return a view that other nodes keep up to date, with one backend server."""
    view = StoreView.create(
        StoreSource(MemoryStoreClient(StoreModel(), "n1")), Timer.from_seed(1)
    )
    entry = Row(RowKey(BACKENDS_TABLE, "i-1"), at(3), backend())
    now_s = view.timer.now_s()
    view.backends.take(TableUpdate([entry], at(10), True, 0.2, 60.0), now_s)
    return view


def test_knowledge_that_was_passed_on_slowly_is_no_outage() -> None:
    async def scenario() -> None:
        view = await fed_by_others()
        await asyncio.sleep(1.5)
        # The last answer took its time over two nodes; the store was never away.
        view.backends.take(passed_on(12, REMOVED), view.timer.now_s())
        assert not view.directory.backends

    run(scenario)


def test_an_outage_that_another_node_saw_counts_here_too() -> None:
    async def scenario() -> None:
        view = await fed_by_others()
        await asyncio.sleep(3)
        # The return comes without rows; the removal follows with the next answer.
        view.backends.take(passed_on(10, steady_s=0.1), view.timer.now_s())
        await asyncio.sleep(0.3)
        view.backends.take(passed_on(12, REMOVED, steady_s=0.4), view.timer.now_s())
        assert set(view.directory.backends) == {"i-1"}

    run(scenario)


def test_an_outage_long_ago_is_not_counted_again() -> None:
    async def scenario() -> None:
        view = await fed_by_others()
        await asyncio.sleep(3)
        view.backends.take(passed_on(10, steady_s=0.1), view.timer.now_s())
        await asyncio.sleep(1.4)
        view.backends.take(passed_on(12, REMOVED, steady_s=1.5), view.timer.now_s())
        assert not view.directory.backends

    run(scenario)


def test_a_node_whose_readers_failed_learns_no_outage_from_the_store() -> None:
    async def scenario() -> None:
        view = await fed_by_others()
        await asyncio.sleep(1.6)
        # Nobody answered meanwhile; the store does, and was never away.
        view.backends.take(TableUpdate([REMOVED], at(12), False), view.timer.now_s())
        assert not view.directory.backends

    run(scenario)


def test_a_node_that_found_others_stale_learns_the_outage_from_the_store() -> None:
    async def scenario() -> None:
        view = await fed_by_others()
        await asyncio.sleep(2.0)
        view.backends.found_stale()
        view.backends.take(TableUpdate([REMOVED], at(12), False), view.timer.now_s())
        assert set(view.directory.backends) == {"i-1"}

    run(scenario)


class ForgetfulSource:
    """A store that has no history of what it has just said."""

    def __init__(self) -> None:
        self.calls = 0

    async def update(
        self, table: str, after_version: StoreVersion, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        self.calls += 1
        await asyncio.sleep(0.004)
        if after_version != NOTHING:
            return Err(Failure.from_code(ResultCode.STORE_HISTORY_GONE))
        return Ok(TableUpdate([], at(5), is_whole=True))


def test_a_history_that_is_always_gone_is_not_asked_for_without_a_pause() -> None:
    async def scenario() -> None:
        source = ForgetfulSource()
        view = StoreView.create(source, Timer.from_seed(1))
        view.start()
        await asyncio.sleep(10.0)
        await view.close()
        # Three tables, two calls each, five times a second.
        assert source.calls <= 3 * 2 * 5 * 10
        assert view.configuration_age_s() < 1.0

    run(scenario)


def test_a_store_that_does_not_say_that_it_is_older_is_read_whole_in_the_end() -> None:
    """Its generation does not rise. What it says is not believed while its versions are
    below the known ones, and then nothing of it is missed."""

    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        copy = model.copy()
        for version in (4, 5, 6):
            model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(version))
        await asyncio.sleep(0.5)
        model.restore(copy)
        model.generation = 0
        before = model.calls
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(7))
        await asyncio.sleep(3.0)
        assert view.configuration.version == 6
        assert view.configuration_age_s() > 2.0
        assert model.calls - before <= 3 * 10 * 3
        for _ in range(9):
            model.put("others", "k", b"")
        await asyncio.sleep(0.5)
        assert view.configuration.version == 7
        await view.close()

    run(scenario)
