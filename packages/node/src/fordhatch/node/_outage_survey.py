"""Asks other nodes whether they reach the store, while this one does not."""

from __future__ import annotations

import asyncio
import math

import attrs
from result import Result

from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import QueryStatus, StatusReply
from fordhatch.registry import NodeAddress, NodeWord, StoreView, witnesses_needed

SURVEY_FROM_S = 1.5
"""Age of the own confirmation from which others are asked: a reader that failed is
replaced before."""

SURVEY_EVERY_S = 0.8
"""Time between rounds: three fall into the time that a word counts, and four before a
confirmation of 4.9 s runs out."""

SPARE_ASKED = 2
"""Nodes that are asked beyond those needed, as some may not answer. A round then costs
at most seven questions and answers of about a hundred bytes, whatever the size of the
system: 1.8 KB a second on each node, only in an outage."""

ASK_TIMEOUT_S = 0.3
"""Longest wait for an answer; others answer within milliseconds."""


@attrs.define(eq=False, repr=False)
class OutageSurvey:
    """Gathers the evidence that an outage is one for every node."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    _is_for_all: bool = False

    async def run(self) -> None:
        """Ask in rounds while the own knowledge is old, until cancelled."""
        while True:
            if self.view.configuration_age_s() > SURVEY_FROM_S:
                await asyncio.gather(*(self._ask(node) for node in self._chosen()))
            else:
                self.view.evidence.confirmed()
            self._note()
            await self.timer.sleep(self.timer.jittered(SURVEY_EVERY_S))

    def _chosen(self) -> list[NodeAddress]:
        """Return the nodes to ask in this round, others than in the last one."""
        nodes = self.view.shared.nodes
        others = [n for n in nodes.values() if n.name != self.node_name]
        count = min(witnesses_needed(len(nodes)) + SPARE_ASKED, len(others))
        return self.timer.rng.sample(others, count)

    async def _ask(self, node: NodeAddress) -> None:
        asked_s = self.timer.now_s()
        got = await self.pool.request(node.address, QueryStatus(), ASK_TIMEOUT_S)
        self.view.evidence.note(node.name, NodeWord(asked_s, _age_s(got)))

    def _note(self) -> None:
        nodes = len(self.view.shared.nodes)
        is_for_all = self.view.evidence.is_for_all(self.timer.now_s(), nodes)
        if is_for_all == self._is_for_all:
            return
        self._is_for_all = is_for_all
        log_event(
            "outage_for_all" if is_for_all else "outage_for_all_ended",
            age_s=round(self.view.configuration_age_s(), 3),
            nodes=nodes,
        )


def _age_s(got: Result[object, Failure]) -> float | None:
    """Return how old a node's knowledge is, None where there is no answer.

    A node that is there without the shared key has just started and has read nothing
    from the store yet.
    """
    if got.is_err():
        return math.inf if got.unwrap_err().code is ResultCode.PEER_REFUSED else None
    reply = got.unwrap()
    return reply.configuration_age_s if isinstance(reply, StatusReply) else None
