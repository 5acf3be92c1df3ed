"""One group's slots and queue at a home node."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from fordhatch.core import Failure, ResultCode, Timer

from ._fair_queue import FairQueue, Waiting

SMOOTHING = 0.1
"""Weight of the newest observation in the mean service time."""

SHORTEST_RETRY_AFTER_S = 0.5
"""A refused caller is never told to come back sooner."""


@attrs.define(eq=False)
class GroupDesk:
    """Limits how many requests run on a group, and lets the others wait fairly."""

    capacity: int
    queue: FairQueue
    max_wait_s: float
    """Nobody waits longer for a slot, however late the deadline is."""
    timer: Timer
    running: int = 0
    mean_service_s: float = 0.0

    @classmethod
    def from_limits(
        cls, capacity: int, max_queued: int, max_wait_s: float, timer: Timer
    ) -> GroupDesk:
        """Return an idle desk."""
        return cls(capacity, FairQueue(max_queued), max_wait_s, timer)

    def expected_wait_s(self, workspace: str, weight: float) -> float:
        """Return how long a workspace's request that arrives now would wait."""
        if self.running < self.capacity:
            return 0.0
        ahead = self.queue.ahead_of(workspace, weight)
        return (ahead + 1) * self.mean_service_s / max(self.capacity, 1)

    async def enter(
        self, workspace: str, weight: float, priority: int, timeout_s: float
    ) -> Result[None, Failure]:
        """Wait for a slot.

        Args:
            workspace: Whose request it is.
            weight: The workspace's share.
            priority: Higher goes first within the workspace.
            timeout_s: Time left until the deadline.

        Returns:
            A failure, with when to come back, as soon as it is clear that the
            request will not get its turn in time.
        """
        if self.running < self.capacity and not len(self.queue):
            self.running += 1
            return Ok(None)
        timeout_s = min(timeout_s, self.max_wait_s)
        expected_s = self.expected_wait_s(workspace, weight)
        if expected_s >= timeout_s:
            return Err(_overloaded("the queue is too long", expected_s))
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        entry = Waiting(workspace, weight, priority, turn)
        if not self.queue.push(entry):
            return Err(_overloaded("the queue is full", expected_s))
        return await self._wait(entry, timeout_s)

    async def _wait(self, entry: Waiting, timeout_s: float) -> Result[None, Failure]:
        try:
            granted = await asyncio.wait_for(asyncio.shield(entry.turn), timeout_s)
        except TimeoutError:
            self._give_up(entry)
            return Err(_overloaded("no slot within the time to wait", timeout_s))
        except asyncio.CancelledError:
            self._give_up(entry)
            raise
        if not granted:
            return Err(_overloaded("pushed out by fairer shares", timeout_s))
        return Ok(None)

    def _give_up(self, entry: Waiting) -> None:
        self.queue.discard(entry)
        granted = entry.turn.done() and not entry.turn.cancelled()
        if granted and entry.turn.result():
            # The slot was granted in the same moment; it goes to the next.
            self.leave(None)
        entry.turn.cancel()

    def leave(self, service_s: float | None) -> None:
        """Give a slot back.

        Args:
            service_s: How long the request ran; None leaves the mean alone.
        """
        self.running -= 1
        if service_s is not None:
            weight = SMOOTHING if self.mean_service_s else 1.0
            self.mean_service_s += weight * (service_s - self.mean_service_s)
        self.admit()

    def admit(self) -> None:
        """Hand free slots to those whose turn it is."""
        while self.running < self.capacity:
            entry = self.queue.pop()
            if entry is None:
                return
            if not entry.turn.done():
                entry.turn.set_result(True)
                self.running += 1


def _overloaded(message: str, wait_s: float) -> Failure:
    retry_after_s = round(max(wait_s, SHORTEST_RETRY_AFTER_S), 1)
    return Failure.from_code(
        ResultCode.OVERLOADED, message, retry_after_s=retry_after_s
    )
