"""Random restores of the store from backups, with complete nodes in virtual time.

Beyond the invariants of ``SiteMachine``: no node goes back to an earlier configuration,
the terms of planners increase, and once all faults are over every node knows what
operators and backend servers wrote last.
"""

from __future__ import annotations

import asyncio
import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from test_stateful_site import SiteMachine

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.catalog import BackendState
from fordhatch_standins import StoreCopy

REWRITE_WITHIN_S = 1.8
"""Time within which operators and backend servers rewrite lost rows."""

SETTLE_S = 8.0
"""Time without faults after which every node has the newest state."""


class RestoreMachine(SiteMachine):
    """Restores the store from copies, in addition to the faults of ``SiteMachine``."""

    def __init__(self) -> None:
        self.copies: list[StoreCopy] = []
        self.version = 1
        self.highest: dict[str, int] = {}
        """Highest configuration version in effect so far, by start of a node."""
        self.terms: dict[str, int] = {}
        """Highest fencing token of each start of a node that was the planner."""
        super().__init__()

    @rule()
    def store_is_copied(self) -> None:
        self.copies = [*self.copies, self.site.store.copy()][-3:]

    @rule(index=st.integers(0, 2), outage_s=st.sampled_from([0.0, 0.3, 2.0]))
    def store_backup_is_restored(self, index: int, outage_s: float) -> None:
        if not self.copies:
            return
        store = self.site.store
        was_down = store.faults.is_down
        store.faults.is_down = was_down or outage_s > 0
        self.wait(outage_s)
        copy = self.copies[index % len(self.copies)]

        async def restore() -> None:
            lost = store.restore(copy)
            store.write_again(lost, REWRITE_WITHIN_S, self.site.rng)

        self.do(restore())
        # Copies newer than the restored one hold writes that are now undone.
        self.copies = [c for c in self.copies if c.version <= copy.version]
        store.faults.is_down = was_down

    @rule(jump=st.integers(1, 3))
    def configuration_changes(self, jump: int) -> None:
        self.version += jump
        data = json.loads(self.site.experiment.configuration())
        value = json.dumps({**data, "version": self.version}).encode()
        self.site.store.put(OPERATOR_TABLE, CONFIGURATION_KEY, value)

    @rule(late_s=st.sampled_from([1.0, 2.0, 4.0]))
    def a_write_is_late(self, late_s: float) -> None:
        self.site.store.faults.late_writes = 1
        self.site.store.faults.late_write_s = late_s

    @rule(node=st.integers(0, 2))
    def a_node_restarts(self, node: int) -> None:
        self.do(self.site.restart(node % len(self.site.nodes)))

    @invariant()
    def no_configuration_version_decreases(self) -> None:
        for one in self.site.nodes:
            start, found = one.node.start_id, one.node.view.configuration.version
            assert found >= self.highest.get(start, 0)
            self.highest[start] = found

    @invariant()
    def terms_increase(self) -> None:
        async def check() -> None:
            for one in self.site.nodes:
                lease, start = one.node.lease, one.node.start_id
                if not lease.is_held():
                    continue
                others = [t for s, t in self.terms.items() if s != start]
                assert lease.fencing_token >= self.terms.get(start, 0)
                assert lease.fencing_token > max(others, default=0)
                self.terms[start] = lease.fencing_token

        self.do(check())

    def teardown(self) -> None:
        self.everything_recovers()
        self.site.store.faults.late_writes = 0
        self.wait(SETTLE_S)
        versions = {o.node.view.configuration.version for o in self.site.nodes}
        assert versions == {self.version}
        leaving = {
            e.backend_id
            for e in self.fleet.engines.values()
            if e.state == "draining" and not e.is_dead
        }
        for one in self.site.nodes:
            known = one.node.view.directory.backends.values()
            ready = {b.registered_id for b in known if b.state is BackendState.READY}
            assert not ready & leaving
        assert sum(self._holders()) == 1
        super().teardown()

    def _holders(self) -> list[bool]:
        async def check() -> list[bool]:
            await asyncio.sleep(0)
            return [one.node.lease.is_held() for one in self.site.nodes]

        return self.do(check())


RestoreMachine.TestCase.settings = settings(
    derandomize=True, max_examples=15, stateful_step_count=20, deadline=None
)
TestRestores = RestoreMachine.TestCase
