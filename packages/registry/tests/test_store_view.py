"""A node's view of the store, on a virtual clock."""

from __future__ import annotations

import asyncio
import json

import pytest
from result import Err, Ok, Result

from fordhatch.adapter import (
    BACKENDS_TABLE,
    BEFORE_ALL_VERSIONS,
    CONFIGURATION_KEY,
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


def test_a_configuration_is_active_within_milliseconds() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(4))
        await asyncio.sleep(0.05)
        assert view.configuration.version == 4
        await view.close()

    run(scenario)


def test_the_version_never_decreases_while_a_process_runs() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        for version in (8, 5):
            model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(version))
            await asyncio.sleep(0.05)
        assert view.configuration.version == 8
        await view.close()

    run(scenario)


def test_a_malformed_configuration_leaves_the_previous_one_active() -> None:
    async def scenario() -> None:
        model = StoreModel()
        view = await started(model)
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration(4))
        model.put(OPERATOR_TABLE, CONFIGURATION_KEY, b"{")
        await asyncio.sleep(0.05)
        assert view.configuration.version == 4
        await view.close()

    run(scenario)


def test_age_counts_from_when_the_last_answered_call_was_sent() -> None:
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


def test_changes_in_a_forgotten_history_are_found_by_a_full_read() -> None:
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


def test_a_table_longer_than_a_page_is_read_completely() -> None:
    async def scenario() -> None:
        model = StoreModel()
        for index in range(1203):
            model.put(BACKENDS_TABLE, f"i-{index:05d}", backend())
        view = await started(model)
        assert len(view.directory.backends) == 1203
        await view.close()

    run(scenario)


@pytest.mark.parametrize("reappears", [True, False])
def test_entries_that_lapsed_in_an_outage_have_two_seconds_of_grace(reappears) -> None:
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
        if reappears:
            model.put(BACKENDS_TABLE, "i-1", backend())
        await asyncio.sleep(1.5)
        assert ("i-1" in view.directory.backends) is reappears
        await view.close()

    run(scenario)


def test_a_removal_without_an_outage_is_applied_at_once() -> None:
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


def relayed(
    version: int, *rows: Row, age_s: float = 0.2, steady_s: float = 60.0
) -> TableUpdate:
    return TableUpdate(rows, at(version), False, age_s, steady_s)


REMOVED = Row(RowKey(BACKENDS_TABLE, "i-1"), at(12), b"", is_removed=True)


async def relay_fed_view() -> StoreView:
    """Return a view that is updated by other nodes, with one backend server."""
    view = StoreView.create(
        StoreSource(MemoryStoreClient(StoreModel(), "n1")), Timer.from_seed(1)
    )
    entry = Row(RowKey(BACKENDS_TABLE, "i-1"), at(3), backend())
    now_s = view.timer.now_s()
    view.backends.apply(TableUpdate([entry], at(10), True, 0.2, 60.0), now_s)
    return view


def test_a_slowly_relayed_update_is_no_outage() -> None:
    async def scenario() -> None:
        view = await relay_fed_view()
        await asyncio.sleep(1.5)
        # The last update was slow over two relays; the store was never unavailable.
        view.backends.apply(relayed(12, REMOVED), view.timer.now_s())
        assert not view.directory.backends

    run(scenario)


def test_an_outage_seen_by_another_node_counts_here_too() -> None:
    async def scenario() -> None:
        view = await relay_fed_view()
        await asyncio.sleep(3)
        # The end of the outage comes without rows; the next update has the removal.
        view.backends.apply(relayed(10, steady_s=0.1), view.timer.now_s())
        await asyncio.sleep(0.3)
        view.backends.apply(relayed(12, REMOVED, steady_s=0.4), view.timer.now_s())
        assert set(view.directory.backends) == {"i-1"}

    run(scenario)


def test_an_outage_long_ago_is_not_counted_again() -> None:
    async def scenario() -> None:
        view = await relay_fed_view()
        await asyncio.sleep(3)
        view.backends.apply(relayed(10, steady_s=0.1), view.timer.now_s())
        await asyncio.sleep(1.4)
        view.backends.apply(relayed(12, REMOVED, steady_s=1.5), view.timer.now_s())
        assert not view.directory.backends

    run(scenario)


def test_a_failure_of_the_readers_is_no_outage_of_the_store() -> None:
    async def scenario() -> None:
        view = await relay_fed_view()
        await asyncio.sleep(1.6)
        # No reader answered meanwhile. The store does, and was never unavailable.
        view.backends.apply(TableUpdate([REMOVED], at(12), False), view.timer.now_s())
        assert not view.directory.backends

    run(scenario)


def test_a_node_with_stale_readers_finds_the_outage_at_the_store() -> None:
    async def scenario() -> None:
        view = await relay_fed_view()
        await asyncio.sleep(2.0)
        view.backends.record_stale_peer()
        view.backends.apply(TableUpdate([REMOVED], at(12), False), view.timer.now_s())
        assert set(view.directory.backends) == {"i-1"}

    run(scenario)


class SourceWithoutHistory:
    """A store that keeps no history of its changes."""

    def __init__(self) -> None:
        self.calls = 0

    async def update(
        self, table: str, after_version: StoreVersion, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        self.calls += 1
        await asyncio.sleep(0.004)
        if after_version != BEFORE_ALL_VERSIONS:
            return Err(Failure.from_code(ResultCode.STORE_HISTORY_GONE))
        return Ok(TableUpdate([], at(5), is_whole=True))


def test_a_missing_history_is_not_requested_without_a_pause() -> None:
    async def scenario() -> None:
        source = SourceWithoutHistory()
        view = StoreView.create(source, Timer.from_seed(1))
        view.start()
        await asyncio.sleep(10.0)
        await view.close()
        # Three tables, two calls each, five times a second.
        assert source.calls <= 3 * 2 * 5 * 10
        assert view.configuration_age_s() < 1.0

    run(scenario)


def test_a_restored_store_of_the_same_generation_is_fully_read_in_the_end() -> None:
    """The store is restored from a backup, but its generation does not rise. Its rows
    are ignored while its versions are below the known ones. Once they are above, no
    change is missed."""

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
