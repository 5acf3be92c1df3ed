"""Clients with which a node reaches the store, backend servers and other nodes."""

from __future__ import annotations

import attrs

from fordhatch.adapter import BackendClient, StoreClient
from fordhatch.catalog import NodeSettings
from fordhatch.core import Timer
from fordhatch.protocol import PeerPool
from fordhatch.serving import ExchangeClient


@attrs.define(eq=False, repr=False)
class Clients:
    """One client of each kind; the emulator substitutes its own."""

    store: StoreClient
    backends: BackendClient
    exchange: ExchangeClient
    pool: PeerPool

    @classmethod
    def from_settings(cls, settings: NodeSettings, timer: Timer) -> Clients:
        """Return clients that use the network; a running event loop is required."""
        return cls(
            StoreClient.from_address(settings.store.address),
            BackendClient.create(),
            ExchangeClient.from_timer(timer),
            PeerPool(settings.node_name, b"", timer),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self.pool.close()
        await self.exchange.close()
        await self.backends.close()
        await self.store.close()
