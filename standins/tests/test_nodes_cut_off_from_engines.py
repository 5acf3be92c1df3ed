"""Nodes that lose their links to all engines while callers still reach them."""

from __future__ import annotations

import asyncio

import pytest

from fordhatch_lab import (
    CutNodes,
    CutTrial,
    Experiment,
    LabLoad,
    LabSite,
    play_cut,
    run_in_virtual_time,
)
from fordhatch_standins import CutKind

WARM_UP_S = 30.0
"""Time until all groups are open."""

HAND_OVER_S = 6.0
"""Time after a cut within which another node has to plan."""

TRIALS = [
    CutTrial(CutNodes.THIRD, CutKind.RESET),
    CutTrial(CutNodes.ZONE, CutKind.HANG, seed=2),
    CutTrial(CutNodes.ALL_BUT_ONE, CutKind.REFUSE_NEW, seed=3),
    CutTrial(CutNodes.PLANNER, CutKind.HANG, seed=4),
    CutTrial(CutNodes.THIRD, CutKind.HANG, flap_s=1.0, seed=5),
]


# Guards against a node that refuses its callers because it has no link to a backend
# server of its own, although other nodes reach them all, and against groups that are
# dissolved because such a node does not reach their members.
@pytest.mark.parametrize(
    "trial", TRIALS, ids=lambda t: f"{t.cut.value}-{t.kind.value}-{t.flap_s:g}"
)
def test_callers_of_nodes_without_links_to_engines_are_served_like_others(
    trial: CutTrial,
) -> None:
    figures = play_cut(trial)
    assert figures.at_cut.asked > 0
    assert figures.is_even, figures
    assert figures.lost_groups == 0, figures
    assert figures.violations == []


async def planner_after_cut(
    kind: CutKind, nodes: int, *, all_but_one: bool
) -> tuple[str, str]:
    """Return the planner before its links are cut, and some seconds later."""
    site = LabSite.create(Experiment(nodes=nodes, seed=6))
    await site.start()
    await asyncio.sleep(WARM_UP_S)
    before = site.planner()
    spared = site.nodes[-1] if all_but_one else None
    for one in site.nodes:
        if one is before or (all_but_one and one is not spared):
            one.links.cut(kind)
    # A member is lost that only a planner in touch can replace.
    fleet = site.backends.fleet
    fleet.kill(next(e for e in fleet.engines.values() if e.place is not None))
    load = asyncio.ensure_future(LabLoad(site, site.rng).run(HAND_OVER_S))
    await load
    after = site.planner()
    await site.close()
    return before.name, after.name if after is not None else ""


# Guards against groups that nobody repairs because the node that plans reaches no
# backend server and keeps the lease.
@pytest.mark.parametrize("all_but_one", [False, True])
def test_a_planner_without_links_to_engines_hands_over(all_but_one: bool) -> None:
    before, after = run_in_virtual_time(
        planner_after_cut(CutKind.HANG, 12, all_but_one=all_but_one)
    )
    assert after not in ("", before)
    if all_but_one:
        assert after == "n011"
