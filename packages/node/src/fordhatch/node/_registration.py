"""A node's own row, by which other nodes find it, and the secret that they share."""

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
"""Longest wait for the store to take the node's own row."""

ROW_LOOK_S = 2.0
"""How often a node looks whether its row is still there: a restored store may have
lost it, and nobody else may have known it. A row takes a moment to be seen here."""

SECRET_BYTES = 32
"""Length of the key that nodes share."""

MBPS_PER_CORE = 100.0
"""A link of this rate carries what a whole core can hand out of the tables."""

LEAST_WEIGHT = 0.01
"""A node that carries next to nothing is still asked when all others are lost."""

READ_LOOK_S = 0.02
"""Time between looks whether the system's own rows have been read: nearly always the
secret is among them, and each proposal costs a call to the store."""

SECRET_SPREAD_S = 0.5
"""Where there is none, nodes propose one at moments of their own within this time: the
first one's reaches the others within some milliseconds."""

REGISTER_RETRY_S = 1.0
"""Pause after the first try to write the node's own row; it doubles with each."""

REGISTER_RETRY_MOST_S = 4.0
"""Longest such pause: a node without a row is served by others, and serves."""


@attrs.define(eq=False, repr=False)
class Registration:
    """Writes what the other nodes must know of this one."""

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
            await self.timer.sleep(self.timer.jittered(ROW_LOOK_S))
            if self.shared.is_read and not self._is_known():
                log_event("node_row_lost", node_name=self.settings.node_name)
                await self._register()

    def _is_known(self) -> bool:
        """Return whether the node's row, as others see it, is that of this start."""
        known = self.shared.nodes.get(self.settings.node_name)
        return known is not None and known.address == self.settings.peer_address

    async def _register(self) -> None:
        """Write the node's own row, and the shared secret if there is none."""
        own = RowKey(SHARED_TABLE, node_key(self.settings.node_name))
        value = node_value(
            self.settings.peer_address,
            self.settings.zone,
            _weight(self.settings),
            self.start_id,
        )
        await self._write_until_done({}, {own: value})
        secret = RowKey(SHARED_TABLE, SECRET_KEY)
        spread_s = SECRET_SPREAD_S * self.timer.rng.random()
        while not self.shared.is_read:
            await self.timer.sleep(READ_LOOK_S)
        await self.timer.sleep(spread_s)
        if not self.shared.secret:
            proposal = secrets.token_bytes(SECRET_BYTES)
            await self._write_until_done({secret: ABSENT}, {secret: proposal})

    async def withdraw(self) -> None:
        """Remove the node's own row: others ask somebody else from now on."""
        self._is_withdrawn = True
        own = RowKey(SHARED_TABLE, node_key(self.settings.node_name))
        removed = await self.store.write({}, {}, (own,), timeout_s=REGISTER_TIMEOUT_S)
        if removed.is_err():
            log_event("node_not_withdrawn", error=removed.err().message)

    async def _write_until_done(
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
            pause_s = min(2 * pause_s, REGISTER_RETRY_MOST_S)


def _weight(settings: NodeSettings) -> float:
    """Return how much a node can carry for others."""
    return max(min(settings.cores, settings.link_mbps / MBPS_PER_CORE), LEAST_WEIGHT)
