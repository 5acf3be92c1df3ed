"""Callers of the soak test: they send all kinds of requests and check the answers."""

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
from fleet import API_KEY, NodeProcess
from soak_exchanges import Exchange
from soak_ledger import Ledger, body_text, streamed_text
from soak_timeline import Timeline

from fordhatch.core import ResultCode

SERVICE_BY_PATH = {"/v1/chat/completions": "a100"}
"""Service that a path's requests go to."""

PLAIN_SERVICE = "yard-app"
"""Service of all other paths."""

TIMEOUT_S = 15.0
"""Time limit of each request."""

KEYED_ATTEMPTS = 3
"""Attempts of a request that has an idempotency key."""


BAD_FRACTION = 0.15
"""Fraction of the requests that have the bad message, while there is one."""

COMMON_MESSAGE = "Answer in one sentence."
"""The first message of all chats."""


def _code(content: str) -> int:
    """Return the result code in the body of a refusal."""
    return json.loads(content)["error"]["code"]


def _is_whole_bill(answer: str) -> bool:
    """Return whether a plain answer is whole: only then it is a JSON object."""
    try:
        return isinstance(json.loads(answer), dict)
    except ValueError:
        return False


@attrs.define(eq=False, repr=False)
class Callers:
    """Callers that send each request to a node chosen as by a load balancer."""

    choose_node: Callable[[], NodeProcess]
    is_stopping: Callable[[], bool]
    ledger: Ledger
    rng: random.Random
    timeline: Timeline
    bad_message: Callable[[], str]
    """Returns the message that crashes engines now, or an empty text."""

    async def run(self, number: int) -> None:
        """Send requests of random kinds until the run stops.

        Args:
            number: Number of the caller, which is part of its prompts.
        """
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
                bad = self.bad_message()
                if bad and self.rng.random() < BAD_FRACTION:
                    await self._chat_badly(session, bad, text)
                elif kind == 0:
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
        *,
        is_bad: bool = False,
    ) -> Exchange:
        """Send a request and read the answer, as far as it comes."""
        all_headers = {
            "Authorization": f"Bearer {API_KEY}",
            "X-Timeout-S": f"{TIMEOUT_S:g}",
            **headers,
        }
        self.ledger.retries.requested(SERVICE_BY_PATH.get(path, PLAIN_SERVICE))
        node = self.choose_node()
        exchange = Exchange(
            body["messages"][-1]["content"] if "messages" in body else body["text"],
            "chat" if "messages" in body else "bill",
            self.timeline.life(node),
            TIMEOUT_S,
            is_stream=body.get("stream", False),
            is_retried="Idempotency-Key" in headers,
            crashes_engines=is_bad,
        )
        self.ledger.exchanges.append(exchange)
        try:
            url = node.url + path
            async with session.post(url, json=body, headers=all_headers) as reply:
                exchange.status = reply.status
                exchange.headers = {k.lower(): v for k, v in reply.headers.items()}
                async for piece in reply.content.iter_any():
                    exchange.add(piece)
                exchange.is_complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The checks at the end find out whether the answer may be cut.
            exchange.is_complete = False
        finally:
            exchange.end()
        return exchange

    async def _chat(
        self, session: aiohttp.ClientSession, text: str, *, stream: bool
    ) -> None:
        body = chat_body(text, stream=stream)
        body["messages"].insert(0, {"role": "system", "content": COMMON_MESSAGE})
        exchange = await self._send(session, "/v1/chat/completions", body, {})
        status, content = exchange.final_status, exchange.body.decode()
        if status != 200:
            self.ledger.outcomes[f"chat {status}"] += 1
            if status == 503 and _code(content) == ResultCode.REQUEST_QUARANTINED:
                self.ledger.add_violation(f"sound chat {text!r} is quarantined")
            return
        answer = streamed_text(content) if stream else body_text(content)
        if answer is None:
            self.ledger.outcomes["chat broken off"] += 1
            return
        self.ledger.outcomes["chat whole"] += 1
        if answer != expected(text):
            exchange.wrong = f"wrong answer {answer[:80]!r}"

    async def _chat_badly(
        self, session: aiohttp.ClientSession, bad: str, text: str
    ) -> None:
        body = chat_body(text, stream=False)
        body["messages"][:0] = [
            {"role": "system", "content": COMMON_MESSAGE},
            {"role": "user", "content": bad},
        ]
        path = "/v1/chat/completions"
        exchange = await self._send(session, path, body, {}, is_bad=True)
        self.ledger.outcomes[f"bad chat {exchange.final_status}"] += 1

    async def _bill(
        self, session: aiohttp.ClientSession, text: str, *, has_key: bool
    ) -> None:
        body = {"text": text}
        content = hashlib.sha256(json.dumps(body).encode()).hexdigest()
        headers = {"Idempotency-Key": text} if has_key else {}
        self.ledger.at_most_once.add(content)
        all_not_run = True
        for _ in range(KEYED_ATTEMPTS if has_key else 1):
            exchange = await self._send(
                session, "/services/yard/billing/1", body, headers
            )
            status, answer = exchange.final_status, exchange.body.decode()
            if status == 200:
                all_not_run = False
                self.ledger.outcomes["bill whole"] += 1
                if not _is_whole_bill(answer):
                    exchange.wrong = "part of an answer"
                elif json.loads(answer)["body"] != content:
                    exchange.wrong = "answer of another request"
                break
            all_not_run &= exchange.ran == "no"
            self.ledger.outcomes[f"bill {status} {exchange.ran}"] += 1
            await asyncio.sleep(0.2)
        if all_not_run:
            self.ledger.not_run.add(content)
