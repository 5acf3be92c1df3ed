"""Node settings, operators' files, and the transaction that accepts a file."""

from __future__ import annotations

from ._apply import Applied, ApplyRequest, ConfigApplier
from ._audit import AuditRecord, read_audit
from ._changes import describe_changes
from ._declared_configuration import (
    DECLARED_ROW,
    DECLARED_TABLE,
    DeclaredConfiguration,
    Head,
    decode_declared,
    model_name,
)
from ._operators_file import (
    Accelerator,
    Application,
    Model,
    ModelService,
    ModelTimes,
    OperatorsFile,
    PlainService,
    Policy,
    Route,
    Workspace,
    digest_of,
)
from ._schema import OPERATORS_SCHEMA, SETTINGS_SCHEMA, Mistake, schema_text
from ._settings import Address, Limits, Retries, Settings, Timing, hash_key
from ._zones import ZoneChange, ZoneOperations, read_zone_changes

__all__ = [
    "DECLARED_ROW",
    "DECLARED_TABLE",
    "OPERATORS_SCHEMA",
    "SETTINGS_SCHEMA",
    "Accelerator",
    "Address",
    "Application",
    "Applied",
    "ApplyRequest",
    "AuditRecord",
    "ConfigApplier",
    "DeclaredConfiguration",
    "Head",
    "Limits",
    "Mistake",
    "Model",
    "ModelService",
    "ModelTimes",
    "OperatorsFile",
    "PlainService",
    "Policy",
    "Retries",
    "Route",
    "Settings",
    "Timing",
    "Workspace",
    "ZoneChange",
    "ZoneOperations",
    "decode_declared",
    "describe_changes",
    "digest_of",
    "hash_key",
    "model_name",
    "read_audit",
    "read_zone_changes",
    "schema_text",
]
