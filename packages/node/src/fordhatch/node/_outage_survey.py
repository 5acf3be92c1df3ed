"""Queries other nodes whether they reach the store while this node does not."""

from __future__ import annotations

import asyncio
import math

import attrs
from result import Result

from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import QueryStatus, StatusReply
from fordhatch.registry import NodeAddress, NodeReport, StoreView, min_witnesses

SURVEY_MIN_AGE_S = 1.5
"""Age of this node's last confirmation from which it queries other nodes. A reader that
failed is replaced before that."""

SURVEY_INTERVAL_S = 0.8
"""Time between rounds: three rounds fit into the time for which a report counts, and
four before a confirmation of 4.9 s expires."""

EXTRA_NODES = 2
"""Nodes that are queried beyond the witnesses needed, as some may not reply. A round
then costs at most seven queries and replies of about a hundred bytes, whatever the size
of the system: 1.8 KB a second on each node, only in an outage."""

QUERY_TIMEOUT_S = 0.3
"""Longest wait for a reply; a reachable node replies within milliseconds."""


@attrs.define(eq=False, repr=False)
class OutageSurvey:
    """Gathers the evidence that a store outage is system-wide."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    _is_system_wide: bool = False

    async def run(self) -> None:
        """Query nodes in rounds while this node's view is stale, until cancelled."""
        while True:
            if self.view.configuration_age_s() > SURVEY_MIN_AGE_S:
                await asyncio.gather(*(self._query(node) for node in self._sample()))
            else:
                self.view.evidence.clear()
            self._log_change()
            await self.timer.sleep(self.timer.jittered(SURVEY_INTERVAL_S))

    def _sample(self) -> list[NodeAddress]:
        """Return a new random sample of the nodes to query in this round."""
        nodes = self.view.shared.nodes
        others = [n for n in nodes.values() if n.name != self.node_name]
        count = min(min_witnesses(len(nodes)) + EXTRA_NODES, len(others))
        return self.timer.rng.sample(others, count)

    async def _query(self, node: NodeAddress) -> None:
        asked_s = self.timer.now_s()
        answer = await self.pool.request(node.address, QueryStatus(), QUERY_TIMEOUT_S)
        self.view.evidence.record(node.name, NodeReport(asked_s, _age_s(answer)))

    def _log_change(self) -> None:
        """Log when a system-wide outage begins or ends."""
        nodes = len(self.view.shared.nodes)
        is_system_wide = self.view.evidence.is_system_wide(self.timer.now_s(), nodes)
        if is_system_wide == self._is_system_wide:
            return
        self._is_system_wide = is_system_wide
        log_event(
            "outage_for_all" if is_system_wide else "outage_for_all_ended",
            age_s=round(self.view.configuration_age_s(), 3),
            nodes=nodes,
        )


def _age_s(answer: Result[object, Failure]) -> float | None:
    """Return the age of a node's last confirmation in seconds, None without a reply.

    A node that refuses the request for want of the shared key has just started and has
    read nothing from the store yet: its age is infinite.
    """
    if answer.is_err():
        return math.inf if answer.unwrap_err().code is ResultCode.PEER_REFUSED else None
    reply = answer.unwrap()
    return reply.configuration_age_s if isinstance(reply, StatusReply) else None
