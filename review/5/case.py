"""A new planner opens a group while it forms another one with a member of it.

The planner has ordered two runners to join a group and is killed. One join gets no
answer and is carried out seconds later. Meanwhile the next planner forms a group of
that runner and a spare one.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

import attrs

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import engines_2 as engines
import standins_2 as standins

NODES, RUNNERS = 3, 3
LATE_ORDERS = 2
"""Joins that get no answer: one of each planner."""
MIN_LATE_S = 2.0
"""Orders without an answer are carried out 2 to 12 s later."""
AFTER_NEXT_JOIN_S = 0.2
KILL_AFTER_S = 0.1
SETTLED_S = 3.0
WATCHED_S = 15.0
START_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class Case:
    """Three nodes before three model runners."""

    site: standins.Site
    fleet: engines.Fleet
    late: engines.Engine | None = None
    """The runner that leaves the first join of each planner unanswered."""
    has_begun: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the first join is ordered."""
    first_group: str = ""
    first_join_s: float = 0.0
    unanswered: set[str] = attrs.field(factory=set)
    """Groups whose first join of that runner got no answer."""
    _due: dict[str, asyncio.Future[None]] = attrs.field(factory=dict)

    def late_s(self, engine: engines.Engine, order: dict[str, Any]) -> float | None:
        """Return whether an order gets no answer, and when it is carried out."""
        if order["op"] == "join" and not self.first_group:
            self.has_begun.set()
            self.first_group = order["group"]
            self.first_join_s = time.monotonic()
            self.late = self.fleet.engines[order["members"][1]]
        if not standins.has_trouble() or engine is not self.late:
            return None
        group = order.get("group", "")
        is_over = len(self.unanswered) == LATE_ORDERS or group in self.unanswered
        if order["op"] != "join" or is_over:
            return None
        self.unanswered.add(group)
        if group != self.first_group:
            self.carry_out_first_join()
        return MIN_LATE_S

    def on_late(
        self, engine: engines.Engine, order: dict[str, Any]
    ) -> asyncio.Future[None] | None:
        """Return when the first join is carried out; others take the least time."""
        if order["group"] != self.first_group:
            return None
        moment = asyncio.get_running_loop().create_future()
        self._due[order["group"]] = moment
        return moment

    def carry_out_first_join(self) -> None:
        """Have the first join carried out soon, at least two seconds after its order.

        It is carried out while the next planner forms its group.
        """
        moment = self._due.pop(self.first_group, None)
        if moment is None:
            return
        passed_s = time.monotonic() - self.first_join_s
        wait_s = max(MIN_LATE_S - passed_s, AFTER_NEXT_JOIN_S)
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, lambda: moment.done() or moment.set_result(None))

    def planner(self) -> standins.Node | None:
        """Return the node that holds the planner's lease, by the store."""
        row = self.site.store.rows.get(("fordhatch-lease", "planner"))
        holder = json.loads(row[1]).get("holder") if row is not None else None
        return next((n for n in self.site.nodes if n.name == holder), None)


async def play(site: standins.Site) -> int:
    """Play the case and return its result."""
    fleet = engines.Fleet(site)
    case = Case(site, fleet)
    fleet.late_s, fleet.on_late = case.late_s, case.on_late
    site.store.put("op", "config", engines.configuration())
    for _ in range(NODES):
        await site.add_node(bootstrap="false")
    for node in site.nodes:
        await node.until_ready(site.session)
    await asyncio.sleep(SETTLED_S)
    for _ in range(RUNNERS):
        await fleet.add()
    await asyncio.wait_for(case.has_begun.wait(), START_TIMEOUT_S)
    await asyncio.sleep(KILL_AFTER_S)
    planner = case.planner()
    if planner is None:
        raise RuntimeError("no planner")
    if standins.has_trouble():
        planner.send(signal.SIGKILL)
    await asyncio.sleep(WATCHED_S)
    site.record.add("orders", fleet.orders, "without an answer", fleet.late_orders)
    print(f"{len(fleet.violations)} violations; {fleet.late_orders} of {fleet.orders}")
    return standins.BROKEN if fleet.violations else standins.KEPT


if __name__ == "__main__":
    standins.main(str(Path(__file__).resolve().parent), play)
