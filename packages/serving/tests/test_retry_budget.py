"""One node's part of the retry budget."""

from __future__ import annotations

import asyncio
import math

import attrs
import pytest
from planning_site import BOUNDS
from result import Ok

from fordhatch.adapter import decode_settings
from fordhatch.core import Timer
from fordhatch.serving import RetryBudget, RetryLoan
from fordhatch.serving._request import Attempt, ServedRequest
from fordhatch.serving.retries._slack_pool import POOL_TABLE
from fordhatch_lab import run_in_virtual_time
from fordhatch_standins import MemoryStoreClient, StoreModel

SERVICE = "s"
SLACK = 136.0
POOL = 66
SETTLED_S = 25.0


@attrs.define
class Fields:
    """The fields of a request that a log line names."""

    request_id: str = "r1"


@attrs.define
class Request:
    """What the budget needs to know of a request."""

    service: str = SERVICE
    fields: Fields = attrs.field(factory=Fields)
    retry: object = None
    due_s: float = math.inf
    attempts: list[Attempt] = attrs.field(factory=list)
    attempt = ServedRequest.attempt

    def left_s(self, now_s: float) -> float:
        return self.due_s - now_s


@attrs.define
class Nodes:
    """The budgets of some nodes that look at the same list once a second."""

    model: StoreModel = attrs.field(factory=StoreModel)
    timer: Timer = attrs.field(factory=lambda: Timer.from_seed(1))
    budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def start(self, name: str, *, is_first_start: bool = False) -> RetryBudget:
        self.budgets[name] = RetryBudget.from_bounds(
            name,
            self.timer,
            decode_settings(BOUNDS).bounds,
            MemoryStoreClient(self.model, name),
            is_first_start=is_first_start,
        )
        self.budgets[name].is_pool_open = True
        return self.budgets[name]

    async def run(self, for_s: float) -> None:
        for _ in range(round(for_s)):
            for budget in self.budgets.values():
                budget.observe_nodes(set(self.budgets), self.timer.now_s())
            await asyncio.sleep(1.0)


class UnnamedStore(MemoryStoreClient):
    """A store whose answers do not name its generation."""

    async def read(self, *args, **options):
        page = await super().read(*args, **options)
        return Ok(attrs.evolve(page.unwrap(), is_generation_named=False))


async def spend(budget: RetryBudget) -> int:
    """Use all retries that are left; return how many there were."""
    count = 0
    while await budget.acquire(Request()):
        count += 1
    return count


def test_nodes_together_stay_within_the_budget() -> None:
    async def scenario() -> int:
        nodes = Nodes()
        for number in range(9):
            nodes.start(f"n{number}", is_first_start=True)
        await nodes.run(SETTLED_S)
        return sum([await spend(b) for b in nodes.budgets.values()])

    assert 0.9 * SLACK <= run_in_virtual_time(scenario()) <= SLACK


# Guards against a start that uses a part of the slack which an earlier start of the
# same node has used within the window.
@pytest.mark.parametrize("restarts", [1, 2, 8])
def test_starts_of_all_nodes_in_series_use_the_slack_once(restarts) -> None:
    async def scenario() -> int:
        nodes, spent = Nodes(), 0
        for number in range(9):
            nodes.start(f"n{number}", is_first_start=True)
        await nodes.run(SETTLED_S)
        for _ in range(restarts + 1):
            spent += sum([await spend(b) for b in nodes.budgets.values()])
            for name in list(nodes.budgets):
                nodes.start(name)
            await nodes.run(1.0)
        return spent

    assert 0.9 * SLACK <= run_in_virtual_time(scenario()) <= SLACK


# Guards against starts that have nothing for retries until they know the other nodes.
def test_starts_of_all_nodes_take_what_is_left_in_the_store() -> None:
    async def scenario() -> int:
        nodes = Nodes()
        for number in range(9):
            nodes.start(f"n{number}", is_first_start=True)
        await nodes.run(SETTLED_S)
        await nodes.budgets["n0"].pool.prepare(SERVICE, nodes.budgets["n0"].terms)
        for name in list(nodes.budgets):
            nodes.start(name)
        return sum([await spend(b) for b in nodes.budgets.values()])

    assert run_in_virtual_time(scenario()) == POOL


def test_the_slack_is_renewed_after_its_window() -> None:
    async def scenario() -> list[int]:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        spent = [await spend(one)]
        await nodes.run(9.0)
        spent.append(await spend(one))
        await nodes.run(3.0)
        return [*spent, await spend(one)]

    first, second, third = run_in_virtual_time(scenario())
    assert first >= 0.9 * SLACK
    assert second == 0
    assert third == first


def test_services_have_budgets_of_their_own() -> None:
    async def scenario() -> tuple[int, bool]:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        return await spend(one), await one.acquire(Request("other"))

    spent, is_left = run_in_virtual_time(scenario())
    assert spent > 0
    assert is_left


def test_a_retry_that_was_not_sent_is_given_back() -> None:
    async def scenario() -> tuple[int, int]:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        request = Request()
        before = one.state(SERVICE).left
        assert await one.acquire(request)
        with request.attempt(None, lambda *_: None):
            pass
        return before, one.state(SERVICE).left

    before, after = run_in_virtual_time(scenario())
    assert after == before


# Guards against retries that were decided before the process stood still, and arrive
# with those of a later window.
def test_a_retry_whose_connection_opens_late_is_checked_again() -> None:
    async def scenario() -> tuple[bool, bool]:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        request, late = Request(), Request()
        assert await one.acquire(request)
        with request.attempt(None, lambda *_: None) as attempt:
            at_once = attempt.recheck(None) is None
            attempt.record_unsent()
        assert await one.acquire(late)
        await spend(one)
        await asyncio.sleep(5.0)
        with late.attempt(None, lambda *_: None) as attempt:
            return at_once, attempt.recheck(None) is None

    assert run_in_virtual_time(scenario()) == (True, False)


# Guards against credit for requests that callers sent while the process stood still.
def test_requests_read_right_after_a_halt_earn_nothing() -> None:
    async def scenario() -> list[int]:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        await asyncio.sleep(5.0)
        for _ in range(100):
            one.count_first(SERVICE)
        counted = [one.state(SERVICE).requests]
        await nodes.run(1.0)
        one.count_first(SERVICE)
        return [*counted, one.state(SERVICE).requests]

    assert run_in_virtual_time(scenario()) == [0, 1]


def test_a_node_keeps_what_it_needs_itself() -> None:
    async def scenario() -> tuple[RetryLoan, RetryLoan]:
        nodes = Nodes()
        idle, busy = (nodes.start(n, is_first_start=True) for n in ("n1", "n2"))
        await nodes.run(SETTLED_S)
        for _ in range(20):
            await busy.acquire(Request())
        return idle.lend(SERVICE, 100), busy.lend(SERVICE, 100)

    idle, busy = run_in_virtual_time(scenario())
    assert idle.count == 33
    assert busy.count == 0
    assert idle.again_s >= 1.0


def test_a_start_that_knows_nobody_lends_nothing() -> None:
    async def scenario() -> RetryLoan:
        return Nodes().start("n1").lend(SERVICE, 100)

    assert run_in_virtual_time(scenario()).count == 0


# Guards against a store that was restored from an older copy and has forgotten what
# was taken from it.
@pytest.mark.parametrize("has_row", [False, True])
def test_nothing_is_taken_from_a_restored_store_for_a_window(has_row) -> None:
    async def scenario() -> list[int]:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        if has_row:
            await one.pool.prepare(SERVICE, one.terms)
        copy = nodes.model.copy()
        spent = [await spend(one)]
        nodes.model.restore(copy)
        await nodes.run(1.0)
        spent.append(await spend(one))
        start = nodes.start("n1")
        spent.append(await spend(start))
        await nodes.run(13.0)
        return [*spent, await spend(start)]

    first, second, third, fourth = run_in_virtual_time(scenario())
    assert first >= 0.9 * SLACK
    assert (second, third) == (0, 0)
    assert fourth == POOL


# Guards against a young site that refuses its first retries: no node has run as long
# as a start must know the others, and nothing has been taken from the store.
def test_the_first_starts_take_retries_at_once() -> None:
    async def scenario() -> int:
        nodes = Nodes()
        for number in range(3):
            nodes.start(f"n{number}")
        await nodes.run(1.0)
        return sum([await spend(b) for b in nodes.budgets.values()])

    assert run_in_virtual_time(scenario()) == POOL


# Guards against a grant on the word of a store that was restored, or may have been.
@pytest.mark.parametrize("is_named", [False, True])
def test_a_start_doubts_a_missing_row_unless_the_store_was_never_restored(
    is_named,
) -> None:
    async def scenario() -> int:
        nodes = Nodes()
        one = nodes.start("n1")
        if is_named:
            nodes.model.restore(nodes.model.copy())
        else:
            one.pool.store = UnnamedStore(nodes.model, "n1")
        await nodes.run(1.0)
        return await spend(one)

    assert run_in_virtual_time(scenario()) == 0


# Guards against starts that read the same row and take the same retries.
def test_starts_that_take_at_the_same_time_share_what_is_there() -> None:
    async def scenario() -> int:
        nodes = Nodes()
        for number in range(5):
            nodes.start(f"n{number}", is_first_start=True)
        spent = await asyncio.gather(*(spend(b) for b in nodes.budgets.values()))
        return sum(spent)

    assert 0 < run_in_virtual_time(scenario()) <= POOL


MALFORMED_ROWS = [
    b"{",
    b"[]",
    b"\xff",
    b'{"generation": 0, "grants": [["x", 1]]}',
    b'{"generation": 7, "grants": []}',
]


@pytest.mark.parametrize("value", MALFORMED_ROWS)
def test_an_unreadable_row_grants_nothing_for_a_window(value) -> None:
    async def scenario() -> list[int]:
        nodes = Nodes()
        nodes.model.put(POOL_TABLE, SERVICE, value)
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(2.0)
        return [await spend(one)]

    assert run_in_virtual_time(scenario()) == [0]


# Guards against a malformed row that stays, so that no start ever takes from it.
@pytest.mark.parametrize("value", MALFORMED_ROWS)
def test_a_malformed_row_is_written_anew_and_opens_after_a_window(value) -> None:
    async def scenario() -> list[int]:
        nodes = Nodes()
        nodes.model.put(POOL_TABLE, SERVICE, value)
        spent = [await spend(nodes.start("n1"))]
        await nodes.run(5.0)
        spent.append(await spend(nodes.start("n2")))
        await nodes.run(8.0)
        return [*spent, await spend(nodes.start("n3"))]

    assert run_in_virtual_time(scenario()) == [0, 0, POOL]


def test_without_the_store_nodes_keep_their_own_part() -> None:
    async def scenario() -> int:
        nodes = Nodes()
        one = nodes.start("n1", is_first_start=True)
        await nodes.run(SETTLED_S)
        nodes.model.faults.is_down = True
        return await spend(one)

    assert run_in_virtual_time(scenario()) == POOL
