"""Messages about counts that all nodes keep together."""

from __future__ import annotations

import attrs

from ._message_fields import FieldError, message, typed_field

MAX_LOAN_RETRIES = 10_000
"""Most retries that one message asks for or lends."""

MAX_LOAN_TIME_S = 3600.0
"""Longest time that such a message names, in seconds."""


def _count(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not int or not 0 <= value <= MAX_LOAN_RETRIES:
        raise FieldError(f"{attribute.name}: expected a number of retries")


def _to_float(value: object) -> object:
    return float(value) if type(value) is int else value


def _time_s(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not float or not 0.0 <= value <= MAX_LOAN_TIME_S:
        raise FieldError(f"{attribute.name}: expected a time")


@message(85)
@attrs.frozen
class BorrowRetries:
    """Asks a node for retries of its part of the budget."""

    service: str = typed_field(str)
    count: int = attrs.field(validator=_count)
    """How many at the most."""


@message(86)
@attrs.frozen
class RetriesLent:
    """Lends retries, which the sender counts as used."""

    count: int = attrs.field(validator=_count)
    valid_s: float = attrs.field(converter=_to_float, validator=_time_s)
    """Time in which they may be used, from the sending of the question, in seconds."""
    again_s: float = attrs.field(converter=_to_float, validator=_time_s)
    """Time after which to ask again, in seconds."""
