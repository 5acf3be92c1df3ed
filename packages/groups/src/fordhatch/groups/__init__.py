"""Replica groups: planning, leases, fencing, presence and repair."""

from __future__ import annotations

from ._baseline import RebuildPolicy
from ._decisions import (
    Adapt,
    Decision,
    Dissolve,
    Drain,
    Form,
    FormPlain,
    MarkLeaving,
    Repair,
)
from ._lease import PlannerLease
from ._map import GroupMap
from ._measures import Gap, Measures
from ._orders import OrderSender
from ._permits import Permit, PermitBook
from ._planner import Planner
from ._policy import GroupPolicy, RepairFirstPolicy
from ._reports import ReportBook
from ._rows import (
    ACTIVE,
    DISSOLVED,
    DRAINING,
    MODEL,
    PLAIN,
    GroupRow,
    InstanceRow,
    Member,
    group_prefix,
    head_key,
    instance_prefix,
    lease_key,
)
from ._state import RegionState
from ._view import GroupView, InstanceView, RegionView
from ._watcher import HOMES, GroupWatcher, classify, homes_of

__all__ = [
    "ACTIVE",
    "DISSOLVED",
    "DRAINING",
    "HOMES",
    "MODEL",
    "PLAIN",
    "Adapt",
    "Decision",
    "Dissolve",
    "Drain",
    "Form",
    "FormPlain",
    "Gap",
    "GroupMap",
    "GroupPolicy",
    "GroupRow",
    "GroupView",
    "GroupWatcher",
    "InstanceRow",
    "InstanceView",
    "MarkLeaving",
    "Measures",
    "Member",
    "OrderSender",
    "Permit",
    "PermitBook",
    "Planner",
    "PlannerLease",
    "RebuildPolicy",
    "RegionState",
    "RegionView",
    "Repair",
    "RepairFirstPolicy",
    "ReportBook",
    "classify",
    "group_prefix",
    "head_key",
    "homes_of",
    "instance_prefix",
    "lease_key",
]
