"""Names of replica groups, which contain the name of the served model."""

from __future__ import annotations

_SEPARATOR = "."


def group_name(model: str, epoch: int) -> str:
    """Return the name of the group formed for a model in an epoch."""
    return f"{model}{_SEPARATOR}{epoch}"


def model_of_group(name: str) -> str:
    """Return the model served by the group of this name."""
    return name.rpartition(_SEPARATOR)[0]
