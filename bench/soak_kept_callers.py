"""Callers that use their connections until the process at the other end is gone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence

import attrs
from demo import chat_body
from fleet import NodeProcess
from soak_exchanges import Exchange
from soak_http import Connection, Habits
from soak_ledger import Ledger, body_text, streamed_text
from soak_timeline import Timeline

from fordhatch_standins import answer_text

TIMEOUTS_S = (8.0, 15.0, 15.0)
"""Time limits of requests."""

PATIENCE_S = 8.0
"""How long a caller waits for an answer after its time limit."""

MAX_REQUESTS = 40
"""Requests on one connection at the most."""

EVENTS = (5, 60, 300, 300)
"""Upper ends of the ranges from which the length of a stream is drawn."""

TOKENS_PER_EVENT = 5

CHAT_PATH, PLAIN_PATH = "/v1/chat/completions", "/services/yard/bookings/1"


@attrs.frozen
class Draft:
    """A request that was sent and not yet answered."""

    exchange: Exchange
    events: int = 0
    """Number of events of the right answer; 0 for a plain call."""


@attrs.define(eq=False, repr=False)
class KeptCallers:
    """Callers that keep to a node, also while it stops."""

    nodes: Sequence[NodeProcess]
    timeline: Timeline
    is_stopping: Callable[[], bool]
    ledger: Ledger
    rng: random.Random

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
        kind = self.rng.choice(["stream", "stream", "chat", "plain"])
        timeout_s = self.rng.choice(TIMEOUTS_S)
        exchange = Exchange(
            text,
            f"kept {kind}",
            connection.life,
            timeout_s,
            is_stream=kind == "stream",
            is_half_closed=connection.habits.half_closes,
        )
        self.ledger.exchanges.append(exchange)
        if kind == "plain":
            self.ledger.retries.requested("yard-app")
            connection.send(PLAIN_PATH, {"text": text}, timeout_s)
            return Draft(exchange)
        events = self.rng.randint(5, self.rng.choice(EVENTS))
        body = chat_body(text, stream=exchange.is_stream)
        body["max_tokens"] = events * TOKENS_PER_EVENT
        self.ledger.retries.requested("a100")
        connection.send(CHAT_PATH, body, timeout_s)
        return Draft(exchange, events)

    async def _receive(self, connection: Connection, draft: Draft) -> None:
        exchange = draft.exchange
        try:
            async with asyncio.timeout(exchange.timeout_s + PATIENCE_S):
                await connection.receive(exchange)
        except TimeoutError:
            self.ledger.outcomes["kept without an end"] += 1
            raise
        if exchange.status == 200 and exchange.is_whole:
            self._check_content(draft)

    def _check_content(self, draft: Draft) -> None:
        exchange, content = draft.exchange, draft.exchange.body.decode()
        if not draft.events:
            if f'"{PLAIN_PATH.removeprefix("/services/yard")}"' not in content:
                exchange.wrong = f"wrong answer {content!r:.80}"
            return
        answer = streamed_text(content) if exchange.is_stream else body_text(content)
        text = exchange.text.encode()
        wanted = "".join(answer_text(text, index) for index in range(draft.events))
        if answer != wanted:
            exchange.wrong = f"wrong answer {answer!r:.80}"
