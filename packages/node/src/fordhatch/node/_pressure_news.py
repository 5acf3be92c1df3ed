"""Tells other nodes what backend servers ask for, and asks them for permits."""

from __future__ import annotations

import attrs

from fordhatch.core import TaskSet, Timer
from fordhatch.protocol import Channel, PeerPool
from fordhatch.protocol.messages import (
    MOST_AGE_S,
    AskPermit,
    PermitReply,
    PressureNoted,
    PressureSeen,
    QueryPressure,
)
from fordhatch.registry import NodeAddress, StoreView
from fordhatch.serving import Permit, Permits, ServerLimit

TOLD_NODES = 8
"""Nodes that are told by each node to which a word is news: all of a small system at
once, and of a large one all but one in three thousand within some rounds."""

ROUND_S = 0.1
"""Pause after each round of telling, in which more news gathers."""

TELL_TIMEOUT_S = 0.5
"""Longest wait for another node to have taken the news."""

ASK_TIMEOUT_S = 0.25
"""Longest wait for a permit: nodes answer within some milliseconds, a busy one within a
tenth of a second. With no answer the next node in rank is asked."""

START_ASKED = 2
"""Nodes that a node asks as it starts; one of them may be lost."""

START_LOOK_S = 0.1
"""How often it looks whether it knows other nodes by then."""

START_WITHIN_S = 10.0
"""Later than this after its start it knows what servers ask for by itself."""


@attrs.define(eq=False, repr=False)
class PressureNews:
    """Sends and takes words of backend servers, asks for permits and gives them."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    permits: Permits
    _limits: dict[str, ServerLimit] = attrs.field(factory=dict)
    """Limits to be told in the next round."""
    _leaving: list[str] = attrs.field(factory=list)
    """Backend servers to be told of that leave."""
    _is_telling: bool = False
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to tell, and ask others what they know."""
        self.permits.ask = self.ask
        self.permits.pressure.subscribe_limits(self._note_limit)
        self.permits.pressure.subscribe_departures(self._note_leaving)
        self._tasks.spawn(self._learn(), "learn-pressure")

    # Words of backend servers.

    def _note_limit(self, limit: ServerLimit) -> None:
        self._limits[limit.backend_id] = limit
        self._begin()

    def _note_leaving(self, backend_id: str) -> None:
        self._leaving.append(backend_id)
        self._begin()

    def _begin(self) -> None:
        if not self._is_telling:
            self._is_telling = True
            self._tasks.spawn(self._tell_all(), "tell-pressure")

    async def _tell_all(self) -> None:
        try:
            while self._limits or self._leaving:
                message = self._message(list(self._limits.values()), self._leaving)
                self._limits, self._leaving = {}, []
                for node in self._sample(TOLD_NODES):
                    self._tasks.spawn(self._tell(node, message), "tell-pressure")
                await self.timer.sleep(ROUND_S)
        finally:
            self._is_telling = False

    async def _tell(self, node: NodeAddress, message: PressureSeen) -> None:
        await self.pool.request(node.address, message, TELL_TIMEOUT_S)

    def _sample(self, most: int) -> list[NodeAddress]:
        nodes = self.view.shared.nodes.values()
        others = [node for node in nodes if node.name != self.node_name]
        return self.timer.rng.sample(others, min(most, len(others)))

    def _message(self, limits: list[ServerLimit], leaving: list[str]) -> PressureSeen:
        told = [(x.backend_id, x.per_s, self._age_s(x)) for x in limits]
        return PressureSeen(told, leaving)

    def _age_s(self, limit: ServerLimit) -> float:
        return min(max(self.timer.now_s() - limit.said_s, 0.0), MOST_AGE_S)

    async def take(self, message: PressureSeen, channel: Channel) -> None:
        """Take another node's news."""
        self._take(message)
        await channel.send(PressureNoted())

    def _take(self, message: PressureSeen) -> None:
        now_s = self.timer.now_s()
        known = self.view.directory.backends
        for backend_id, per_s, age_s in message.limits:
            if backend_id in known:
                limit = ServerLimit(backend_id, per_s, now_s - age_s)
                self.permits.pressure.take_limit(limit)
        for backend_id in message.leaving:
            self.permits.pressure.take_leaving(backend_id)

    async def tell_known(self, channel: Channel) -> None:
        """Answer a node that asks for all that is known."""
        limits = self.permits.pressure.limits()
        leaving = self.view.directory.departures.all()
        await channel.send(self._message(limits, leaving))

    async def _learn(self) -> None:
        """Ask some nodes for what they know, as soon as any is known."""
        until_s = self.timer.now_s() + START_WITHIN_S
        while not (self.view.backends.is_loaded and self._sample(1)):
            if self.timer.now_s() > until_s:
                return
            await self.timer.sleep(START_LOOK_S)
        for node in self._sample(START_ASKED):
            got = await self.pool.request(node.address, QueryPressure(), TELL_TIMEOUT_S)
            reply = got.ok()
            if isinstance(reply, PressureSeen):
                self._take(reply)

    # Permits.

    async def ask(self, node_name: str, limit: ServerLimit) -> Permit | None:
        """Ask a node for a permit; None if it does not answer."""
        node = self.view.shared.nodes.get(node_name)
        if node is None:
            return None
        question = AskPermit(limit.backend_id, limit.per_s, self._age_s(limit))
        got = await self.pool.request(node.address, question, ASK_TIMEOUT_S)
        reply = got.ok()
        if not isinstance(reply, PermitReply):
            return None
        return Permit(reply.is_granted, reply.again_s)

    async def answer(self, message: AskPermit, channel: Channel) -> None:
        """Answer a node that asks for a permit."""
        said_s = self.timer.now_s() - message.age_s
        limit = ServerLimit(message.backend_id, message.limit_per_s, said_s)
        permit = self.permits.asked_by(channel.peer_name, limit)
        await channel.send(PermitReply(permit.is_granted, permit.again_s))

    async def close(self) -> None:
        """Stop telling."""
        await self._tasks.close()
