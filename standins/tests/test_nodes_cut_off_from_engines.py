"""Nodes that lose their links to all engines while callers still reach them."""

from __future__ import annotations

import pytest

from fordhatch_lab import CutNodes, CutTrial, play_cut
from fordhatch_standins import CutKind

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
