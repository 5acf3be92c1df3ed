"""Strict conversion of plain data into attrs classes."""

from __future__ import annotations

from typing import TypeVar

import cattrs

T = TypeVar("T")

_converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def _register_strict_hook(kind: type) -> None:
    def structure(value: object, _: object) -> object:
        accepted = (int, float) if kind is float else (kind,)
        is_bool = isinstance(value, bool) and kind is not bool
        if is_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {kind.__name__}, got {type(value).__name__}")
        return kind(value)

    _converter.register_structure_hook(kind, structure)


for _kind in (int, float, str, bool):
    _register_strict_hook(_kind)


def structure(data: object, into: type[T]) -> T:
    """Build an attrs object from plain data that a schema has checked.

    Args:
        data: Dictionaries, lists and scalars, as read from JSON.
        into: The attrs class to build.

    Raises:
        cattrs.BaseValidationError: If the data does not fit the class, which means
            that the schema is too permissive. It lists all mistakes.
    """
    return _converter.structure(data, into)
