"""Keeps all tables of a node up to date, from other nodes or from the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping

import attrs

from fordhatch.core import Failure, ResultCode, TaskSet, Timer

from ._reader_choice import NodeAddress
from ._relay import RelayClient
from ._shared_rows import SHARED_TABLE
from ._table_follower import MAX_RETRY_S, TableFollower

CHOICE_INTERVAL_S = 0.3
"""How often a node that queries the store checks whether another node should do so."""

MAX_READERS_TRIED = 2
"""Nodes that are queried in turn before the store itself. Each may take two thirds of a
second to fail, and a change must reach every node within two seconds."""

STORE_RETRY_S = 1.0
"""Time after which this node queries a store again that did not answer. Meanwhile the
nodes that read for others detect its recovery and relay it."""

QUERY_READER_AFTER_S = 0.7
"""Age of the copy at which a node that reads the store also queries its zone's reader.
While the store is available, the copy is confirmed twice within this time."""

NODES_PER_PROBE = 40
"""Number of nodes above which each probes an unavailable store less often: every call
has its cost, and what one node finds reaches the others. Without a limit, 79 nodes make
half again as many calls and none is up to date any sooner; with a limit of 15, half of
30 nodes wait 0.6 s longer after the store's recovery."""

MAX_RETRY_UNLOADED_S = 0.35
"""Maximum delay between failed calls of a node that has no table yet. If all nodes
start while the store is unavailable, no node knows another, and each queries the store
itself."""

ROUND_INTERVAL_S = 0.2
"""Minimum time between rounds when the queried nodes have failed; replacing a failed
reader takes about as long."""


@attrs.define(eq=False, repr=False)
class TableSync:
    """Updates all followers, from the node that the choice names or from the store."""

    followers: Mapping[str, TableFollower]
    timer: Timer
    relay: RelayClient | None = None
    """None where there are no other nodes."""
    start_spread_s: float = 0.0
    """Upper bound of the random delay before the first query to the store, in
    seconds."""
    _consecutive_failures: int = 0
    _next_store_query_s: float = -math.inf
    """When the store may be queried again, in monotonic seconds."""

    async def run(self) -> None:
        """Keep the tables up to date until cancelled."""
        await self._load_shared_table()
        while True:
            sent_s = self.timer.now_s()
            reader = self.relay.choice.choose() if self.relay is not None else None
            if reader is None:
                await self._follow_store()
            elif await self.relay.query(reader, self.followers):
                self._consecutive_failures = 0
                # Wait so that one answer returns several changes, such as those of a
                # group formation.
                await self.timer.sleep(self._gather_s())
            else:
                await self._after_failure(sent_s)

    async def _load_shared_table(self) -> None:
        """Read only the table that lists the other nodes from the store.

        The other nodes have all tables, so that a start costs the store one read
        instead of three reads and the watches that follow them.
        """
        if self.relay is None:
            return
        await self.timer.sleep(self.start_spread_s * self.timer.rng.random())
        if not await self.followers[SHARED_TABLE].refresh():
            # The store is unavailable: only one table is queried from now on, the
            # followers of the other tables wait.
            probe = next(iter(self.followers.values()))
            probe.failed(Failure.from_code(ResultCode.STORE_UNAVAILABLE))

    def _gather_s(self) -> float:
        return max(f.gather_s for f in self.followers.values())

    async def _follow_store(self) -> None:
        """Watch every table in the store while this node is due to read it."""
        tasks = TaskSet()
        has_none = not any(f.is_loaded for f in self.followers.values())
        max_retry_s = MAX_RETRY_UNLOADED_S if has_none else MAX_RETRY_S
        if self._zone_reader() is not None:
            max_retry_s *= self._probe_slowdown()
        probe, *others = self.followers.values()
        try:
            self._follow(tasks, probe, max_retry_s, None)
            for follower in others:
                self._follow(tasks, follower, max_retry_s, probe)
            while self._reads_store(probe):
                await self.timer.sleep(CHOICE_INTERVAL_S)
                await self._query_zone_reader(probe)
        finally:
            await tasks.close()

    def _reads_store(self, probe: TableFollower) -> bool:
        """Return whether this node continues to query the store.

        A node that has just started first reads the complete tables while the store
        answers: the reads are in flight, and the other nodes may have just started too.
        """
        if self.relay is None or self.relay.choice.choose() is None:
            return True
        is_loaded = all(f.is_loaded for f in self.followers.values())
        return not is_loaded and not probe.is_failing

    def _zone_reader(self) -> NodeAddress | None:
        return self.relay.choice.zone_reader() if self.relay is not None else None

    async def _query_zone_reader(self, probe: TableFollower) -> None:
        """Query the zone's reader while the store does not answer this node.

        This node reads the store only because other nodes requested it. It probes the
        store rarely, and another node may detect its recovery first.
        """
        reader = self._zone_reader()
        if reader is not None and probe.age_s() > QUERY_READER_AFTER_S:
            await self.relay.query(reader, self.followers)

    def _follow(
        self,
        tasks: TaskSet,
        follower: TableFollower,
        max_retry_s: float,
        probe: TableFollower | None,
    ) -> None:
        async def follow() -> None:
            await follower.follow(max_retry_s, probe)

        supervised = self.timer.supervise(follow, name=follower.table)
        tasks.spawn(supervised, f"follow-{follower.table}")

    def _probe_slowdown(self) -> float:
        """Return the factor by which each of many nodes probes the store less often."""
        if self.relay is None:
            return 1.0
        return max(len(self.relay.choice.nodes()) / NODES_PER_PROBE, 1.0)

    async def _after_failure(self, sent_s: float) -> None:
        """Continue with the next node, and with the store after several nodes.

        Args:
            sent_s: When the failed query was sent, in monotonic seconds. A node that
                is only behind holds the query for about as long as the delay between
                rounds, in case it receives an update.
        """
        self._consecutive_failures += 1
        if self._consecutive_failures < MAX_READERS_TRIED:
            return
        self._consecutive_failures = 0
        if self.timer.now_s() >= self._next_store_query_s:
            await self._query_store()
        pause_s = sent_s + self.timer.jittered(ROUND_INTERVAL_S) - self.timer.now_s()
        if pause_s > 0:
            await self.timer.sleep(pause_s)

    async def _query_store(self) -> None:
        """Query the store itself, for one table first since it may be unavailable."""
        probe, *others = self.followers.values()
        answered = await probe.refresh()
        if answered:
            answered = all(await asyncio.gather(*(f.refresh() for f in others)))
        if not answered:
            delay_s = self.timer.jittered(STORE_RETRY_S * self._probe_slowdown())
            self._next_store_query_s = self.timer.now_s() + delay_s
