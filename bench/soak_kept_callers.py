"""Callers that use their connections until the process at the other end is gone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence

import attrs
from fleet import NodeProcess
from soak_dialects import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Dialect,
    Message,
    OwnDialect,
)
from soak_exchanges import PATIENCE_S, Exchange
from soak_http import Connection, Habits
from soak_ledger import Ledger
from soak_timeline import Timeline

TIMEOUTS_S = (8.0, 15.0, 15.0)
"""Time limits of requests."""

MAX_REQUESTS = 40
"""Requests on one connection at the most."""

EVENTS = (5, 60, 300, 300)
"""Upper ends of the ranges from which the length of a stream is drawn."""


@attrs.frozen
class Draft:
    """A request that was sent and not yet answered."""

    exchange: Exchange
    message: Message
    events: int
    """Number of events of the right answer to a request to a model."""


@attrs.define(eq=False, repr=False)
class KeptCallers:
    """Callers that keep to a node, also while it stops."""

    nodes: Sequence[NodeProcess]
    timeline: Timeline
    is_stopping: Callable[[], bool]
    ledger: Ledger
    rng: random.Random
    dialect: Dialect = attrs.field(factory=OwnDialect)
    names_requests: bool = False
    """Whether callers give each request an id, as on the platform."""
    _sent: int = 0

    async def run(self, number: int) -> None:
        """Use one connection after another until the run stops.

        Args:
            number: Number of the caller, which is part of its prompts.
        """
        count = 0
        while not self.is_stopping():
            node = self.rng.choice(self.nodes)
            try:
                life = self.timeline.life(node)
                habits = Habits.from_rng(self.rng)
                opened = await Connection.open(node.url, life, habits)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                count = await self._use(opened, f"kept caller {number}", count)
            finally:
                opened.close()

    async def _use(self, connection: Connection, caller: str, count: int) -> int:
        """Send requests until the connection ends; return the number of the last."""
        last = count + self.rng.randrange(1, MAX_REQUESTS)
        sent: list[Draft] = []
        with contextlib.suppress(OSError):
            while sent or (count < last and connection.is_open):
                if not sent:
                    count += 1
                    sent.append(self._send(connection, f"{caller} {count}"))
                if self._pipelines_now(connection, count < last):
                    count += 1
                    await asyncio.sleep(self.rng.uniform(0.0, 0.3))
                    sent.append(self._send(connection, f"{caller} {count}"))
                await self._receive(connection, sent.pop(0))
                self._restart_clocks(sent)
                if self.is_stopping() or connection.habits.half_closes:
                    last = count
                if not connection.is_open:
                    break
                idles = connection.habits.idles and self.rng.random() < 0.3
                await asyncio.sleep(self.rng.random() * (4.0 if idles else 0.1))
        self._restart_clocks(sent)
        for draft in sent:
            draft.exchange.end()
        return count

    def _restart_clocks(self, sent: list[Draft]) -> None:
        """Count the time of pipelined requests from now on.

        A node takes a request only when the answer before it has ended.
        """
        for draft in sent:
            draft.exchange.sent_s = time.monotonic()

    def _pipelines_now(self, connection: Connection, has_more: bool) -> bool:
        if self.is_stopping() or not has_more:
            return False
        return connection.habits.pipelines and self.rng.random() < 0.7

    def _send(self, connection: Connection, text: str) -> Draft:
        kind = self.rng.choice(self.dialect.kinds)
        self._sent += 1
        exchange = Exchange(
            text,
            f"kept {kind}",
            connection.life,
            self.rng.choice(TIMEOUTS_S),
            is_stream=kind == "stream",
            reads_slowly=connection.habits.reads_slowly,
            is_half_closed=connection.habits.half_closes,
            known_id=f"soak-{self._sent}" if self.names_requests else "",
            has_last_line=not self.names_requests,
        )
        events = self.rng.randint(5, self.rng.choice(EVENTS))
        message = self.dialect.message(exchange, kind, events)
        service = PLAIN_SERVICE if kind == "plain" else ENGINE_SERVICE
        self.ledger.retries.requested(service)
        self.ledger.exchanges.append(exchange)
        connection.send(message.encode())
        return Draft(exchange, message, events)

    async def _receive(self, connection: Connection, draft: Draft) -> None:
        exchange = draft.exchange
        async with asyncio.timeout(exchange.timeout_s + PATIENCE_S):
            await connection.receive(exchange)
        if exchange.status == 200 and exchange.is_whole:
            exchange.wrong = self.dialect.fault(exchange, draft.message, draft.events)
