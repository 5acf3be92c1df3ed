"""Decisions of a planner, one class each."""

from __future__ import annotations

import attrs

from fordhatch.config import ModelService, PlainService


@attrs.frozen
class Form:
    """Bind free instances of one fabric domain into a new group."""

    service: ModelService
    shard_bytes: int
    members: list[str]
    """Instances by rank."""


@attrs.frozen
class FormPlain:
    """List one plain service instance as a group of its own."""

    service: PlainService
    instance_id: str


@attrs.frozen
class Repair:
    """Replace members; survivors keep their rank and their weights."""

    group_id: str
    replacements: dict[int, str]
    """Instance by rank; the same instance where it merely came back."""


@attrs.frozen
class Drain:
    """Let a group take no new work, so that it can be dissolved."""

    group_id: str
    reason: str


@attrs.frozen
class Dissolve:
    """Free all members of a group."""

    group_id: str
    reason: str


@attrs.frozen
class MarkLeaving:
    """Let a group with leaving members take no new work."""

    group_id: str
    instance_ids: list[str]


@attrs.frozen
class Adapt:
    """Change the adapters or limits of a group without touching its members."""

    group_id: str
    adapters: list[str]
    max_running: int


Decision = Form | FormPlain | Repair | Drain | Dissolve | MarkLeaving | Adapt
