"""Conversion of plain data into attrs classes, every mistake at once."""

from __future__ import annotations

from typing import TypeVar

import cattrs

T = TypeVar("T")

_converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def _strict(kind: type) -> None:
    def structure(value: object, _: object) -> object:
        accepted = (int, float) if kind is float else (kind,)
        is_bool = isinstance(value, bool) and kind is not bool
        if is_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {kind.__name__}, got {type(value).__name__}")
        return kind(value)

    _converter.register_structure_hook(kind, structure)


for _kind in (int, float, str, bool):
    _strict(_kind)


def structure(data: object, into: type[T]) -> T:
    """Build an attrs object from plain data that a schema has checked.

    Args:
        data: Maps, lists and scalars, as read from JSON.
        into: The attrs class wanted.

    Raises:
        cattrs.BaseValidationError: If the schema let something pass.
    """
    return _converter.structure(data, into)
