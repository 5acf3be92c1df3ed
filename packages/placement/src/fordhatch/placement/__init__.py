"""Forms replica groups, opens them, and replaces lost ones."""

from __future__ import annotations

from ._conversion import Conversion, choose_conversion
from ._demand_book import DemandEstimator
from ._group_need import group_need
from ._layout import GroupPlan, Layout, choose_group
from ._load_budget import LoadBudget
from ._lost_groups import LostGroups
from ._planner import Planner
from ._planner_lease import LeaseHolderStatus, PlannerLease
from ._release import Release, ReleaseDetector
from ._staging import Staging

__all__ = [
    "Conversion",
    "DemandEstimator",
    "GroupPlan",
    "Layout",
    "LeaseHolderStatus",
    "LoadBudget",
    "LostGroups",
    "Planner",
    "PlannerLease",
    "Release",
    "ReleaseDetector",
    "Staging",
    "choose_conversion",
    "choose_group",
    "group_need",
]
