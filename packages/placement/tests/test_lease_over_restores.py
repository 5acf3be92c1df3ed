"""The planner's lease when the store is restored from a backup."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from planning_site import MemoryStoreClient, Site, StoreModel, run_scenario

from fordhatch.core import TaskSet, Timer
from fordhatch.placement import PlannerLease
from fordhatch.placement._planner_lease import LEASE_DURATION_S, LEASE_ROW
from fordhatch_lab import run_in_virtual_time

LOST_RENEWALS = 8
"""Number of lease renewals that are missing in the restored copy."""


class Leases:
    """Leases of several nodes that compete for the planner role in one store."""

    def __init__(self, *names: str) -> None:
        self.model = StoreModel()
        self.clients = {n: MemoryStoreClient(self.model, n) for n in names}
        self.leases = {
            n: PlannerLease(n, c, Timer.from_seed(n), lambda: names, lambda: False)
            for n, c in self.clients.items()
        }
        self.terms: list[tuple[str, int, int]] = []
        self._tasks = TaskSet()

    def begin(self, name: str) -> None:
        self._tasks.spawn(self.leases[name].run(), name)

    def freeze(self, name: str) -> None:
        """Let no store call of a node return from now on; its clock still runs."""
        self.clients[name].is_frozen = True

    def holders(self) -> list[str]:
        return [n for n, lease in self.leases.items() if lease.is_held()]

    def row_version(self) -> int:
        return self.model.rows[LEASE_ROW.table, "", LEASE_ROW.key].version

    async def watch(self, duration_s: float) -> None:
        """Let time pass; assert that there is at most one holder and tokens rise."""
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
    async def run_and_check() -> None:
        leases = Leases("n0", "n1")
        try:
            await scenario(leases)
        finally:
            await leases.close()

    run_in_virtual_time(run_and_check())


def test_tokens_and_epochs_rise_over_a_restore() -> None:
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


def test_a_short_restore_keeps_the_holder() -> None:
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


def test_a_reused_version_number_makes_no_second_holder() -> None:
    """Another holder's row has the version number that this holder knows, and the
    renewal of this holder detects that the store was restored."""

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
        await leases.watch(LEASE_DURATION_S - 0.1)
        assert not first.is_held()

    run(scenario)


def test_a_renewal_that_completes_after_a_restore_makes_no_second_holder() -> None:
    """As before, but the renewal is sent before the restore and takes effect seconds
    later under a reused version number."""

    async def scenario(leases: Leases) -> None:
        first, second = leases.leases["n0"], leases.leases["n1"]
        leases.begin("n0")
        await leases.watch(1.0)
        copy = leases.model.copy()
        await leases.watch(0.45 * LOST_RENEWALS)
        number = first.version.number
        leases.model.faults.late_writes = 1
        leases.model.faults.late_write_s = 2 * LEASE_DURATION_S
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


def test_a_copy_without_a_holder_is_taken_over_after_the_lease_time() -> None:
    """A holder that is missing in the copy may still plan until its lease expires."""

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


def test_groups_survive_a_restore_and_a_new_planner() -> None:
    """No group is dissolved or formed twice because the restored store lacks it."""

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

    run_scenario(scenario)
