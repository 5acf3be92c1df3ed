"""Operators evacuate and restore zones; every change is in the audit trail once."""

from __future__ import annotations

from test_apply import ApplierNode, run_scenario, wait_until_active

from fordhatch.adapter import evacuation_key
from fordhatch.config import (
    DECLARED_TABLE,
    Applied,
    ZoneOperations,
    read_audit,
    read_zone_changes,
)
from fordhatch.core import Ran, ResultCode

ROW = (DECLARED_TABLE, "", evacuation_key("z-1"))


def operations(node: ApplierNode) -> ZoneOperations:
    return ZoneOperations(node.store, node.applier.timer)


async def outcomes(node: ApplierNode) -> list[str]:
    records, _ = (await read_audit(node.store, "", 100)).unwrap()
    return [r.outcome for r in records if r.changes and r.changes[0].startswith("zone")]


def test_a_zone_is_evacuated_and_restored_on_every_node() -> None:
    async def scenario(model, nodes) -> None:
        await wait_until_active(nodes, 1)
        for is_evacuated in (True, False):
            changed = await operations(nodes[0]).change(
                "z-1", "maria", is_evacuated=is_evacuated
            )
            assert changed.unwrap().operator == "maria"
            assert (ROW in model.rows) is is_evacuated
            await nodes[1].applier.timer.sleep(0.1)
            for node in nodes:
                assert node.view.evacuations.is_evacuated("z-1") is is_evacuated
            latest = (await read_zone_changes(nodes[0].store)).unwrap()["z-1"]
            assert (latest.is_evacuated, latest.operator) == (is_evacuated, "maria")
        assert await outcomes(nodes[0]) == ["evacuated", "restored"]

    run_scenario(scenario)


def test_a_repetition_changes_nothing_and_names_the_first_operator() -> None:
    async def scenario(model, nodes) -> None:
        first = await operations(nodes[0]).change("z-1", "maria", is_evacuated=True)
        before = dict(model.rows)
        again = await operations(nodes[1]).change("z-1", "juan", is_evacuated=True)
        assert again == first
        assert model.rows == before

    run_scenario(scenario)


def test_a_lost_answer_is_read_back() -> None:
    async def scenario(model, nodes) -> None:
        model.faults.lost_answers = 1
        done = await operations(nodes[0]).change("z-1", "maria", is_evacuated=True)
        assert done.is_ok()
        assert await outcomes(nodes[0]) == ["evacuated"]

    run_scenario(scenario)


def test_without_the_store_nothing_changes() -> None:
    async def scenario(model, nodes) -> None:
        model.faults.is_down = True
        done = await operations(nodes[0]).change("z-1", "maria", is_evacuated=True)
        assert done.unwrap_err().ran is Ran.NO
        assert ROW not in model.rows

    run_scenario(scenario)


def test_a_malformed_name_is_refused() -> None:
    async def scenario(model, nodes) -> None:
        for zone in ("", "z" * 201, "z\n"):
            done = await operations(nodes[0]).change(zone, "maria", is_evacuated=True)
            assert done.unwrap_err().code is ResultCode.BAD_REQUEST

    run_scenario(scenario)


def test_files_are_applied_while_a_zone_is_evacuated() -> None:
    """The zone's row comes before the file's row in their table."""

    async def scenario(model, nodes) -> None:
        await operations(nodes[0]).change("z-1", "maria", is_evacuated=True)
        assert isinstance(await nodes[0].apply(1, 1, "a"), Applied)
        await wait_until_active(nodes, 2)
        assert nodes[2].view.evacuations.zones() == {"z-1"}

    run_scenario(scenario)


def test_a_row_that_someone_else_wrote_has_no_known_time() -> None:
    async def scenario(model, nodes) -> None:
        model.put(DECLARED_TABLE, evacuation_key("z-1"), b"\xff")
        found = await operations(nodes[0]).change("z-1", "maria", is_evacuated=True)
        assert (found.unwrap().operator, found.unwrap().at_s) == ("", 0.0)

    run_scenario(scenario)
