"""Forms replica groups, opens them, and replaces what is lost."""

from __future__ import annotations

from ._layout import GroupPlan, choose_group, target_counts
from ._load_budget import LoadBudget
from ._planner import Planner
from ._planner_lease import PlannerLease

__all__ = [
    "GroupPlan",
    "LoadBudget",
    "Planner",
    "PlannerLease",
    "choose_group",
    "target_counts",
]
