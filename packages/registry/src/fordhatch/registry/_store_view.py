"""A node's view of the store: the copies of all tables that it follows."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from fordhatch.adapter import BACKENDS_TABLE, OPERATOR_TABLE
from fordhatch.core import TaskSet, Timer

from ._active_configuration import (
    OPERATORS_ROW,
    ActiveConfiguration,
    ConfigurationRow,
)
from ._backend_directory import BackendDirectory
from ._evacuations import Evacuations
from ._group_records import members_of
from ._outage_evidence import OutageEvidence
from ._relay import RelayClient
from ._row_restorer import RowRestorer
from ._shared_rows import SHARED_TABLE, SharedRows
from ._table_follower import TableFollower
from ._table_source import TableSource, TableUpdate
from ._table_sync import TableSync

CONFIGURATION_WAIT_S = 0.3
"""Maximum time to wait for a change of the configuration. The copy is confirmed this
often; its age decides whether API keys may be used, on this node and on the nodes that
query it."""

BACKENDS_WAIT_S = 0.3
"""Maximum time to wait for a change of a backend server."""

SHARED_WAIT_S = 1.0
"""Maximum time to wait for a change of the system's own rows. No decision depends on
their age, and changes arrive without delay."""

BACKENDS_GATHER_S = 0.05
"""Delay in which changes of backend servers accumulate. Every call to the store has its
cost, and a group formation changes several entries within milliseconds."""

EXPIRE_INTERVAL_S = 0.2
"""How often lapsed entries are checked."""


@attrs.define(eq=False, repr=False)
class StoreView:
    """View of the configuration, the backend servers and the system's own rows."""

    timer: Timer
    configuration: ActiveConfiguration
    directory: BackendDirectory
    shared: SharedRows
    operators: TableFollower
    backends: TableFollower
    own: TableFollower
    tables: TableSync
    row_restorer: RowRestorer | None = None
    evidence: OutageEvidence = attrs.field(factory=OutageEvidence)
    """Reports of other nodes on the store while this node does not reach it."""
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
        start_spread_s: float = 0.0,
        row_restorer: RowRestorer | None = None,
    ) -> StoreView:
        """Build a view that has not been started.

        Args:
            source: The store.
            timer: The node's timer.
            shared: Receives the system's own rows.
            configuration_row: The row that holds the configuration.
            relay: Queries other nodes; without it only the store is queried.
            start_spread_s: Upper bound of the random delay before the first query to
                the store, in seconds.
            row_restorer: Rewrites the rows that a restored store has lost; without it
                this is left to other nodes.
        """
        shared = shared if shared is not None else SharedRows(timer)
        configuration = ActiveConfiguration(configuration_row)
        evacuations = Evacuations()
        directory = BackendDirectory(timer, evacuations)

        unread = {BACKENDS_TABLE, SHARED_TABLE}
        is_own_table = configuration_row.table != OPERATOR_TABLE

        def mark_read(table: str) -> None:
            if table not in unread:
                return
            unread.discard(table)
            if not unread:
                directory.restore(members_of(shared.records.values()))

        def apply_configuration(update: TableUpdate) -> TableUpdate:
            # Before the configuration: requests are served once there is one.
            update = evacuations.observe(update, operators.age_s())
            configuration.observe(update.rows)
            is_restored = operators.copy.is_restore(update) and update.is_from_store
            if is_restored and is_own_table and row_restorer is not None:
                row_restorer.write(configuration.lost(update), operators.copy)
            return configuration.replace_others(update)

        def apply_backends(update: TableUpdate) -> TableUpdate:
            directory.logs_changes = update.is_from_store
            directory.outage_ended_s = backends.outage_ended_s
            is_restored = backends.copy.is_restore(update)
            if update.is_whole:
                directory.observe_snapshot(update.rows, is_restored=is_restored)
            else:
                directory.observe_changes(update.rows, is_restored=is_restored)
            mark_read(BACKENDS_TABLE)
            return update

        def apply_shared(update: TableUpdate) -> TableUpdate:
            shared.logs_changes = update.is_from_store
            if row_restorer is not None and update.is_from_store:
                ago_s = timer.now_s() - own.previous_confirmed_s
                update = row_restorer.restore(update, own.copy, confirmed_ago_s=ago_s)
            if update.is_whole:
                shared.observe_snapshot(update.rows)
            else:
                shared.observe_changes(update.rows)
            mark_read(SHARED_TABLE)
            return update

        operators = TableFollower(
            configuration_row.table,
            source,
            timer,
            apply_configuration,
            CONFIGURATION_WAIT_S,
        )
        backends = TableFollower(
            BACKENDS_TABLE,
            source,
            timer,
            apply_backends,
            BACKENDS_WAIT_S,
            BACKENDS_GATHER_S,
        )
        own = TableFollower(
            SHARED_TABLE,
            source,
            timer,
            apply_shared,
            SHARED_WAIT_S,
            BACKENDS_GATHER_S,
            must_be_fresh=False,
        )
        followers = {f.table: f for f in (operators, backends, own)}
        tables = TableSync(followers, timer, relay, start_spread_s)
        return cls(
            timer,
            configuration,
            directory,
            shared,
            operators,
            backends,
            own,
            tables,
            row_restorer,
        )

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated availability zones."""
        return self.directory.evacuations

    @property
    def followers(self) -> Mapping[str, TableFollower]:
        """The followers by table."""
        return self.tables.followers

    def start(self) -> None:
        """Start to follow every table."""
        supervise = self.timer.supervise
        self._tasks.spawn(supervise(self.tables.run, name="tables"), "tables")
        self._tasks.spawn(
            self.timer.every(EXPIRE_INTERVAL_S, self._expire, name="expire"), "expire"
        )

    async def _expire(self) -> None:
        self.directory.expire()
        if self.backends.is_loaded and self.own.is_loaded:
            self.evacuations.report(self.known_zones, self.operators.age_s())

    def known_zones(self) -> set[str]:
        """Return the zones of all registered nodes and backend servers."""
        nodes, backends = self.shared.nodes, self.directory.backends
        return {x.zone for x in (*nodes.values(), *backends.values())}

    def configuration_age_s(self) -> float:
        """Return the age of the configuration's last confirmation, in seconds."""
        return self.operators.age_s()

    async def close(self) -> None:
        """Stop following."""
        await self._tasks.close()
        if self.row_restorer is not None:
            await self.row_restorer.close()
