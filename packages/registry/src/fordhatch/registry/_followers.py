"""One node's view of the store: every table that it follows."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from fordhatch.adapter import BACKENDS_TABLE, OPERATOR_TABLE
from fordhatch.core import TaskSet, Timer

from ._backend_directory import BackendDirectory
from ._configuration_in_force import (
    OPERATORS_ROW,
    ConfigurationInForce,
    ConfigurationRow,
)
from ._group_records import members_of
from ._outage_evidence import OutageEvidence
from ._relay import RelayClient
from ._row_keeper import RowKeeper
from ._shared_rows import SHARED_TABLE, SharedRows
from ._table_follower import TableFollower
from ._table_source import TableSource, TableUpdate
from ._tables_follower import TablesFollower

CONFIGURATION_WAIT_S = 0.3
"""The longest wait for a change of the configuration: what is known is confirmed
this often, and its age decides whether API keys may be used, here and on the nodes
that ask this one."""

BACKENDS_WAIT_S = 0.3
"""The longest wait for a change of a backend server."""

SHARED_WAIT_S = 1.0
"""The longest wait for a change of the system's own rows; nothing is decided by how
old they are, and changes come at once."""

BACKENDS_GATHER_S = 0.05
"""Pause in which changes of backend servers gather; every call to the store has its
price, and a group that forms changes several entries within milliseconds."""

EXPIRE_INTERVAL_S = 0.2
"""How often lapsed entries are looked through."""


@attrs.define(eq=False, repr=False)
class StoreView:
    """The configuration, the backend servers and the system's own rows."""

    timer: Timer
    configuration: ConfigurationInForce
    directory: BackendDirectory
    shared: SharedRows
    operators: TableFollower
    backends: TableFollower
    own: TableFollower
    tables: TablesFollower
    keeper: RowKeeper | None = None
    evidence: OutageEvidence = attrs.field(factory=OutageEvidence)
    """What the other nodes say of the store while this one does not reach it."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    @classmethod
    def create(
        cls,
        source: TableSource,
        timer: Timer,
        *,
        shared: SharedRows | None = None,
        configuration_row: ConfigurationRow = OPERATORS_ROW,
        relay: RelayClient | None = None,
        begin_spread_s: float = 0.0,
        keeper: RowKeeper | None = None,
    ) -> StoreView:
        """Build a view that has not been started.

        Args:
            source: The store.
            timer: The node's timer.
            shared: Filled with the system's own rows.
            configuration_row: Where the configuration lies.
            relay: Asks other nodes; without it the store alone is asked.
            begin_spread_s: Within this time the store is first asked, in seconds.
            keeper: Writes again what a restored store has lost; without it that is
                left to others.
        """
        shared = shared if shared is not None else SharedRows(timer)
        configuration = ConfigurationInForce(configuration_row)
        directory = BackendDirectory(timer)

        unread = {BACKENDS_TABLE, SHARED_TABLE}
        is_own_table = configuration_row.table != OPERATOR_TABLE

        def read(table: str) -> None:
            if table not in unread:
                return
            unread.discard(table)
            if not unread:
                directory.restore(members_of(shared.records.values()))

        def take_configuration(update: TableUpdate) -> TableUpdate:
            configuration.observe(update.rows)
            is_return = operators.copy.crosses(update) and update.is_from_store
            if is_return and is_own_table and keeper is not None:
                keeper.write(configuration.lost(update), operators.copy)
            return configuration.keep(update)

        def take_backends(update: TableUpdate) -> TableUpdate:
            directory.logs_changes = update.is_from_store
            directory.outage_ended_s = backends.outage_ended_s
            is_return = backends.copy.crosses(update)
            if update.is_whole:
                directory.observe_snapshot(update.rows, is_return=is_return)
            else:
                directory.observe_changes(update.rows, is_return=is_return)
            read(BACKENDS_TABLE)
            return update

        def take_shared(update: TableUpdate) -> TableUpdate:
            shared.logs_changes = update.is_from_store
            if keeper is not None and update.is_from_store:
                ago_s = timer.now_s() - own.confirmed_before_s
                update = keeper.keep(update, own.copy, confirmed_ago_s=ago_s)
            if update.is_whole:
                shared.observe_snapshot(update.rows)
            else:
                shared.observe_changes(update.rows)
            read(SHARED_TABLE)
            return update

        operators = TableFollower(
            configuration_row.table,
            source,
            timer,
            take_configuration,
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
        own = TableFollower(
            SHARED_TABLE,
            source,
            timer,
            take_shared,
            SHARED_WAIT_S,
            BACKENDS_GATHER_S,
            must_be_fresh=False,
        )
        followers = {f.table: f for f in (operators, backends, own)}
        tables = TablesFollower(followers, timer, relay, begin_spread_s)
        return cls(
            timer,
            configuration,
            directory,
            shared,
            operators,
            backends,
            own,
            tables,
            keeper,
        )

    @property
    def followers(self) -> Mapping[str, TableFollower]:
        """The followers by table."""
        return self.tables.followers

    def start(self) -> None:
        """Begin to follow every table."""
        keep = self.timer.keep
        self._tasks.spawn(keep(self.tables.run, name="tables"), "tables")
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
        if self.keeper is not None:
            await self.keeper.close()
