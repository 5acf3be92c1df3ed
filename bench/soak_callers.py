"""The soak's callers: requests of every kind, and what must hold for their answers."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from demo import chat_body, expected
from fleet import API_KEY, NodeChild
from soak_ledger import Ledger, streamed_text, whole_text

ATTEMPTS = 3
"""Tries of a request with an idempotency key."""


@attrs.define(eq=False, repr=False)
class Callers:
    """Sends requests to whatever node a balancer would choose."""

    node: Callable[[], NodeChild]
    is_stopping: Callable[[], bool]
    ledger: Ledger
    rng: random.Random

    async def run(self, number: int) -> None:
        """Send requests of every kind until the run stops."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=30.0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            count = 0
            while not self.is_stopping():
                count += 1
                text = f"caller {number} request {count}"
                kind = self.rng.randrange(3)
                if kind == 0:
                    await self._chat(session, text, stream=True)
                elif kind == 1:
                    await self._chat(session, text, stream=False)
                else:
                    await self._bill(session, text, has_key=self.rng.random() < 0.7)
                await asyncio.sleep(self.rng.random() * 0.1)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
    ) -> tuple[int, str]:
        """Return status and body; status 0 where the connection broke."""
        sent = {"Authorization": f"Bearer {API_KEY}", "X-Timeout-S": "15", **headers}
        url = self.node().url + path
        try:
            async with session.post(url, json=body, headers=sent) as reply:
                return reply.status, await reply.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, ""

    async def _chat(
        self, session: aiohttp.ClientSession, text: str, *, stream: bool
    ) -> None:
        body = chat_body(text, stream=stream)
        status, content = await self._send(session, "/v1/chat/completions", body, {})
        if status != 200:
            self.ledger.outcomes[f"chat {status}"] += 1
            return
        answer = streamed_text(content) if stream else whole_text(content)
        if answer is None:
            self.ledger.outcomes["chat broken off"] += 1
            return
        self.ledger.outcomes["chat whole"] += 1
        if answer != expected(text):
            self.ledger.violate(f"wrong answer to {text!r}: {answer[:80]!r}")

    async def _bill(
        self, session: aiohttp.ClientSession, text: str, *, has_key: bool
    ) -> None:
        body = {"text": text}
        content = hashlib.sha256(json.dumps(body).encode()).hexdigest()
        headers = {"Idempotency-Key": text} if has_key else {}
        self.ledger.once.add(content)
        said_not_run = True
        for _ in range(ATTEMPTS if has_key else 1):
            status, answer = await self._send(
                session, "/services/yard/billing/1", body, headers
            )
            if status == 200:
                said_not_run = False
                self.ledger.outcomes["bill whole"] += 1
                if json.loads(answer)["body"] != content:
                    self.ledger.violate(f"answer of another request to {text!r}")
                break
            ran = json.loads(answer)["error"]["ran"] if status else "maybe"
            said_not_run &= ran == "no"
            self.ledger.outcomes[f"bill {status} {ran}"] += 1
            await asyncio.sleep(0.2)
        if said_not_run:
            self.ledger.not_run.add(content)
