"""Names of replica groups, which say the model that a group serves."""

from __future__ import annotations

_SEPARATOR = "."


def group_name(model: str, epoch: int) -> str:
    """Return the name of the group that is formed under an epoch."""
    return f"{model}{_SEPARATOR}{epoch}"


def model_of_group(name: str) -> str:
    """Return the model that a group serves."""
    return name.rpartition(_SEPARATOR)[0]
