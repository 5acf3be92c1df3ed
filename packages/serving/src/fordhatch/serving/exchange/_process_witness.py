"""A connection to the process that sends an answer, besides the answer's own."""

from __future__ import annotations

from typing import Protocol

import attrs

from fordhatch.adapter import HeldQuery
from fordhatch.catalog import BackendServer
from fordhatch.core import TaskSet, Timer
from fordhatch.registry import BackendProber

LOOK_INTERVAL_S = 0.025
"""Time between two looks at the answer's connection."""

RENEWAL_INTERVAL_S = 4.0
"""Time after which a new connection takes the place of an idle one: backend servers
close connections that are idle for some seconds."""


class WatchedAnswer(Protocol):
    """An answer whose connection can be looked at."""

    backend: BackendServer

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body has been read."""
        ...

    async def is_open(self) -> bool:
        """Return whether its connection is certainly open at the time of the call."""
        ...


@attrs.define(eq=False, repr=False)
class ProcessWitness:
    """Holds a connection that the sender of an answer has accepted.

    One process has an address at a time. If the answer's connection is open after
    another one to the same address was opened, the same process has accepted both; and
    if it answers on the other one after the answer's end, it has not ended before.
    """

    answer: WatchedAnswer
    prober: BackendProber
    timer: Timer
    query: HeldQuery | None = None
    """On a connection that the sender of the answer has accepted; None without one."""
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(self) -> None:
        """Open connections until the answer has ended."""
        self._tasks.spawn(self._run(), f"witness-{self.answer.backend.backend_id}")

    async def _run(self) -> None:
        while not self.answer.has_ended:
            await self._renew()
            await self.timer.sleep(RENEWAL_INTERVAL_S)

    async def _renew(self) -> None:
        query = self.prober.hold(self.answer.backend)
        try:
            if await query.wait_until_open() and await self._is_answer_open():
                self.query, query = query, self.query
        finally:
            if query is not None:
                query.close()

    async def _is_answer_open(self) -> bool:
        """Return whether the answer's connection is open now, and not ended already."""
        while not self.answer.has_ended:
            if await self.answer.is_open():
                return True
            await self.timer.sleep(LOOK_INTERVAL_S)
        return False

    def close(self) -> None:
        """Close all connections."""
        self._tasks.cancel()
        if self.query is not None:
            self.query.close()
