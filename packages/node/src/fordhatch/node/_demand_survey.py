"""Asks other nodes what their callers ask of models, while this node plans."""

from __future__ import annotations

import asyncio

import attrs
from result import Result

from fordhatch.catalog import ModelDemand
from fordhatch.core import Failure, Timer
from fordhatch.placement import DemandBook, PlannerLease
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import DemandReply, QueryDemand
from fordhatch.registry import NodeAddress, StoreView
from fordhatch.serving import DemandMeter

ASK_EVERY_S = 0.4
"""Time between rounds: a burst shows in the first one after it begins."""

ASKED = 16
"""Nodes that are asked in a round, others than in the last one. What callers ask is
much the same at all nodes, so that some tell for all: forty small questions a second
at any size of the system."""

ASK_TIMEOUT_S = 0.3
"""Longest wait for an answer; others answer within milliseconds."""


@attrs.define(eq=False, repr=False)
class DemandSurvey:
    """Fills the planner's book."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    lease: PlannerLease
    meter: DemandMeter
    book: DemandBook
    _to_ask: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        """Ask in rounds while this node has the planner's lease, until cancelled."""
        while True:
            await self.lease.until_held()
            self.book.heard(self.node_name, self.meter.demand(), self.timer.now_s())
            await asyncio.gather(*(self._ask(node) for node in self._chosen()))
            await self.timer.sleep(self.timer.jittered(ASK_EVERY_S))

    def _chosen(self) -> list[NodeAddress]:
        """Return the nodes of this round; all have their turn, in a random order."""
        nodes = self.view.shared.nodes
        if len(self._to_ask) < ASKED:
            others = [n for n in nodes if n != self.node_name]
            self._to_ask = self.timer.rng.sample(others, len(others))
        chosen, self._to_ask = self._to_ask[:ASKED], self._to_ask[ASKED:]
        return [nodes[name] for name in chosen if name in nodes]

    async def _ask(self, node: NodeAddress) -> None:
        got = await self._request(node)
        if got.is_err():
            return
        reply = got.unwrap()
        if not isinstance(reply, DemandReply):
            return
        demand = {
            (service, model): ModelDemand(requests_per_s, busy_groups)
            for service, model, requests_per_s, busy_groups in reply.models
        }
        self.book.heard(node.name, demand, self.timer.now_s())

    async def _request(self, node: NodeAddress) -> Result[object, Failure]:
        return await self.pool.request(node.address, QueryDemand(), ASK_TIMEOUT_S)


def demand_reply(meter: DemandMeter) -> DemandReply:
    """Return what a node answers."""
    return DemandReply(
        [
            (service, model, demand.requests_per_s, demand.busy_groups)
            for (service, model), demand in meter.demand().items()
        ]
    )
