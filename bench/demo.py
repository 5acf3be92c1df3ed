"""Demonstration on one machine: real processes, a member failure and the repair.

Starts the stand-ins and three nodes, applies an example file, sends requests and kills
a member of a group. Exits with status 0 if all answers are complete and correct, the
release ran once and the stand-ins detected no violation.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

from fleet import API_KEY, BIN, OPERATOR_TOKEN, Fleet, NodeProcess, declared_state

from fordhatch_standins import answer_text

TOKENS = 100
STARTED_S = time.monotonic()


def print_step(text: str) -> None:
    """Print a step with the time since the start."""
    print(f"[{time.monotonic() - STARTED_S:5.1f} s] {text}", flush=True)


def chat_body(prompt: str, *, stream: bool) -> dict[str, object]:
    """Return the request body of a chat completion."""
    return {
        "model": "estimates",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": stream,
    }


def expected(prompt: str) -> str:
    """Return the only correct answer to a prompt."""
    body = json.dumps(chat_body(prompt, stream=False)).encode()
    return "".join(answer_text(body, index) for index in range(TOKENS // 5))


async def chat(fleet: Fleet, node: NodeProcess, prompt: str, *, stream: bool) -> str:
    """Send a chat completion and return its text, empty if it is incomplete.

    Prints why it failed, if it did.
    """
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"{node.url}/v1/chat/completions"
    body = chat_body(prompt, stream=stream)
    async with fleet.session.post(url, json=body, headers=headers) as reply:
        content = await reply.text()
    if not reply.ok:
        print_step(f"FAILED {prompt!r} at {node.name}: {reply.status} {content}")
        return ""
    if not stream:
        return json.loads(content)["choices"][0]["message"]["content"]
    lines = content.split("\n\n")
    if "data: [DONE]" not in lines:
        print_step(f"FAILED {prompt!r} at {node.name}: broken off, {lines[-1]!r:.200}")
        return ""
    deltas = [
        json.loads(x[6:])["choices"][0]["delta"]
        for x in lines
        if x.startswith("data: {")
    ]
    return "".join(d.get("content", "") for d in deltas)


async def chat_through_all_nodes(fleet: Fleet, label: str, count: int = 12) -> int:
    """Send prompts through all nodes; return the number of correct answers.

    Every second answer is streamed.
    """
    prompts = [f"{label} {index}: dented corner post" for index in range(count)]
    answers = await asyncio.gather(
        *(
            chat(fleet, fleet.nodes[i % len(fleet.nodes)], p, stream=bool(i % 2))
            for i, p in enumerate(prompts)
        )
    )
    pairs = list(zip(answers, prompts, strict=True))
    for answer, prompt in pairs:
        if answer and answer != expected(prompt):
            print_step(f"FAILED {prompt!r}: not the answer to it: {answer!r:.200}")
    return sum(answer == expected(prompt) for answer, prompt in pairs)


async def run_command(node: NodeProcess, *words: str) -> None:
    """Run the operators' command line against a node.

    Raises:
        RuntimeError: If the command fails.
    """
    print_step(f"$ fordhatch {' '.join(words)}")
    env = {
        **os.environ,
        "FORDHATCH_URL": node.operators_url,
        "FORDHATCH_TOKEN": OPERATOR_TOKEN,
    }
    program = str(BIN / "fordhatch")
    process = await asyncio.create_subprocess_exec(program, *words, env=env)
    if await process.wait():
        raise RuntimeError(f"fordhatch {words[0]} failed")


async def send_release_twice(fleet: Fleet) -> int:
    """Send a release twice with the same key; return how often it ran."""
    headers = {"Authorization": f"Bearer {API_KEY}", "Idempotency-Key": "gate-17"}
    url = f"{fleet.nodes[1].url}/services/yard/releases/17"
    for _ in range(2):
        async with fleet.session.post(url, json={"box": 17}, headers=headers) as reply:
            await reply.read()
            replayed = reply.headers.get("X-Replayed", "false")
            print_step(f"release: status {reply.status}, replayed {replayed}")
    return sum((await fleet.counts())["contents"].values())


async def kill_member(fleet: Fleet, number: int) -> int:
    """Kill a group member while sending prompts; return the correct answers.

    Waits until the group is replaced.

    Args:
        fleet: The processes.
        number: Which of the members of all groups, the first group's head first.
    """
    before = (await fleet.counts())["groups"]
    places = [(name, m) for name, members in before.items() for m in members]
    name, member = places[number]
    print_step(f"killing {member}, a member of {name}")
    await fleet.act("kill", backend=member)
    complete = await chat_through_all_nodes(fleet, "while one group is broken")
    killed_s = time.monotonic()
    async with asyncio.timeout(30):
        while True:
            groups = (await fleet.counts())["groups"]
            if len(groups) == len(before) and name not in groups:
                break
            await asyncio.sleep(0.05)
    print_step(f"two groups serve again, {time.monotonic() - killed_s:.1f} s on")
    return complete


async def main(killed_member: int = 2) -> int:
    """Run the demonstration and return the exit status.

    Args:
        killed_member: Which member of the groups is killed; see ``kill_member``.
    """
    async with Fleet.create() as fleet:
        print_step(f"logs are in {fleet.directory}")
        await fleet.start_standins(engines=9)
        for index in range(3):
            await fleet.start_node(fleet.settings(index))
        print_step("3 nodes, 9 engines, 1 plain service and the store are up")
        path = fleet.directory / "declared.json"
        path.write_text(json.dumps(declared_state(), indent=2))
        first, _, last = fleet.nodes
        await run_command(first, "validate", str(path))
        await run_command(first, "apply", str(path))
        await fleet.until_converged(last, 3)
        await run_command(last, "get", "groups")
        complete = await chat_through_all_nodes(fleet, "survey")
        print_step(f"{complete} of 12 chat completions whole, through 3 nodes")
        ran = await send_release_twice(fleet)
        print_step(f"the yard application ran it {ran} time")
        during = await kill_member(fleet, killed_member)
        print_step(f"{during} of 12 whole while one group was broken")
        after = await chat_through_all_nodes(fleet, "after the repair")
        print_step(f"{after} of 12 whole after the repair")
        await run_command(first, "audit")
        await run_command(first, "status")
        violations = (await fleet.counts())["violations"]
    if (complete, during, after, ran, violations) != (12, 12, 12, 1, []):
        print_step(f"FAILED: not all whole, or the release not once; {violations}")
        return 1
    print_step("done, nothing is left running")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
