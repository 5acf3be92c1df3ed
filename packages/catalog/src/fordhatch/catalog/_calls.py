"""Header fields of requests and answers."""

from __future__ import annotations

from enum import StrEnum

import attrs

MAX_SHARED_PARTS = 32
"""Further parts of a prompt are not told apart, to bound the work for each request."""


@attrs.frozen
class CallFields:
    """Header fields of a caller's request that decide how it is served."""

    request_id: str
    deadline_s: float | None
    """Time that the caller waits for the answer, from sending the request."""
    api_keys: tuple[str, ...]
    """All API keys in the request; a valid request has at most one."""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""
    """Event after which the caller's stream resumes; empty for a new stream."""
    length_hint_tokens: int | None = None
    """Length of the answer that the caller expects; None without a hint."""
    shared_parts: tuple[str, ...] = ()
    """Names of the parts of the prompt that other requests may have as well, in their
    order, ``MAX_SHARED_PARTS`` at the most. The last part of a prompt is its own and
    not among them."""


class RefusalKind(StrEnum):
    """How a backend server reports that it has not run a request."""

    NONE = "none"
    """Not reported: the request may have run."""
    NOT_EXECUTED = "not_executed"
    OTHER_BACKEND = "other_backend"
    """The address now belongs to another backend server or another member."""
    CONTRADICTED = "contradicted"
    """Reported beside a status that says otherwise: the request may have run."""


class PressureKind(StrEnum):
    """Kind of a backpressure signal in a backend server's answer."""

    REST = "rest"
    LIMIT = "limit"
    LEAVING = "leaving"
    COLD = "cold"


@attrs.frozen
class Backpressure:
    """Backpressure signals in one answer of a backend server."""

    rest_s: float | None = None
    """Back-off: how long this node must not send requests; None for no back-off."""
    limit_per_s: float | None = None
    """Rate limit for all nodes together, in requests per second; None for no limit."""
    is_leaving: bool = False
    """Whether the backend server is leaving and accepts no new requests."""
    unreadable: frozenset[PressureKind] = frozenset()
    """Kinds of signals that were present but malformed."""
    cold_left_s: float | None = attrs.field(default=None, eq=False)
    """Remaining time for which the backend server is cold, in seconds; None if not
    reported. Not compared: most answers of a warm server report 0, which asks for
    nothing."""
    is_cold_unreadable: bool = attrs.field(default=False, eq=False)
    """Whether that time was present but malformed."""


@attrs.frozen
class AnswerFields:
    """Header fields of a backend server's answer that decide how it is handled."""

    request_id: str
    refusal: RefusalKind
    is_signed: bool
    """Whether the answer has the signature that every backend server adds."""
    has_encoding: bool
    """Whether the body was encoded in transit and so is not the original."""
    backend_at_fault: str = ""
    """Backend server that a refusal reports as the cause, if any."""
    backpressure: Backpressure = Backpressure()
    """Backpressure signals of the answering backend server."""
