"""The components by which nodes reach backend servers through each other."""

from __future__ import annotations

import attrs

from fordhatch.catalog import NodeSettings
from fordhatch.core import Timer
from fordhatch.protocol import PeerPool
from fordhatch.registry import StoreView, planner_candidates
from fordhatch.serving import RequestPath

from ._contact_upkeep import ContactUpkeep
from ._probe_witnesses import ProbeWitnesses
from ._relay_client import ExchangeRelayClient
from ._relay_peers import RelayPeers
from ._relay_server import ExchangeRelayServer


@attrs.define(eq=False, repr=False)
class NodeRelays:
    """Both sides of relayed requests on one node."""

    peers: RelayPeers
    client: ExchangeRelayClient
    server: ExchangeRelayServer
    upkeep: ContactUpkeep
    witnesses: ProbeWitnesses

    @classmethod
    def create(
        cls,
        settings: NodeSettings,
        view: StoreView,
        pool: PeerPool,
        timer: Timer,
        path: RequestPath,
    ) -> NodeRelays:
        """Create the components and let the request path use them."""
        peers = RelayPeers(settings.node_name, settings.zone, view, pool, timer)
        client = ExchangeRelayClient(peers, pool, timer)
        path.exchange.relay = client
        witnesses = ProbeWitnesses(
            settings.node_name, view, path.prober, peers, pool, timer
        )
        path.prober.witnesses = witnesses.ask
        return cls(
            peers,
            client,
            ExchangeRelayServer(path, peers, timer),
            ContactUpkeep(view, path.contact, path.prober, peers, timer),
            witnesses,
        )

    def start(self) -> None:
        """Begin to check services that are out of reach."""
        self.upkeep.start()

    def may_plan(self) -> bool:
        """Return whether this node can plan, or no other node could do it better."""
        configuration = self.upkeep.view.configuration.current
        services = configuration.engine_services() if configuration else ()
        return not any(
            self.upkeep.contact.is_cut_off(service.name)
            and self.peers.in_touch(service.name)
            for service in services
        )

    def planner_candidates(self) -> list[str]:
        """Return the nodes that may plan, without those known to be cut off."""
        cut_off = self.peers.are_cut_off()
        names = planner_candidates(self.peers.view.shared.nodes)
        return [name for name in names if name not in cut_off]

    async def close(self) -> None:
        """Stop checking, and cancel pending messages to other nodes."""
        await self.upkeep.close()
        await self.client.close()
        await self.peers.close()
