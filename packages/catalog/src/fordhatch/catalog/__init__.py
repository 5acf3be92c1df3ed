"""Data classes for configured and registered objects.

These are routes, services, workspaces, models, backend servers and node settings.
"""

from __future__ import annotations

from ._backends import (
    BackendServer,
    BackendState,
    GroupMembership,
    MemberState,
    incarnation_id,
)
from ._calls import (
    MAX_SHARED_PARTS,
    AnswerFields,
    Backpressure,
    CallFields,
    PressureKind,
    RefusalKind,
)
from ._configuration import (
    Configuration,
    EngineProfile,
    Limits,
    ModelProfile,
    Route,
    RouteKind,
    RouteTarget,
    Service,
    Workspace,
)
from ._demand import ModelDemand, ModelKey
from ._group_names import group_name, model_of_group
from ._node_settings import NodeSettings, StoreLimits, SystemBounds

__all__ = [
    "MAX_SHARED_PARTS",
    "AnswerFields",
    "BackendServer",
    "BackendState",
    "Backpressure",
    "CallFields",
    "Configuration",
    "EngineProfile",
    "GroupMembership",
    "Limits",
    "MemberState",
    "ModelDemand",
    "ModelKey",
    "ModelProfile",
    "NodeSettings",
    "PressureKind",
    "RefusalKind",
    "Route",
    "RouteKind",
    "RouteTarget",
    "Service",
    "StoreLimits",
    "SystemBounds",
    "Workspace",
    "group_name",
    "incarnation_id",
    "model_of_group",
]
