"""Conversion between attrs classes and plain data, every mistake at once."""

from __future__ import annotations

import uuid
from typing import TypeVar

import cattrs
from cattrs.gen import make_dict_structure_fn

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

__all__ = [
    "StructureError",
    "make_dict_structure_fn",
    "new_id",
    "structure",
    "unstructure",
]


class StructureError(ValueError):
    """Several mistakes in one document, each with its path."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


def structure(data: object, into: type[T]) -> T:
    """Build an attrs object from plain data.

    Args:
        data: Maps, lists and scalars, as read from JSON or msgpack.
        into: The attrs class wanted.

    Returns:
        The object.

    Raises:
        StructureError: With every mistake and its path.
    """
    try:
        return _converter.structure(data, into)
    except Exception as error:
        raise StructureError(cattrs.transform_error(error)) from error


def unstructure(value: object) -> object:
    """Return the plain maps, lists and scalars of an attrs object."""
    return _converter.unstructure(value)


def new_id(prefix: str) -> str:
    """Return a unique identifier such as ``req-3f0c…``."""
    return f"{prefix}-{uuid.uuid4().hex[:20]}"
