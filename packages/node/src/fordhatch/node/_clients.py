"""Clients with which a node reaches the store, backend servers and other nodes."""

from __future__ import annotations

from collections.abc import Callable, Mapping

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
    buffers: Mapping[str, Callable[[], int]] = attrs.field(factory=dict)
    """Returns how many bytes of memory the connections of a client hold, by kind."""

    @classmethod
    def from_settings(cls, settings: NodeSettings, timer: Timer) -> Clients:
        """Return clients that use the network; a running event loop is required."""
        store = StoreClient.from_address(settings.store.address)
        pool = PeerPool(settings.node_name, b"", timer)
        return cls(
            store,
            BackendClient.create(),
            ExchangeClient.from_timer(timer),
            pool,
            {"store": store.buffered_bytes, "nodes": pool.buffered_bytes},
        )

    async def close(self) -> None:
        """Close every connection."""
        await self.pool.close()
        await self.exchange.close()
        await self.backends.close()
        await self.store.close()
