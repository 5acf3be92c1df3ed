"""One node's view of the store: every table that it follows."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fordhatch.adapter import BACKENDS_TABLE, OPERATOR_TABLE, Row, StoreClient
from fordhatch.core import TaskSet, Timer

from ._backend_directory import BackendDirectory
from ._configuration_in_force import ConfigurationInForce
from ._shared_rows import SHARED_TABLE, SharedRows
from ._table_follower import TableFollower

CONFIGURATION_WAIT_S = 0.8
"""The longest wait for a change of the configuration: what is known is confirmed
about this often, and its age decides whether API keys may be used."""

BACKENDS_WAIT_S = 1.0
"""The longest wait for a change of a backend server."""

SHARED_WAIT_S = 2.0
"""The longest wait for a change of the system's own rows."""

BACKENDS_GATHER_S = 0.15
"""Pause in which changes of backend servers gather; every call to the store has its
price, and a group that forms changes several entries within milliseconds."""

EXPIRE_INTERVAL_S = 0.2
"""How often lapsed entries are looked through."""


@attrs.define(eq=False)
class StoreView:
    """The configuration, the backend servers and the system's own rows."""

    timer: Timer
    configuration: ConfigurationInForce
    directory: BackendDirectory
    shared: SharedRows
    operators: TableFollower
    backends: TableFollower
    own: TableFollower
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def from_store(cls, store: StoreClient, timer: Timer) -> StoreView:
        """Build a view that has not been started."""
        configuration = ConfigurationInForce()
        directory = BackendDirectory(timer)
        shared = SharedRows()

        def take_backends(rows: Sequence[Row]) -> None:
            after_outage = backends.is_after_outage()
            directory.observe_snapshot(rows, after_outage=after_outage)

        operators = TableFollower(
            OPERATOR_TABLE,
            store,
            timer,
            configuration.observe,
            configuration.observe,
            CONFIGURATION_WAIT_S,
        )
        backends = TableFollower(
            BACKENDS_TABLE,
            store,
            timer,
            take_backends,
            directory.observe_changes,
            BACKENDS_WAIT_S,
            BACKENDS_GATHER_S,
        )
        own = TableFollower(
            SHARED_TABLE,
            store,
            timer,
            shared.observe_snapshot,
            shared.observe_changes,
            SHARED_WAIT_S,
        )
        return cls(timer, configuration, directory, shared, operators, backends, own)

    def start(self) -> None:
        """Begin to follow every table."""
        for follower in (self.operators, self.backends, self.own):
            self._tasks.spawn(follower.run(), f"follow-{follower.table}")
        self._tasks.spawn(
            self.timer.every(EXPIRE_INTERVAL_S, self._expire, name="expire"), "expire"
        )

    async def _expire(self) -> None:
        self.directory.expire()

    def configuration_age_s(self) -> float:
        """Return how old the confirmation of the configuration is, in seconds."""
        return self.operators.age_s()

    async def close(self) -> None:
        """Stop following."""
        await self._tasks.close()
