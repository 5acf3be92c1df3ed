"""Registry of message classes, and the fields that most of them have."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import attrs

MESSAGE_BY_TAG: dict[int, type] = {}
"""Message class by tag."""

TAG_BY_MESSAGE: dict[type, int] = {}
"""Tag by message class."""

C = TypeVar("C", bound=type)


class FieldError(TypeError):
    """A message field has an invalid type or value."""


def message(tag: int) -> Callable[[C], C]:
    """Register a message class under its tag."""

    def register(cls: C) -> C:
        assert tag not in MESSAGE_BY_TAG, f"tag {tag} is taken"
        MESSAGE_BY_TAG[tag] = cls
        TAG_BY_MESSAGE[cls] = tag
        return cls

    return register


def typed_field(*kinds: type) -> Any:
    """Return a field that accepts exactly these types, without subclasses."""

    def check(_: object, attribute: attrs.Attribute, value: object) -> None:
        if type(value) not in kinds:
            found = type(value).__name__
            raise FieldError(f"{attribute.name}: unexpected {found}")

    return attrs.field(validator=check)


def _to_float(value: object) -> object:
    return float(value) if type(value) is int else value


def seconds_field(**options: Any) -> Any:
    """Return a field for a duration; integers are accepted and converted."""

    def check(_: object, attribute: attrs.Attribute, value: object) -> None:
        if type(value) is not float and (value is not None or not options):
            raise FieldError(f"{attribute.name}: expected a number")

    return attrs.field(converter=_to_float, validator=check, **options)
