from __future__ import annotations

import asyncio
import random
from collections import Counter

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st

from fordhatch.core import Ran, ResultCode, Timer
from fordhatch.routing import FairQueue, GroupDesk, RetryBudget, Waiting


def waiting(workspace: str, weight: float = 1.0, priority: int = 5) -> Waiting:
    loop = asyncio.new_event_loop()
    turn = loop.create_future()
    loop.close()
    return Waiting(workspace, weight, priority, turn)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9)), max_size=40))
def test_everybody_in_the_queue_gets_one_turn(arrivals) -> None:
    queue = FairQueue(100)
    entries = [waiting(name, 1.0, priority) for name, priority in arrivals]
    assert all(queue.push(entry) for entry in entries)
    served = [queue.pop() for _ in entries]
    assert {id(e) for e in served} == {id(e) for e in entries}
    assert queue.pop() is None
    assert len(queue) == 0


def test_shares_follow_the_weights_under_contention() -> None:
    queue = FairQueue(10_000)
    for _ in range(400):
        queue.push(waiting("large", 3.0))
        queue.push(waiting("small", 1.0))
    served = Counter(queue.pop().workspace for _ in range(200))
    assert 145 <= served["large"] <= 155


def test_idle_workspace_saves_up_nothing() -> None:
    queue = FairQueue(10_000)
    for _ in range(100):
        queue.push(waiting("busy"))
    for _ in range(90):
        queue.pop()
    for _ in range(20):
        queue.push(waiting("late"))
    served = [queue.pop().workspace for _ in range(10)]
    assert 4 <= served.count("late") <= 6


def test_full_queue_pushes_out_the_workspace_over_its_share() -> None:
    queue = FairQueue(4)
    greedy = [waiting("greedy") for _ in range(4)]
    for entry in greedy:
        queue.push(entry)
    assert queue.push(waiting("modest"))
    assert greedy[-1].turn.result() is False
    assert not queue.push(waiting("greedy"))


def test_priority_goes_first_within_a_workspace() -> None:
    queue = FairQueue(10)
    low, high = waiting("a", priority=1), waiting("a", priority=9)
    queue.push(low)
    queue.push(high)
    assert [queue.pop(), queue.pop()] == [high, low]


def test_slots_are_never_lost_or_doubled() -> None:
    """Random arrivals, deadlines and cancellations against a counter."""
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    rng = random.Random(7)

    async def scenario() -> None:
        desk = GroupDesk.from_limits(3, 5, 2.0, Timer.from_seed(1))
        inside = 0
        outcomes: Counter[str] = Counter()

        async def work() -> None:
            nonlocal inside
            entered = await desk.enter(rng.choice("ab"), 1.0, 5, rng.uniform(0.1, 3.0))
            if entered.is_err():
                failure = entered.unwrap_err()
                assert (failure.code, failure.ran) == (ResultCode.OVERLOADED, Ran.NO)
                outcomes["refused"] += 1
                return
            inside += 1
            assert inside <= desk.capacity
            started_s = loop.time()
            try:
                await asyncio.sleep(rng.uniform(0.05, 1.0))
            finally:
                inside -= 1
                desk.leave(loop.time() - started_s)
            outcomes["served"] += 1

        tasks = []
        for _ in range(600):
            task = asyncio.create_task(work())
            tasks.append(task)
            if rng.random() < 0.2:
                loop.call_later(rng.uniform(0.0, 2.0), task.cancel)
            await asyncio.sleep(rng.uniform(0.0, 0.3))
        await asyncio.gather(*tasks, return_exceptions=True)
        assert desk.running == 0
        assert len(desk.queue) == 0
        assert min(outcomes["served"], outcomes["refused"]) > 20

    loop.run_until_complete(scenario())
    loop.close()


def test_full_desk_refuses_without_waiting() -> None:
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)

    async def scenario() -> None:
        desk = GroupDesk.from_limits(1, 1, 60.0, Timer.from_seed(1))
        assert (await desk.enter("a", 1.0, 5, 60.0)).is_ok()
        queued = asyncio.create_task(desk.enter("a", 1.0, 5, 60.0))
        await asyncio.sleep(0)
        failure = (await desk.enter("a", 1.0, 5, 60.0)).unwrap_err()
        assert failure.code is ResultCode.OVERLOADED
        assert loop.time() < 0.1
        desk.leave(1.0)
        assert (await queued).is_ok()

    loop.run_until_complete(scenario())
    loop.close()


def test_retries_are_a_share_of_the_requests() -> None:
    budget = RetryBudget(0.2)
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    assert 200 <= spent <= 215
