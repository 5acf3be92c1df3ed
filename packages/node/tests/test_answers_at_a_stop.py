"""Answers of a node's process that is stopped: whole, refused or named in its log."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest
from raw_caller import Answer, Caller, request_bytes, streams, until
from stopping_node import GRACE_S, StoppingSite


async def runs_on(request, writer) -> None:
    await asyncio.sleep(60)


def outcome(answer: Answer) -> str:
    """Return how an answer ended, for a failure whether its request may have run."""
    if not answer.is_whole:
        return "cut" if answer.status else "no answer"
    if answer.status < 500:
        return "whole"
    has_not_run = json.loads(answer.body)["error"]["ran"] == "no"
    return "not run" if answer.status == 503 and has_not_run else "may have run"


# Guards against a stream that a leaving node takes on and can't finish.
async def test_a_stream_that_outlasts_the_stop_is_refused_as_not_run(tmp_path) -> None:
    async with StoppingSite.start(tmp_path) as site:
        head = await site.add_backend(streams(30, 0.1), "small.1")
        node = await site.add_node()
        callers = [await Caller.connect(node) for _ in range(4)]
        asked = [c.ask("/stream/1", f"r{n}") for n, c in enumerate(callers)]
        assert {a.seen for a in await asyncio.gather(*asked)} == {(200, "whole")}
        node.stop()
        await node.until_logged("node_leaving")
        await asyncio.sleep(1.5)
        answer = await callers[0].ask("/stream/1", "late")
        await node.end()
    assert outcome(answer) == "not run", node.about("late")
    assert "late" not in [r.request_id for r in head.seen]


async def as_the_path_says(request, writer) -> None:
    """Stream what is asked for as long, and run anything else without an answer."""
    _, _, kind = request.target.rpartition("/")
    if kind in ("short", "long"):
        await streams(10 if kind == "short" else 600, 0.05)(request, writer)
    else:
        await runs_on(request, writer)


IN_PROGRESS = {
    "plain": ("/once/1", {}),
    "queued": ("/stream/1", {}),
    "runs-once": ("/single/1", {}),
    "without-a-group": ("/stream/1", {"X-Model": "big"}),
    "begun": ("/stream/long", {}),
}
"""Path and headers of requests by their id."""

ENDS = {
    "plain": ("may have run", 1),
    "queued": ("may have run", 1),
    "runs-once": ("may have run", 1),
    "without-a-group": ("not run", 1),
    "begun": ("cut", 1),
}
"""How each ends, and how many lines of the log say that the stop ended it."""


# Guards against a request that ends with the process: no answer, no line; also if the
# signal comes more than once, or the one to read the settings comes with it.
@pytest.mark.parametrize(
    "signals",
    [[], [signal.SIGTERM, signal.SIGINT], [signal.SIGHUP]],
    ids=["alone", "again", "with SIGHUP"],
)
async def test_requests_that_the_stop_ends_are_answered_and_logged(
    tmp_path, signals
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        plain = await site.add_backend(as_the_path_says)
        head = await site.add_backend(as_the_path_says, "small.1")
        await site.add_backend(as_the_path_says, "big.1", "joining")
        node = await site.add_node()
        callers = {name: await Caller.connect(node) for name in IN_PROGRESS}

        async def send(name: str) -> None:
            path, headers = IN_PROGRESS[name]
            await callers[name].send(request_bytes(path, name, **headers))

        for name in ("plain", "queued", "runs-once", "begun"):
            await send(name)
        await until(lambda: len(plain.seen) + len(head.seen) == 4)
        await callers["begun"].begun(b"id: 2\n")
        if signals == [signal.SIGHUP]:
            node.process.send_signal(signal.SIGHUP)
        node.stop()
        for number in signals:
            node.process.send_signal(number)
        await asyncio.sleep(2.4)
        await send("without-a-group")
        answers = {name: await caller.answer() for name, caller in callers.items()}
        await node.end()
    found = {n: (outcome(a), len(node.stop_lines(n))) for n, a in answers.items()}
    assert found == ENDS


# Guards against a grace period that is counted from the moment at which the process
# gets to the signal: the platform kills the process before it has answered.
@pytest.mark.parametrize("case", ["stopped for 1.5 s", "a fifth of the time"])
async def test_a_process_that_gets_late_to_the_signal_ends_by_itself(
    tmp_path, case
) -> None:
    async with StoppingSite.start(tmp_path) as site:
        await site.add_backend(as_the_path_says, "small.1")
        node = await site.add_node()
        callers = {name: await Caller.connect(node) for name in ("short", "long")}
        for name, caller in callers.items():
            await caller.send(request_bytes(f"/stream/{name}", name))
        await callers["long"].begun(b"id: 2\n")
        if case == "stopped for 1.5 s":
            node.process.send_signal(signal.SIGSTOP)
            node.stop()
            await asyncio.sleep(1.5)
            node.process.send_signal(signal.SIGCONT)
            await node.end_or_kill(GRACE_S)
        else:
            async with node.slowed(0.2, 0.2):
                node.stop()
                await node.end_or_kill(GRACE_S)
        ends = [outcome(await caller.answer()) for caller in callers.values()]
    found = node.process.returncode, *ends, len(node.stop_lines("long"))
    assert found == (0, "whole", "cut", 1), node.lines[-3:]


# Guards against fixed waits of a leaving node that are longer than its grace period:
# the platform kills it.
@pytest.mark.parametrize("case", ["short grace period", "planner, store silent"])
async def test_an_idle_process_ends_within_its_grace_period(tmp_path, case) -> None:
    is_planner = case.startswith("planner")
    grace_s = GRACE_S if is_planner else GRACE_S - 1
    async with StoppingSite.start(tmp_path, may_plan=is_planner) as site:
        node = await site.add_node(grace_s)
        if is_planner:
            await node.until_logged("planner_became")
            site.model.faults.is_silent = True
        node.stop()
        await node.end_or_kill(grace_s)
    assert node.process.returncode == 0, node.lines[-3:]
