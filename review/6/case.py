"""A runner that leaves without a word isn't counted among the runners of a request.

The runners of a service are replaced one after the other. Each turns slow and leaves
while it works on idempotent requests of a route with two attempts. Three in ten leave
without having reported that they drain: their entry is removed. The node gives the
requests up there and sends them to a second runner; some fail there and go to a third.
"""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from pathlib import Path

import attrs
from aiohttp import web

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as standins

ATTEMPTS = 2
"""The route's ``attempts``."""
MAX_OVER = 3
"""Requests beyond it that the rule BUDGET allows."""
WORK_S = 0.06
SLOW_FACTOR = 5.0
FAILING_RUN, FAILING_OF = 3, 7
"""Of seven runs at a runner the fourth answers 500: a share of 0.14."""
LEAD_S = 12.0
"""Time between the start of the node and that of the traffic."""
REQUESTS_PER_STEP = 24
STEPS = 20
SILENT_STEPS = (2, 5, 8, 11, 14, 17)
"""Replacements in which the leaving runner reports nothing: a share of 0.3."""
STEP_S = 2.0
"""Time between two replacements."""
RUNNING_S = 0.1
"""Time after which the slow runner works on its requests."""
SERVES_ON_S = 2.5
"""How long a runner serves after its entry was removed: ``drain-ms`` and a little
longer."""


@attrs.define(eq=False)
class Case:
    """A service whose runners are replaced one after the other."""

    site: standins.Site
    ran_at: dict[str, list[str]] = attrs.field(factory=lambda: defaultdict(list))
    """Runners that worked on a request, by its id."""
    slow: set[str] = attrs.field(factory=set)
    ended: set[str] = attrs.field(factory=set)

    async def work(
        self, runner: standins.Runner, request: web.BaseRequest, number: int
    ) -> web.Response:
        """Run a request."""
        if runner.runner_id in self.ended:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.ran_at[request.headers["X-Attempt-Id"]].append(runner.runner_id)
        is_slow = runner.runner_id in self.slow
        await asyncio.sleep(WORK_S * SLOW_FACTOR if is_slow else WORK_S)
        has_failed = number % FAILING_OF == FAILING_RUN
        return runner.answer(request, 500 if has_failed else 200, b"x" * 800)

    async def add_runner(self) -> standins.Runner:
        """Start a runner."""
        runner = standins.Runner(self.site.store, self.site.record, self.work)
        await runner.start()
        return runner

    async def leave(self, runner: standins.Runner, *, is_silent: bool) -> None:
        """Let a runner leave: with a report, or with its entry removed at once."""
        if is_silent:
            runner.unlist()
        else:
            runner.register("draining")
            self.site.record.add("runner", runner.runner_id, "reports that it drains")
        await asyncio.sleep(SERVES_ON_S)
        self.ended.add(runner.runner_id)
        if not is_silent:
            runner.unlist()

    def over(self) -> list[str]:
        """Return the requests that ran on more runners than the route's attempts."""
        return [a for a, ran in self.ran_at.items() if len(set(ran)) > ATTEMPTS]


async def play(site: standins.Site) -> int:
    """Play the case and return its result."""
    case = Case(site)
    routes = [standins.route("/status/", "idempotent", attempts=ATTEMPTS)]
    site.store.put("op", "config", standins.configuration(routes))
    runners = [await case.add_runner() for _ in range(4)]
    node = await site.add_node()
    await node.until_ready(site.session)
    await asyncio.sleep(LEAD_S)
    leaves: list[asyncio.Task[None]] = []
    for step in range(STEPS):
        leaving = runners.pop(0)
        case.slow.add(leaving.runner_id)
        site.record.add("runner", leaving.runner_id, "turns slow")
        calls = [
            asyncio.ensure_future(site.call(node, "GET", "/status/1"))
            for _ in range(REQUESTS_PER_STEP)
        ]
        await asyncio.sleep(RUNNING_S)
        is_silent = standins.has_trouble() and step in SILENT_STEPS
        leave = case.leave(leaving, is_silent=is_silent)
        leaves.append(asyncio.ensure_future(leave))
        await asyncio.gather(*calls)
        runners.append(await case.add_runner())
        await asyncio.sleep(STEP_S)
    await asyncio.gather(*leaves)
    over = case.over()
    for attempt in over:
        site.record.add("over:", attempt, "ran at", *case.ran_at[attempt])
    print(f"{len(over)} of {len(case.ran_at)} requests ran on over {ATTEMPTS} runners")
    site.record.add("requests", len(case.ran_at), "over the attempts", len(over))
    return standins.BROKEN if len(over) > MAX_OVER else standins.KEPT


if __name__ == "__main__":
    standins.main(str(Path(__file__).resolve().parent), play)
