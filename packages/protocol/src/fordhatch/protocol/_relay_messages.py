"""Messages by which a node reaches backend servers through another node."""

from __future__ import annotations

import attrs

from ._message_fields import FieldError, message, seconds_field, typed_field

MAX_HINTS = 8
"""Maximum accepted number of node names in a ``ContactReply``."""


def _strings(_: object, attribute: attrs.Attribute, value: object) -> None:
    is_list = type(value) is list and len(value) <= MAX_HINTS
    if not is_list or not all(type(text) is str for text in value):
        raise FieldError(f"{attribute.name}: expected {MAX_HINTS} strings or fewer")


def _to_plain(value: object) -> object:
    """Convert header names of the HTTP library's own string type to plain strings."""
    if not isinstance(value, list):
        return value
    return [
        tuple(str(t) if isinstance(t, str) else t for t in pair)
        if isinstance(pair, (list, tuple))
        else pair
        for pair in value
    ]


def _headers(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for pair in value:
        if type(pair) is not tuple or [type(t) for t in pair] != [str, str]:
            raise FieldError(f"{attribute.name}: expected pairs of strings")


def _headers_field() -> object:
    return attrs.field(converter=_to_plain, validator=_headers)


@message(75)
@attrs.frozen
class QueryContact:
    """Asks whether a node reaches the backend servers of a service.

    Only nodes that do not reach them send it.
    """

    service: str = typed_field(str)


@message(76)
@attrs.frozen
class ContactReply:
    """Whether the node reaches them and accepts relayed requests."""

    is_in_touch: bool = typed_field(bool)
    nodes: list[str] = attrs.field(validator=_strings)
    """Names of other nodes that reach them, as far as this one knows."""


@message(77)
@attrs.frozen
class RelayRequest:
    """One attempt of a request at one backend server, to be made by the receiver.

    Answered by a ``RelayedHead``, ``RelayedPiece`` messages and a ``RelayedEnd``, or at
    any time by a ``RelayedFailure``. Closing the channel cancels the attempt.
    """

    backend_id: str = typed_field(str)
    method: str = typed_field(str)
    target: str = typed_field(str)
    headers: list[tuple[str, str]] = _headers_field()
    """Headers to forward to the backend server."""
    body: bytes = typed_field(bytes)
    workspace: str | None = typed_field(str, type(None))
    left_s: float = seconds_field()
    """Time until the final answer is due when the message is sent, in seconds."""
    head_timeout_s: float = seconds_field()
    """Longest wait for the head of the answer, in seconds."""
    urgency: int | None = typed_field(int, type(None))
    last_event_id: str | None = typed_field(str, type(None))


@attrs.frozen
class WireBackpressure:
    """Backpressure signals in an answer of a backend server; see ``Backpressure``."""

    rest_s: float | None = seconds_field(default=None)
    limit_per_s: float | None = seconds_field(default=None)
    is_leaving: bool = attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )
    cold_left_s: float | None = seconds_field(default=None)


def _to_backpressure(value: object) -> object:
    """Convert signals, which msgpack decodes as a list of fields."""
    return WireBackpressure(*value) if isinstance(value, list) else value


def _backpressure_field() -> object:
    return attrs.field(
        factory=WireBackpressure,
        converter=_to_backpressure,
        validator=attrs.validators.instance_of(WireBackpressure),
    )


@message(78)
@attrs.frozen
class RelayedHead:
    """Status and headers of the backend server's answer; the body follows."""

    status: int = typed_field(int)
    headers: list[tuple[str, str]] = _headers_field()
    backpressure: WireBackpressure = _backpressure_field()


@message(79)
@attrs.frozen
class RelayedPiece:
    """Bytes of the body."""

    data: bytes = typed_field(bytes)


@message(80)
@attrs.frozen
class RelayedEnd:
    """The complete body was sent."""


@message(81)
@attrs.frozen
class RelayedFailure:
    """The attempt brought no usable answer, or its answer broke off."""

    problem: str = typed_field(str)
    """Value of a ``SendProblem``."""
    detail: str = typed_field(str)
    arrivals: int = typed_field(int)
    """Number of times that the request has reached the backend server."""
    may_have_run: bool = typed_field(bool)
    is_unreachable: bool = typed_field(bool)
    """Whether the receiver does not reach the backend server either, or relays no
    requests at present."""
    backpressure: WireBackpressure = _backpressure_field()


@message(82)
@attrs.frozen
class RelayAck:
    """Acknowledges pieces, so that more of them may be sent."""

    pieces: int = typed_field(int)


@message(83)
@attrs.frozen
class ProbeBackend:
    """Asks a node to probe a backend server that the sender does not reach."""

    backend_id: str = typed_field(str)


@message(84)
@attrs.frozen
class ProbeReply:
    """What the probe found."""

    is_conclusive: bool = typed_field(bool)
    """Whether the backend server answered, or did not while another one did."""
    code: int = typed_field(int)
    """Numbered result code; 0 if the backend server answered."""
    is_expected: bool = typed_field(bool)
    """Whether it may have been the backend server itself that answered; if not, it was
    certainly another process."""
    pace: float = seconds_field()
    born_ms: int = typed_field(int)
