"""The planner's lease while the store comes back from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from planning_site import MemoryStoreClient, Site, StoreModel, play

from fordhatch.core import TaskSet, Timer
from fordhatch.placement import PlannerLease
from fordhatch.placement._planner_lease import LEASE_ROW, LEASE_S
from fordhatch_lab import run_in_virtual_time

LOST_RENEWALS = 8
"""Renewals of the lease that the copy does not have."""


class Leases:
    """Nodes that would plan, and the store between them."""

    def __init__(self, *names: str) -> None:
        self.model = StoreModel()
        self.clients = {n: MemoryStoreClient(self.model, n) for n in names}
        self.leases = {
            n: PlannerLease(n, c, Timer.from_seed(n), lambda: set(names), lambda: False)
            for n, c in self.clients.items()
        }
        self.terms: list[tuple[str, int, int]] = []
        self._tasks = TaskSet()

    def begin(self, name: str) -> None:
        self._tasks.spawn(self.leases[name].run(), name)

    def freeze(self, name: str) -> None:
        """No call of a node ends from now on; its clock goes on."""
        self.clients[name].is_frozen = True

    def holders(self) -> list[str]:
        return [n for n, lease in self.leases.items() if lease.is_held()]

    def row_version(self) -> int:
        return self.model.rows[LEASE_ROW.table, "", LEASE_ROW.key].version

    async def watch(self, duration_s: float) -> None:
        """Let time pass; nobody holds the lease beside another one, and tokens rise."""
        end_s = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < end_s:
            holders = self.holders()
            assert len(holders) <= 1, holders
            for name in holders:
                lease = self.leases[name]
                term = name, lease.fencing_token, lease.epoch_base
                if term not in self.terms:
                    self.terms.append(term)
            await asyncio.sleep(0.01)
        tokens = [token for _, token, _ in self.terms]
        bases = [base for _, _, base in self.terms]
        assert tokens == sorted(tokens)
        assert bases == sorted(bases)

    async def close(self) -> None:
        await self._tasks.close()


def run(scenario: Callable[[Leases], Awaitable[None]]) -> None:
    async def whole() -> None:
        leases = Leases("n0", "n1")
        try:
            await scenario(leases)
        finally:
            await leases.close()

    run_in_virtual_time(whole())


def test_tokens_and_epochs_rise_over_a_return() -> None:
    async def scenario(leases: Leases) -> None:
        leases.begin("n0")
        await leases.watch(1.0)
        copy = leases.model.copy()
        await leases.watch(4.0)
        leases.model.faults.is_down = True
        await leases.watch(2.0)
        leases.model.restore(copy)
        leases.model.faults.is_down = False
        leases.begin("n1")
        await leases.watch(6.0)
        assert leases.holders()

    run(scenario)


def test_a_short_return_leaves_the_planner_where_it_is() -> None:
    async def scenario(leases: Leases) -> None:
        for name in leases.leases:
            leases.begin(name)
        await leases.watch(3.0)
        (holder,) = leases.holders()
        copy = leases.model.copy()
        await leases.watch(2.0)
        leases.model.restore(copy)
        await leases.watch(1.0)
        for _ in range(30):
            await leases.watch(0.1)
            assert leases.holders() == [holder]

    run(scenario)


def test_a_number_given_out_twice_makes_no_second_holder() -> None:
    """Pattern: another holder's row has the number that this one knows, and its
    renewal finds that the store has come back."""

    async def scenario(leases: Leases) -> None:
        first = leases.leases["n0"]
        leases.begin("n0")
        await leases.watch(1.0)
        copy = leases.model.copy()
        await leases.watch(0.45 * LOST_RENEWALS)
        number = first.version.number
        leases.model.restore(copy)
        while leases.model.version < number:
            value = b'{"holder": "n9", "generation": 1}'
            leases.model.put(LEASE_ROW.table, LEASE_ROW.key, value)
        while leases.row_version() == number:
            await leases.watch(0.005)
        await leases.watch(0.05)
        assert not first.is_held()
        await leases.watch(LEASE_S - 0.1)
        assert not first.is_held()

    run(scenario)


def test_a_renewal_that_is_done_after_the_return_makes_no_second_holder() -> None:
    """Pattern: as before, but the renewal was sent before the return, and is done
    seconds later under a number that was given out again."""

    async def scenario(leases: Leases) -> None:
        first, second = leases.leases["n0"], leases.leases["n1"]
        leases.begin("n0")
        await leases.watch(1.0)
        copy = leases.model.copy()
        await leases.watch(0.45 * LOST_RENEWALS)
        number = first.version.number
        leases.model.faults.late_writes = 1
        leases.model.faults.late_write_s = 2 * LEASE_S
        while leases.model.faults.late_writes:
            await leases.watch(0.01)
        leases.freeze("n0")
        leases.model.restore(copy)
        leases.begin("n1")
        while not second.is_held():
            await leases.watch(0.01)
        while leases.model.version < number - 1:
            leases.model.put("others", "k", b"")
        version = second.version
        while second.version == version:
            await leases.watch(0.005)
        assert leases.row_version() == number
        leases.clients["n0"].is_frozen = False
        await leases.watch(6.0)
        assert leases.holders()

    run(scenario)


def test_a_copy_without_a_holder_is_waited_out() -> None:
    """Whoever held the lease, and was lost from it, may still go by its own clock."""

    async def scenario(leases: Leases) -> None:
        copy = leases.model.copy()
        leases.begin("n0")
        await leases.watch(2.0)
        leases.freeze("n0")
        leases.model.restore(copy)
        leases.begin("n1")
        await leases.watch(4.0)
        assert leases.holders() == ["n1"]

    run(scenario)


def test_groups_outlast_a_return_and_a_new_planner() -> None:
    """None is taken apart or formed twice because the store forgot it."""

    async def scenario(site: Site) -> None:
        for name in ("n0", "n1"):
            site.add_node(name, is_first_start=True)
        for _ in range(8):
            site.fleet.add("d0")
        copy_at_start = site.store.copy()
        await site.until(lambda: site.working() == 3, 40.0)
        epochs = {e.place.epoch for e in site.fleet.engines.values()}
        site.store.faults.is_down = True
        await site.watch(2.0)
        lost = site.store.restore(copy_at_start)
        site.store.faults.is_down = False
        site.store.write_again(lost, 1.8, site.rng)
        await site.watch(12.0)
        assert {e.place.epoch for e in site.fleet.engines.values()} == epochs
        assert site.working() == 3

    play(scenario)
