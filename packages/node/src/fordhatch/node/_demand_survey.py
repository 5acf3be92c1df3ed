"""Collects the demand for models from other nodes while this node is the planner."""

from __future__ import annotations

import asyncio

import attrs
from result import Result

from fordhatch.catalog import ModelDemand
from fordhatch.core import Failure, Timer
from fordhatch.placement import DemandEstimator, PlannerLease
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import DemandReply, QueryDemand
from fordhatch.registry import NodeAddress, StoreView
from fordhatch.serving import DemandMeter

ROUND_INTERVAL_S = 0.4
"""Time between rounds: a burst shows in the first round after it begins."""

NODES_PER_ROUND = 16
"""Nodes that are queried in a round; each round queries different ones. Demand is much
the same at all nodes, so a sample represents all of them. This makes forty small
queries a second at any size of the system."""

QUERY_TIMEOUT_S = 0.3
"""Longest wait for a reply; a reachable node replies within milliseconds."""


@attrs.define(eq=False, repr=False)
class DemandSurvey:
    """Feeds the planner's demand estimator with reports from all nodes."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    lease: PlannerLease
    meter: DemandMeter
    estimator: DemandEstimator
    _remaining: list[str] = attrs.field(factory=list)
    """Names of the nodes that have not been queried in the current cycle."""

    async def run(self) -> None:
        """Query nodes in rounds while this node holds the planner lease.

        Runs until cancelled.
        """
        while True:
            await self.lease.until_held()
            self.estimator.record_report(
                self.node_name, self.meter.demand(), self.timer.now_s()
            )
            await asyncio.gather(*(self._query(node) for node in self._next_nodes()))
            await self.timer.sleep(self.timer.jittered(ROUND_INTERVAL_S))

    def _next_nodes(self) -> list[NodeAddress]:
        """Return the nodes of this round, from a random order that covers all nodes."""
        nodes = self.view.shared.nodes
        if len(self._remaining) < NODES_PER_ROUND:
            others = [n for n in nodes if n != self.node_name]
            self._remaining = self.timer.rng.sample(others, len(others))
        selected, self._remaining = (
            self._remaining[:NODES_PER_ROUND],
            self._remaining[NODES_PER_ROUND:],
        )
        return [nodes[name] for name in selected if name in nodes]

    async def _query(self, node: NodeAddress) -> None:
        answer = await self._request(node)
        if answer.is_err():
            return
        reply = answer.unwrap()
        if not isinstance(reply, DemandReply):
            return
        demand = {
            (service, model): ModelDemand(requests_per_s, busy_groups)
            for service, model, requests_per_s, busy_groups in reply.models
        }
        self.estimator.record_report(node.name, demand, self.timer.now_s())

    async def _request(self, node: NodeAddress) -> Result[object, Failure]:
        return await self.pool.request(node.address, QueryDemand(), QUERY_TIMEOUT_S)


def demand_reply(meter: DemandMeter) -> DemandReply:
    """Return the reply of a node to a demand query."""
    return DemandReply(
        [
            (service, model, demand.requests_per_s, demand.busy_groups)
            for (service, model), demand in meter.demand().items()
        ]
    )
