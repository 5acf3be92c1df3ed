"""Search: what two or three planners do while orders are lost or late, to a bound.

The first orders are answered but for up to three, of which each kind of fate is tried,
with the planner or an engine lost at each of some moments. A late order is carried out
just before a later one, or a little after that, so that all orders of events are tried
whatever the times of the planner. Everything runs in virtual time before the real
planners. ``ORDER_SEARCH_STRIDE=1`` plays all schedules.
"""

from __future__ import annotations

import asyncio
import itertools
import os
from collections.abc import Iterator

import attrs
import pytest
from order_fates import Fate, add_fateful_node, add_staged, carry_out, replace
from planning_site import Site, SiteShape, run_scenario

from fordhatch.adapter import GroupOrder, OrderKind
from fordhatch_standins import ModelTimes

SHAPE = SiteShape({"small": ModelTimes(2, 12.0, 1.1)})
FIRST_ORDERS = 8
"""Orders of which each may have another fate: joins, opens and leaves of two groups."""

DEPTH = 3
STRIDE = int(os.environ.get("ORDER_SEARCH_STRIDE", "1499"))
"""One of so many schedules is played."""

PARTS = 4
WATCHED_S = 9.0
SERVES_WITHIN_S = 30.0

FATES = (
    (Fate.LOST, 0, 0.0),
    *(
        (Fate.KEPT, later, delay_s)
        for later in (1, 2, 3, 4, 5)
        for delay_s in (0.0, 0.3)
    ),
)
"""Fates, with the number of orders until a late one is carried out, and the time after
that: a head that joins is ready 0.2 s later."""


class Moment:
    """What is lost, and when."""

    NOTHING = "nothing"
    AT_OPEN = "planner at the first open"
    AT_JOIN = "planner at the second join"
    HEAD = "head once it is open"
    MEMBER = "member once it serves"


MOMENTS = [Moment.NOTHING, Moment.AT_OPEN, Moment.AT_JOIN, Moment.HEAD, Moment.MEMBER]


@attrs.frozen
class Schedule:
    """One run: what becomes of some orders, and what is lost."""

    fates: dict[int, tuple[Fate, int, float]]
    """Fates by the number of the order."""
    moment: str


def schedules(depth: int) -> Iterator[Schedule]:
    """Return all schedules with up to so many orders that get no answer."""
    for count in range(depth + 1):
        for numbers in itertools.combinations(range(FIRST_ORDERS), count):
            for fates in itertools.product(FATES, repeat=count):
                for moment in MOMENTS:
                    yield Schedule(dict(zip(numbers, fates, strict=True)), moment)


async def play(site: Site, schedule: Schedule) -> None:
    """Play one schedule and check the invariants all the while."""
    loop = asyncio.get_running_loop()
    kept: list[tuple[str, GroupOrder]] = []
    given: list[OrderKind] = []
    late: list[tuple[int, float, tuple[str, GroupOrder]]] = []

    def decide(backend_id: str, order: GroupOrder) -> Fate:
        number = len(given)
        given.append(order.kind)
        for at, delay_s, one in list(late):
            if at == number:
                loop.call_later(delay_s, carry_out, site, one)
        fate, later, delay_s = schedule.fates.get(number, (Fate.ANSWERED, 0, 0.0))
        if fate is Fate.KEPT:
            late.append((number + later, delay_s, (backend_id, order)))
        return fate

    for name in ("a", "b", "c"):
        add_fateful_node(site, name, decide, kept)
    await site.until(lambda: site.planner() is not None, 10)
    await site.watch(2.0)
    for _ in range(3):
        add_staged(site, "d0")
    await site.until(lambda: given, 10)
    await lose(site, schedule.moment, given)
    await site.watch(WATCHED_S)
    await site.until(lambda: site.working() == 1, SERVES_WITHIN_S)


async def lose(site: Site, moment: str, given: list[OrderKind]) -> None:
    """Lose the planner or an engine at a moment of the schedule."""
    if moment == Moment.AT_OPEN:
        await site.until(lambda: OrderKind.OPEN in given, 30)
    elif moment == Moment.AT_JOIN:
        await site.until(lambda: given.count(OrderKind.JOIN) > 1, 30)
    elif moment in (Moment.HEAD, Moment.MEMBER):
        await site.until(lambda: site.working() == 1, 30)
        head = next(e for e in site.fleet.check_serving())
        lost = head if moment == Moment.HEAD else site.fleet.members(head)[1]
        site.fleet.kill(lost)
        return
    else:
        return
    await replace(site, site.planner())


# Guards against acts of a planner that rest on an order without an answer: with orders
# lost or late, a member of an open group takes another join, or nothing serves at last.
@pytest.mark.parametrize("part", range(PARTS))
def test_no_schedule_of_orders_moves_a_member_of_an_open_group(part: int) -> None:
    chosen = list(schedules(DEPTH))[part :: PARTS * STRIDE]
    failed = []
    for schedule in chosen:
        try:
            run_scenario(lambda site, s=schedule: play(site, s), shape=SHAPE)
        except AssertionError as error:
            failed.append((schedule, str(error)[:200]))
    print(f"{len(chosen)} schedules")
    assert not failed, failed[:10]


# Guards against a head that opens again, by orders that come late after it has left its
# group, and joins another group while it is open.
def test_a_head_that_comes_back_late_joins_no_group_while_it_is_open() -> None:
    late = {0: (5, 0.0), 3: (2, 0.3), 5: (5, 0.0), 6: (5, 0.0)}
    fates = {n: (Fate.KEPT, later, delay_s) for n, (later, delay_s) in late.items()}
    schedule = Schedule(fates, Moment.AT_OPEN)
    run_scenario(lambda site: play(site, schedule), shape=SHAPE)
