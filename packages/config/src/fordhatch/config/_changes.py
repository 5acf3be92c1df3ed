"""Line-by-line description of the differences between two JSON documents."""

from __future__ import annotations

from collections.abc import Iterator

MAX_VALUE_CHARS = 60
"""Maximal number of characters of a value shown in a change."""


def describe_changes(old: object, new: object) -> list[str]:
    """Return the differences as ``path: old -> new`` lines in path order.

    Named objects in lists are matched by name, so a moved entry is not a change.

    Args:
        old: The earlier document; None if there was none.
        new: The later document.
    """
    before = dict(_flatten(old, "$"))
    after = dict(_flatten(new, "$"))
    lines = []
    for path in sorted(before.keys() | after.keys()):
        was, now = before.get(path, "(none)"), after.get(path, "(none)")
        if was != now:
            lines.append(f"{path}: {was} -> {now}")
    return lines


def _flatten(value: object, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten(inner, f"{path}.{key}")
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _flatten(inner, f"{path}[{_label(inner, index)}]")
    elif value is not None:
        yield path, str(value)[:MAX_VALUE_CHARS]


def _label(value: object, index: int) -> str:
    if isinstance(value, dict) and "name" in value:
        return str(value["name"])
    return str(value) if isinstance(value, str) else str(index)
