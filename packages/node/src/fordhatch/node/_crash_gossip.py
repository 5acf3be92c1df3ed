"""Notifies other nodes directly of backend servers that crashed under requests.

The crash rows in the store reach every node as well, but not while the store is
unavailable. A content that is requested four times a second would crash another
backend server before they arrive.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from fordhatch.core import Failure, ResultCode, TaskSet, Timer
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import CrashesNoted, CrashesSeen
from fordhatch.registry import CrashRecord, NodeAddress, RunStage, StoreView
from fordhatch.serving import CrashWatch

GOSSIP_FANOUT = 8
"""Nodes that are notified directly: all of them in a small system. In a large one, each
of them forwards the records that are new to it while the store is unavailable. With a
fan-out of eight, one node in three thousand receives nothing."""

FORWARD_MIN_AGE_S = 1.5
"""Age of this node's last confirmation from which the store counts as unavailable."""

SEND_TIMEOUT_S = 0.5
"""Longest wait for another node's acknowledgement."""


@attrs.define(eq=False, repr=False)
class CrashGossip:
    """Sends crash records to other nodes and receives theirs."""

    node_name: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    crashes: CrashWatch
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Begin to send the crashes that this node observes."""
        self.crashes.subscribe(self.send)

    def send(self, records: Iterable[CrashRecord]) -> None:
        """Send records to a random sample of the other nodes."""
        seen = [(r.digest, r.backend_id, int(r.stage)) for r in records]
        nodes = self.view.shared.nodes.values()
        others = [node for node in nodes if node.name != self.node_name]
        targets = self.timer.rng.sample(others, min(GOSSIP_FANOUT, len(others)))
        for node in targets:
            self._tasks.spawn(self._send(node, CrashesSeen(seen)), "tell-crashes")

    async def _send(self, node: NodeAddress, message: CrashesSeen) -> None:
        await self.pool.request(node.address, message, SEND_TIMEOUT_S)

    async def receive(self, message: CrashesSeen, channel: Channel) -> None:
        """Record another node's crashes; forward new ones during a store outage."""
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
        new = self.crashes.quarantine.record_remote(records)
        if new and self.view.configuration_age_s() > FORWARD_MIN_AGE_S:
            self.send(new)
        await channel.send(CrashesNoted())

    async def close(self) -> None:
        """Cancel the sends that are in flight."""
        await self._tasks.close()
