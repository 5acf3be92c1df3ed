"""Separate processes: chat completions with a message that crashes engines."""

from __future__ import annotations

import asyncio
import json

from fleet import API_KEY, Fleet, NodeProcess, declared_state

from fordhatch.core import ResultCode

NODES, ENGINES, GROUPS = 3, 16, 4
COMMON, BAD = "You answer in one sentence.", "what crashes whoever reads it"
REQUESTS = 30
INTERVAL_S = 0.5
ALLOWED_LATE_ARRIVALS = 3


async def ask(fleet: Fleet, node: NodeProcess, *prompt: str) -> tuple[int, str]:
    """Send a chat completion with one message for each text; return status and body."""
    body = {
        "model": "estimates",
        "messages": [{"role": "user", "content": text} for text in prompt],
        "max_tokens": 20,
    }
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"{node.url}/v1/chat/completions"
    async with fleet.session.post(url, json=body, headers=headers) as reply:
        return reply.status, await reply.text()


async def until_served(fleet: Fleet, node: NodeProcess, text: str) -> None:
    """Ask again until a sound request is served, which may need new groups."""
    async with asyncio.timeout(30.0):
        while (await ask(fleet, node, COMMON, text))[0] != 200:
            await asyncio.sleep(0.2)


# Guards against chat completions that share one bad message, no two of them alike, and
# crash one backend server after the other.
async def test_chats_with_a_message_that_crashes_engines_are_stopped() -> None:
    async with Fleet.create() as fleet:
        await fleet.start_standins(engines=ENGINES, spare=0)
        for index in range(NODES):
            await fleet.start_node(fleet.settings(index))
        await fleet.apply(fleet.nodes[0], declared_state(groups=GROUPS), 0, "apply-1")
        await fleet.until_converged(fleet.nodes[0], NODES)
        for node in fleet.nodes:
            await until_served(fleet, node, "before")
        await fleet.act("crash_under", parts=[BAD])
        for number in range(REQUESTS):
            node = fleet.nodes[number % NODES]
            await ask(fleet, node, COMMON, BAD, f"request {number}")
            await asyncio.sleep(INTERVAL_S)
        counts = await fleet.counts()
        assert counts["crashing_parts"][BAD]["crashes"] > 0
        late = counts["crashing_parts"][BAD]["late"]
        assert late <= ALLOWED_LATE_ARRIVALS, counts["crashing_parts"]
        for node in fleet.nodes:
            await until_served(fleet, node, "after")
            status, body = await ask(fleet, node, COMMON, BAD, "one more")
            assert status == 503
            assert json.loads(body)["error"]["code"] == ResultCode.REQUEST_QUARANTINED
        assert counts["violations"] == []
