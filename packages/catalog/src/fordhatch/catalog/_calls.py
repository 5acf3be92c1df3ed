"""What the headers of a request and of an answer say."""

from __future__ import annotations

from enum import StrEnum

import attrs


@attrs.frozen
class CallFields:
    """The fields of a caller's request that decide how it is served."""

    request_id: str
    deadline_s: float | None
    """How long the caller waits, from its sending."""
    api_keys: tuple[str, ...]
    """Every API key that was sent; a proper request has at most one."""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""
    """The caller's stream goes on after this event; empty for a new stream."""


class RefusalKind(StrEnum):
    """How a backend server says that it has not run a request."""

    NONE = "none"
    """It says no such thing: the request may have run."""
    NOT_EXECUTED = "not_executed"
    OTHER_BACKEND = "other_backend"
    """The address belongs to another backend server now, or to another member."""


class PressureKind(StrEnum):
    """What a backend server may ask of those who send it requests."""

    REST = "rest"
    LIMIT = "limit"
    LEAVING = "leaving"


@attrs.frozen
class Backpressure:
    """What one answer of a backend server asks of its callers."""

    rest_s: float | None = None
    """It wants nothing from this node for so long."""
    limit_per_s: float | None = None
    """Requests a second that it takes from all nodes together; None for any number."""
    is_leaving: bool = False
    """It wants no new requests any more."""
    unreadable: frozenset[PressureKind] = frozenset()
    """What was said and could not be read."""


@attrs.frozen
class AnswerFields:
    """The fields of a backend server's answer that decide what to do with it."""

    request_id: str
    refusal: RefusalKind
    is_signed: bool
    """Whether it bears the signature that every answer of a backend server has."""
    has_encoding: bool
    """Whether the body was encoded on the way: then it is not the original."""
    backend_at_fault: str = ""
    """The backend server that a refusal names as the cause, if any."""
    backpressure: Backpressure = Backpressure()
    """What the backend server that has answered asks for."""
