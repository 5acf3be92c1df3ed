"""The whole path on one machine: apply, form groups, serve, lose a member, repair."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from fleet import BIN, OPERATOR_TOKEN, Fleet, NodeChild

from fordhatch.config import hash_key
from fordhatch_standins import token_text

REGION = "gulf-south"
ZONES = ["mobile-yard", "savannah-yard", "houston-yard"]
API_KEY = "savannah-depot-demo-key"
TOKENS = 24
SERVE_LIMIT_S = 25.0


def declared_state() -> dict[str, Any]:
    """Return the example file, cut down to two groups and one plain service."""
    path = Path(__file__).parent.parent / "examples" / "pruitt.json"
    declared = json.loads(path.read_text())
    declared["model_services"][0]["groups"] = 2
    declared["plain_services"][0]["runners"] = 1
    declared["workspaces"][0]["api_keys"] = [hash_key(API_KEY)]
    return declared


def say(text: str) -> None:
    """Print one step with the time since the start."""
    print(f"[{time.monotonic() - STARTED_S:5.1f} s] {text}", flush=True)


STARTED_S = time.monotonic()


async def chat(fleet: Fleet, node: NodeChild, prompt: str, stream: bool) -> str:
    """Send a chat completion and return its text, or raise on a short answer."""
    body = {
        "model": "estimates",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": stream,
    }
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"{node.url}/v1/chat/completions"
    async with fleet.session.post(url, json=body, headers=headers) as reply:
        content = await reply.text()
    if not reply.ok:
        raise RuntimeError(f"{reply.status}: {content}")
    if not stream:
        return json.loads(content)["choices"][0]["message"]["content"]
    text, lines = "", content.split("\n\n")
    if "data: [DONE]" not in lines:
        raise RuntimeError(f"the stream has no end mark: {content[-300:]}")
    for line in lines:
        if line.startswith("data: {"):
            text += json.loads(line[6:])["choices"][0]["delta"].get("content", "")
    return text


def expected(prompt: str) -> str:
    """Return the answer that the stand-in engine gives to a prompt."""
    return "".join(token_text(prompt, "", index) for index in range(TOKENS))


async def ask_all(fleet: Fleet, nodes: list[NodeChild], label: str, count: int) -> int:
    """Ask through every node, streamed and not; return how many were complete."""
    prompts = [f"{label} {index}: dented corner post" for index in range(count)]
    answers = await asyncio.gather(
        *(
            chat(fleet, nodes[i % len(nodes)], prompt, bool(i % 2))
            for i, prompt in enumerate(prompts)
        )
    )
    return sum(a == expected(p) for a, p in zip(answers, prompts, strict=True))


async def wait_serving(fleet: Fleet, node: NodeChild, epoch_sum: int = 0) -> list[dict]:
    """Wait until both groups serve; return them."""
    deadline_s = time.monotonic() + SERVE_LIMIT_S
    while time.monotonic() < deadline_s:
        groups = (await fleet.read(node, "/groups"))["groups"]
        models = [g for g in groups if g["service"] == "estimator-llm" and g["serving"]]
        plain = [g for g in groups if g["service"] == "yard-app" and g["serving"]]
        if len(models) == 2 and plain and sum(g["epoch"] for g in models) > epoch_sum:
            return models
        await asyncio.sleep(0.1)
    raise TimeoutError(f"groups do not serve: {groups}")


async def command(node: NodeChild, *words: str) -> None:
    """Run the operators' command line against a node and show what it prints."""
    say(f"$ fordhatch {' '.join(words)}")
    env = {
        **os.environ,
        "FORDHATCH_URL": node.operators_url,
        "FORDHATCH_TOKEN": OPERATOR_TOKEN,
    }
    process = await asyncio.create_subprocess_exec(
        str(BIN / "fordhatch"), *words, env=env
    )
    if await process.wait():
        raise RuntimeError(f"fordhatch {words[0]} failed")


async def main() -> None:
    """Run the demonstration; any shortfall raises."""
    async with Fleet.from_directory() as fleet:
        say(f"logs are in {fleet.directory}")
        await fleet.start_platform()
        for index in range(9):
            await fleet.start_backend(
                "engine", f"gpu-{index + 1}", zone=ZONES[index % 3], load_s=0.5
            )
        await fleet.start_backend("plain", "yard-1", service="yard-app")
        nodes = await fleet.start_nodes(3, REGION, ZONES)
        for node in nodes:
            await fleet.wait_http(f"{node.operators_url}/metrics")
        say("3 nodes, 9 engines, 1 plain service and the platform are up")

        path = fleet.directory / "declared.json"
        path.write_text(json.dumps(declared_state(), indent=2))
        await command(nodes[0], "validate", str(path))
        await command(nodes[0], "apply", str(path))
        groups = await wait_serving(fleet, nodes[1])
        say("two groups of 4 serve")
        await command(nodes[2], "get", "groups")

        whole = await ask_all(fleet, nodes, "survey", 12)
        say(f"{whole} of 12 chat completions complete and correct, through 3 nodes")
        headers = {"Authorization": f"Bearer {API_KEY}", "Idempotency-Key": "gate-17"}
        url = f"{nodes[1].url}/services/yard/releases/17"
        replies = []
        for _ in range(2):
            async with fleet.session.post(url, json={"box": 17}, headers=headers) as r:
                replies.append((r.status, r.headers.get("X-Replayed"), await r.text()))
        say(f"a release sent twice with one key: {replies}")
        ran = await fleet.get(f"{fleet.children['yard-1'].url}/counts")
        say(f"the yard application ran it {sum(ran['executions'].values())} time")

        victim = groups[0]["members"][2]
        epochs = sum(g["epoch"] for g in groups)
        say(f"killing {victim}, a member of {groups[0]['group_id']}")
        await fleet.children[victim].kill()
        during = await ask_all(fleet, nodes, "while one group is broken", 12)
        say(f"{during} of 12 complete and correct while one group is broken")
        lost_s = time.monotonic()
        await wait_serving(fleet, nodes[1], epochs)
        took_s = time.monotonic() - lost_s
        say(f"the group is repaired with the spare, {took_s:.1f} s on")
        await command(nodes[2], "get", "groups")
        after = await ask_all(fleet, nodes, "after the repair", 12)
        say(f"{after} of 12 complete and correct after the repair")
        await command(nodes[0], "audit")
        await command(nodes[0], "status")
        once = sum(ran["executions"].values()) == 1 and replies[1][1] == "true"
        if (whole, during, after, once) != (12, 12, 12, True):
            raise RuntimeError("some answers were not complete")
    say("done, nothing is left running")


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except (RuntimeError, TimeoutError) as error:
        say(f"FAILED: {error}")
        sys.exit(1)
