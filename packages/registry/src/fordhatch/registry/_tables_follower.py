"""Keeps every table of a node up to date, from other nodes or from the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping

import attrs

from fordhatch.core import TaskSet, Timer

from ._relay import RelayClient
from ._table_follower import TableFollower

CHOICE_LOOK_S = 0.3
"""How often a node that asks the store looks whether another should do it."""

MOST_ASKED = 2
"""Nodes that are asked in a row before the store itself is: each may take two thirds
of a second to fail, and a change must be known everywhere within two."""

STORE_AGAIN_S = 1.0
"""A store that did not answer is asked again by this node after this time; meanwhile
the nodes that read for others find its return, and tell."""

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
    _failed_in_row: int = 0
    _store_from_s: float = -math.inf
    """When the store may be asked again."""

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            reader = self.relay.choice.choose() if self.relay is not None else None
            if reader is None:
                await self._follow_store()
            elif await self.relay.ask(reader, self.followers):
                self._failed_in_row = 0
                # Changes gather meanwhile: a group that forms brings several.
                await self.timer.sleep(self._gather_s())
            else:
                await self._after_failure()

    def _gather_s(self) -> float:
        return max(f.gather_s for f in self.followers.values())

    async def _follow_store(self) -> None:
        """Follow every table at the store, as long as it is this node's turn."""
        tasks = TaskSet()
        keep = self.timer.keep
        try:
            for name, follower in self.followers.items():
                tasks.spawn(keep(follower.follow, name=name), f"follow-{name}")
            while self.relay is None or self.relay.choice.choose() is None:
                await self.timer.sleep(CHOICE_LOOK_S)
        finally:
            await tasks.close()

    async def _after_failure(self) -> None:
        self._failed_in_row += 1
        if self._failed_in_row < MOST_ASKED:
            return
        self._failed_in_row = 0
        if self.timer.now_s() >= self._store_from_s:
            await self._ask_store()
        await self.timer.sleep(self.timer.jittered(NEXT_ROUND_S))

    async def _ask_store(self) -> None:
        answered = await asyncio.gather(*(f.refresh() for f in self.followers.values()))
        if not all(answered):
            again_s = self.timer.jittered(STORE_AGAIN_S)
            self._store_from_s = self.timer.now_s() + again_s
