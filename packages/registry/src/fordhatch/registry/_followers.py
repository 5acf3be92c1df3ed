"""One node's view of the store: every table that it follows."""

from __future__ import annotations

import attrs

from fordhatch.adapter import BACKENDS_TABLE, OPERATOR_TABLE
from fordhatch.core import TaskSet, Timer

from ._backend_directory import BackendDirectory
from ._configuration_in_force import ConfigurationInForce
from ._shared_rows import SHARED_TABLE, SharedRows
from ._table_follower import TableFollower
from ._table_source import TableSource, TableUpdate

CONFIGURATION_WAIT_S = 0.3
"""The longest wait for a change of the configuration: what is known is confirmed
this often, and its age decides whether API keys may be used, here and on the nodes
that ask this one."""

BACKENDS_WAIT_S = 0.3
"""The longest wait for a change of a backend server."""

SHARED_WAIT_S = 0.3
"""The longest wait for a change of the system's own rows."""

BACKENDS_GATHER_S = 0.05
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
    def from_source(cls, source: TableSource, timer: Timer) -> StoreView:
        """Build a view that has not been started."""
        configuration = ConfigurationInForce()
        directory = BackendDirectory(timer)
        shared = SharedRows()

        def take_backends(update: TableUpdate) -> None:
            if update.is_whole:
                after_outage = backends.is_after_outage()
                directory.observe_snapshot(update.rows, after_outage=after_outage)
            else:
                directory.observe_changes(update.rows)

        def take_shared(update: TableUpdate) -> None:
            if update.is_whole:
                shared.observe_snapshot(update.rows)
            else:
                shared.observe_changes(update.rows)

        operators = TableFollower(
            OPERATOR_TABLE,
            source,
            timer,
            lambda update: configuration.observe(update.rows),
            CONFIGURATION_WAIT_S,
        )
        backends = TableFollower(
            BACKENDS_TABLE,
            source,
            timer,
            take_backends,
            BACKENDS_WAIT_S,
            BACKENDS_GATHER_S,
        )
        own = TableFollower(SHARED_TABLE, source, timer, take_shared, SHARED_WAIT_S)
        return cls(timer, configuration, directory, shared, operators, backends, own)

    @property
    def followers(self) -> dict[str, TableFollower]:
        """The followers by table."""
        return {f.table: f for f in (self.operators, self.backends, self.own)}

    def start(self) -> None:
        """Begin to follow every table."""
        for follower in self.followers.values():
            name = f"follow-{follower.table}"
            self._tasks.spawn(self.timer.keep(follower.run, name=name), name)
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
