"""Registration of a node in the store, and the secret that all nodes share."""

from __future__ import annotations

import secrets

import attrs

from fordhatch.adapter import ABSENT, RowKey, StoreClient, StoreVersion
from fordhatch.catalog import NodeSettings
from fordhatch.core import Timer, log_event
from fordhatch.registry import (
    SECRET_KEY,
    SHARED_TABLE,
    SharedRows,
    node_key,
    node_value,
)

REGISTER_TIMEOUT_S = 1.0
"""Longest wait for the store to accept the node's own row."""

ROW_CHECK_INTERVAL_S = 2.0
"""Time between checks that the node's row still exists: a store that is restored from
a backup may have lost it, and no other node may know it. A row that was written takes a
moment to show in the node's own view."""

SECRET_BYTES = 32
"""Length of the secret that nodes share."""

MBPS_PER_CORE = 100.0
"""Link rate, in Mbit/s, that carries as much table data as one core can relay."""

MIN_WEIGHT = 0.01
"""Lower bound of a node's weight, so that a node with little capacity is still used as
a reader when all others are lost."""

READ_POLL_INTERVAL_S = 0.02
"""Time between checks whether the system's own rows have been read. The secret is
nearly always among them, and each proposal costs a call to the store."""

SECRET_SPREAD_S = 0.5
"""Without a secret, each node proposes one at a random moment within this time: the
first proposal reaches the other nodes within some milliseconds."""

REGISTER_RETRY_S = 1.0
"""Pause after the first failed write of the node's own row; it doubles each time."""

MAX_REGISTER_RETRY_S = 4.0
"""Longest pause between writes: a node without a row still gets its tables from other
nodes and serves requests."""


@attrs.define(eq=False, repr=False)
class Registration:
    """Writes the row by which other nodes find this one, and the shared secret."""

    settings: NodeSettings
    start_id: str
    store: StoreClient
    shared: SharedRows
    timer: Timer
    _is_withdrawn: bool = False

    async def run(self) -> None:
        """Register, and register again whenever the row is lost, until cancelled."""
        await self._register()
        while not self._is_withdrawn:
            await self.timer.sleep(self.timer.jittered(ROW_CHECK_INTERVAL_S))
            if self.shared.is_read and not self._is_registered():
                log_event("node_row_lost", node_name=self.settings.node_name)
                await self._register()

    def _is_registered(self) -> bool:
        """Return whether the node's row in the shared table has its current address."""
        known = self.shared.nodes.get(self.settings.node_name)
        return known is not None and known.address == self.settings.peer_address

    async def _register(self) -> None:
        """Write the node's own row, and a shared secret if there is none."""
        own = RowKey(SHARED_TABLE, node_key(self.settings.node_name))
        value = node_value(
            self.settings.peer_address,
            self.settings.zone,
            _weight(self.settings),
            self.start_id,
        )
        await self._write_with_retries({}, {own: value})
        secret = RowKey(SHARED_TABLE, SECRET_KEY)
        spread_s = SECRET_SPREAD_S * self.timer.rng.random()
        while not self.shared.is_read:
            await self.timer.sleep(READ_POLL_INTERVAL_S)
        await self.timer.sleep(spread_s)
        if not self.shared.secret:
            proposal = secrets.token_bytes(SECRET_BYTES)
            await self._write_with_retries({secret: ABSENT}, {secret: proposal})

    async def withdraw(self) -> None:
        """Remove the node's own row, so that other nodes no longer read from it."""
        self._is_withdrawn = True
        own = RowKey(SHARED_TABLE, node_key(self.settings.node_name))
        removed = await self.store.write({}, {}, (own,), timeout_s=REGISTER_TIMEOUT_S)
        if removed.is_err():
            log_event("node_not_withdrawn", error=removed.err().message)

    async def _write_with_retries(
        self, expected: dict[RowKey, StoreVersion], puts: dict[RowKey, bytes]
    ) -> None:
        pause_s = REGISTER_RETRY_S
        while not self._is_withdrawn:
            written = await self.store.write(
                expected, puts, timeout_s=REGISTER_TIMEOUT_S
            )
            if written.is_ok():
                return
            log_event("node_not_registered", error=written.err().message)
            await self.timer.sleep(self.timer.jittered(pause_s))
            pause_s = min(2 * pause_s, MAX_REGISTER_RETRY_S)


def _weight(settings: NodeSettings) -> float:
    """Return the node's capacity for other nodes, in units of one core."""
    return max(min(settings.cores, settings.link_mbps / MBPS_PER_CORE), MIN_WEIGHT)
