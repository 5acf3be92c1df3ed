"""Takeover of the planner's lease, and polls of the lease by starting nodes."""

from __future__ import annotations

import asyncio

from planning_site import MemoryStoreClient, StoreModel

from fordhatch.core import TaskSet, Timer
from fordhatch.placement import LeaseHolderStatus, PlannerLease
from fordhatch_lab import run_in_virtual_time

NODES = [f"n{index:02d}" for index in range(40)]


def create_lease(
    name: str, store: StoreModel
) -> tuple[PlannerLease, MemoryStoreClient]:
    client = MemoryStoreClient(store, name)

    async def query_holder(holder: str) -> LeaseHolderStatus | None:
        return None

    lease = PlannerLease(
        name,
        client,
        Timer.from_seed(name),
        lambda: NODES,
        lambda: False,
        query_holder,
    )
    return lease, client


def test_a_low_ranked_node_that_takes_over_keeps_the_lease() -> None:
    async def scenario() -> None:
        store, tasks = StoreModel(), TaskSet()
        lease, _ = create_lease("n05", store)
        tasks.spawn(lease.run(), "lease")
        await lease.until_held()
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert lease.is_held()
        await tasks.close()

    run_in_virtual_time(scenario())


def test_of_many_nodes_that_start_at_once_few_poll_the_lease() -> None:
    async def scenario() -> None:
        store, tasks = StoreModel(), TaskSet()
        leases = [create_lease(name, store) for name in NODES]
        for lease, _ in leases:
            tasks.spawn(lease.run(), "lease")
        await asyncio.sleep(1.0)
        assert any(lease.is_held() for lease, _ in leases)
        polls = sum(c.calls["read fordhatch-lease"] for _, c in leases)
        assert polls <= 3 * 8
        await tasks.close()

    run_in_virtual_time(scenario())


def test_another_node_takes_over_if_the_first_nodes_are_missing() -> None:
    async def scenario() -> None:
        store, tasks = StoreModel(), TaskSet()
        leases = [create_lease(name, store)[0] for name in NODES[10:]]
        for lease in leases:
            tasks.spawn(lease.run(), "lease")
        await asyncio.sleep(10.0)
        assert sum(lease.is_held() for lease in leases) == 1
        await tasks.close()

    run_in_virtual_time(scenario())
