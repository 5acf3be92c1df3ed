"""The end of all requests of a node that stops."""

from __future__ import annotations

from typing import Protocol

import attrs

from fordhatch.core import Timer, log_event
from fordhatch.serving import NodeState

POLL_INTERVAL_S = 0.05
"""Time between checks whether a leaving node's last request has ended."""

LAST_ANSWERS_S = 0.15
"""Longest time in which requests that the node ends may get their last answer."""

LAST_ANSWERS_POLL_S = 0.005
"""Time between checks whether they have."""


class Listener(Protocol):
    """The listener for callers, with their connections."""

    async def stop_listening(self) -> None:
        """Accept no more connections; open ones are kept."""

    def close_idle(self) -> int:
        """Close connections without a request; returns how many may have one."""

    def has_unread(self) -> bool:
        """Return whether callers have not taken all of their answers."""


@attrs.define(eq=False, repr=False)
class Drain:
    """Lets the requests of a leaving node end, and ends those that are left."""

    state: NodeState
    timer: Timer
    listener: Listener

    async def run(self, listens_until_s: float) -> None:
        """End all requests within the time that the plan of the stop leaves.

        Args:
            listens_until_s: How long connections are accepted, in monotonic seconds.
        """
        answers_until_s = self.state.stop.answers_until_s
        while self.timer.now_s() < min(listens_until_s, answers_until_s):
            await self._wait(answers_until_s)
        await self.listener.stop_listening()
        while self.timer.now_s() < answers_until_s:
            is_owed = self.state.requests or self.listener.has_unread()
            # As long as the process is there, a request on a kept connection gets an
            # answer, and its connection ends with it.
            if not is_owed and not self.listener.close_idle():
                break
            await self._wait(answers_until_s)
        log_event("node_left", in_flight=self.state.in_flight)
        await self._end_all()

    async def _wait(self, answers_until_s: float) -> None:
        self.state.requests.refuse_waiting(answers_until_s)
        await self.timer.sleep(POLL_INTERVAL_S)

    async def _end_all(self) -> None:
        requests = self.state.requests
        requests.end_all()
        last_s = self.timer.now_s() + LAST_ANSWERS_S
        while requests and self.timer.now_s() < last_s:
            await self.timer.sleep(LAST_ANSWERS_POLL_S)
