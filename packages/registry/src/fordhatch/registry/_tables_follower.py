"""Keeps every table of a node up to date, from other nodes or from the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping

import attrs

from fordhatch.core import Failure, ResultCode, TaskSet, Timer

from ._reader_choice import NodeAddress
from ._relay import RelayClient
from ._shared_rows import SHARED_TABLE
from ._table_follower import RETRY_MOST_S, TableFollower

CHOICE_LOOK_S = 0.3
"""How often a node that asks the store looks whether another should do it."""

MOST_ASKED = 2
"""Nodes that are asked in a row before the store itself is: each may take two thirds
of a second to fail, and a change must be known everywhere within two."""

STORE_AGAIN_S = 1.0
"""A store that did not answer is asked again by this node after this time; meanwhile
the nodes that read for others find its return, and tell."""

ELSEWHERE_AFTER_S = 0.7
"""A node that reads the store confirms what it knows twice within this time."""

NODES_PER_PROBE = 40
"""While the store is away, more nodes than this look for it the more rarely: what one
finds reaches the others, and every call has its price. In the emulator no limit made
nobody of 79 nodes fresh any sooner, at half as many calls more; a limit of 15 made half
of 30 nodes wait 0.6 s longer after the store's return."""

UNLOADED_RETRY_MOST_S = 0.35
"""Longest pause between failed calls of a node that has no table yet. Where all nodes
start while the store is away, none of them knows another one, and each asks itself."""

NEXT_ROUND_S = 0.2
"""Pause after the nodes that were asked have failed: their place is found again in
about as long."""


@attrs.define(eq=False, repr=False)
class TablesFollower:
    """Chooses between the store and other nodes, again and again."""

    followers: Mapping[str, TableFollower]
    timer: Timer
    relay: RelayClient | None = None
    """None where there are no other nodes."""
    begin_spread_s: float = 0.0
    """Within this time the store is first asked, in seconds."""
    _failed_in_row: int = 0
    _store_from_s: float = -math.inf
    """When the store may be asked again."""

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._begin()
        while True:
            asked_s = self.timer.now_s()
            reader = self.relay.choice.choose() if self.relay is not None else None
            if reader is None:
                await self._follow_store()
            elif await self.relay.ask(reader, self.followers):
                self._failed_in_row = 0
                # Changes gather meanwhile: a group that forms brings several.
                await self.timer.sleep(self._gather_s())
            else:
                await self._after_failure(asked_s)

    async def _begin(self) -> None:
        """Ask the store for the table that names the other nodes, and for no other.

        They have all tables: a start then costs the store one read instead of three
        reads and the watches that follow them.
        """
        if self.relay is None:
            return
        await self.timer.sleep(self.begin_spread_s * self.timer.rng.random())
        if not await self.followers[SHARED_TABLE].refresh():
            # The store is away: one table is asked for from now on, the others wait.
            probe = next(iter(self.followers.values()))
            probe.failed(Failure.from_code(ResultCode.STORE_UNAVAILABLE))

    def _gather_s(self) -> float:
        return max(f.gather_s for f in self.followers.values())

    async def _follow_store(self) -> None:
        """Follow every table at the store, as long as it is this node's turn."""
        tasks = TaskSet()
        has_none = not any(f.is_loaded for f in self.followers.values())
        retry_most_s = UNLOADED_RETRY_MOST_S if has_none else RETRY_MOST_S
        if self._whose_turn() is not None:
            retry_most_s *= self._spread()
        probe, *others = self.followers.values()
        try:
            self._follow(tasks, probe, retry_most_s, None)
            for follower in others:
                self._follow(tasks, follower, retry_most_s, probe)
            while self._reads_store(probe):
                await self.timer.sleep(CHOICE_LOOK_S)
                await self._look_elsewhere(probe)
        finally:
            await tasks.close()

    def _reads_store(self, probe: TableFollower) -> bool:
        """Return whether this node goes on asking the store.

        One that has just started first takes the tables whole, as long as the store
        answers: they are on their way, and other nodes may have just started as well.
        """
        if self.relay is None or self.relay.choice.choose() is None:
            return True
        is_loaded = all(f.is_loaded for f in self.followers.values())
        return not is_loaded and not probe.is_failing

    def _whose_turn(self) -> NodeAddress | None:
        return self.relay.choice.whose_turn() if self.relay is not None else None

    async def _look_elsewhere(self, probe: TableFollower) -> None:
        """Ask the node whose turn it is, while the store does not answer this one.

        This node reads only because others have asked it to. It looks for the store
        rarely, and another node may find its return first.
        """
        reader = self._whose_turn()
        if reader is not None and probe.age_s() > ELSEWHERE_AFTER_S:
            await self.relay.ask(reader, self.followers)

    def _follow(
        self,
        tasks: TaskSet,
        follower: TableFollower,
        retry_most_s: float,
        probe: TableFollower | None,
    ) -> None:
        async def follow() -> None:
            await follower.follow(retry_most_s, probe)

        kept = self.timer.keep(follow, name=follower.table)
        tasks.spawn(kept, f"follow-{follower.table}")

    def _spread(self) -> float:
        """Return how many times more rarely each of many nodes looks for the store."""
        if self.relay is None:
            return 1.0
        return max(len(self.relay.choice.nodes()) / NODES_PER_PROBE, 1.0)

    async def _after_failure(self, asked_s: float) -> None:
        """Go on to the next node, and after some to the store itself.

        Args:
            asked_s: When the node was asked that failed. One that is only behind holds
                the question for as long as a pause would be, in case it hears news.
        """
        self._failed_in_row += 1
        if self._failed_in_row < MOST_ASKED:
            return
        self._failed_in_row = 0
        if self.timer.now_s() >= self._store_from_s:
            await self._ask_store()
        pause_s = asked_s + self.timer.jittered(NEXT_ROUND_S) - self.timer.now_s()
        if pause_s > 0:
            await self.timer.sleep(pause_s)

    async def _ask_store(self) -> None:
        """Ask the store itself, for one table first: it may be away."""
        probe, *others = self.followers.values()
        answered = await probe.refresh()
        if answered:
            answered = all(await asyncio.gather(*(f.refresh() for f in others)))
        if not answered:
            again_s = self.timer.jittered(STORE_AGAIN_S * self._spread())
            self._store_from_s = self.timer.now_s() + again_s
