"""Forms replica groups, opens them, and replaces what is lost."""

from __future__ import annotations

from ._conversion import Conversion, choose_conversion
from ._layout import GroupPlan, Layout, choose_group
from ._load_budget import LoadBudget
from ._planner import Planner
from ._planner_lease import HolderNews, PlannerLease
from ._staging import Staging

__all__ = [
    "Conversion",
    "GroupPlan",
    "HolderNews",
    "Layout",
    "LoadBudget",
    "Planner",
    "PlannerLease",
    "Staging",
    "choose_conversion",
    "choose_group",
]
