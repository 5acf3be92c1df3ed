"""Node settings and operators' files, and which revision is in force."""

from __future__ import annotations

from ._apply import Applied, ApplyRequest, ConfigApplier
from ._changes import describe_changes
from ._follower import HEAD_KEY, ConfigFollower, ConfigInForce
from ._operators_file import (
    Application,
    Model,
    ModelService,
    ModelVersion,
    OperatorsFile,
    PlainService,
    Policy,
    Route,
    Workspace,
    digest_of,
)
from ._schema import OPERATORS_SCHEMA, SETTINGS_SCHEMA, Mistake, schema_text
from ._settings import Address, Limits, Settings, Timing, hash_key

__all__ = [
    "HEAD_KEY",
    "OPERATORS_SCHEMA",
    "SETTINGS_SCHEMA",
    "Address",
    "Application",
    "Applied",
    "ApplyRequest",
    "ConfigApplier",
    "ConfigFollower",
    "ConfigInForce",
    "Limits",
    "Mistake",
    "Model",
    "ModelService",
    "ModelVersion",
    "OperatorsFile",
    "PlainService",
    "Policy",
    "Route",
    "Settings",
    "Timing",
    "Workspace",
    "describe_changes",
    "digest_of",
    "hash_key",
    "schema_text",
]
