"""Tells other nodes at once of servers that ended under requests.

The rows in the store reach every node as well, but not while the store is away, and a
content that comes four times a second has ended another server by then.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from fordhatch.core import Failure, ResultCode, TaskSet, Timer
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import CrashesNoted, CrashesSeen
from fordhatch.registry import CrashRecord, NodeAddress, RunStage, StoreView
from fordhatch.serving import CrashWatch

TOLD_NODES = 8
"""Nodes that are told directly: all of them in a small system. In a large one each of
these passes on what is new to it while the store is away; with eight each, one node in
three thousand hears nothing."""

PASS_ON_FROM_S = 1.5
"""Age of the own confirmation from which the store counts as away."""

TELL_TIMEOUT_S = 0.5
"""Longest wait for another node to have taken the news."""


@attrs.define(eq=False, repr=False)
class CrashNews:
    """Sends and takes news of crashes."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    crashes: CrashWatch
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to tell what this node sees."""
        self.crashes.subscribe(self.tell)

    def tell(self, records: Iterable[CrashRecord]) -> None:
        """Tell some other nodes."""
        seen = [(r.digest, r.backend_id, int(r.stage)) for r in records]
        nodes = self.view.shared.nodes.values()
        others = [node for node in nodes if node.name != self.node_name]
        told = self.timer.rng.sample(others, min(TOLD_NODES, len(others)))
        for node in told:
            self._tasks.spawn(self._tell(node, CrashesSeen(seen)), "tell-crashes")

    async def _tell(self, node: NodeAddress, message: CrashesSeen) -> None:
        await self.pool.request(node.address, message, TELL_TIMEOUT_S)

    async def take(self, message: CrashesSeen, channel: Channel) -> None:
        """Take another node's news, and pass them on if nobody else can."""
        peer, now_s = channel.peer_name, self.timer.now_s()
        try:
            records = [
                CrashRecord(digest, backend_id, RunStage(stage), peer, now_s)
                for digest, backend_id, stage in message.crashes
            ]
        except ValueError as error:
            failure = Failure.from_code(ResultCode.FRAME_INVALID, repr(error))
            await channel.send(to_refused(failure))
            return
        new = self.crashes.quarantine.hear(records)
        if new and self.view.configuration_age_s() > PASS_ON_FROM_S:
            self.tell(new)
        await channel.send(CrashesNoted())

    async def close(self) -> None:
        """Stop telling."""
        await self._tasks.close()
